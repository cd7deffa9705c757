//! Follows the configuration log and the peers.
//!
//! `config::follow` decides. One thread gives it its events and never blocks; another one reads and appends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::STREAM;
use config::fold::Verdict;
use config::follow::{Action, Event, Page, Peer};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use model::{Offset, Revision};

use crate::phase::Phase;
use crate::shared::Shared;

mod fetch;

pub(crate) use fetch::reply;

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(50);

/// Interval at which the follower gets the list of peers.
const PEERS: Duration = Duration::from_millis(200);

/// Calls of the log service that wait; the follower has one read under way and reports a snapshot every 10 s.
const JOBS: usize = 8;

/// A call of the log service.
#[derive(Debug)]
enum Job {
    Read {
        request: config::follow::Request,
        from: Offset,
        limit: usize,
    },
    Snapshot,
}

/// Channels between the two threads.
#[derive(Debug)]
pub(crate) struct Channels {
    events: (Sender<Event>, Receiver<Event>),
    jobs: (Sender<Job>, Receiver<Job>),
}

impl Default for Channels {
    fn default() -> Self {
        Self {
            events: unbounded(),
            jobs: bounded(JOBS),
        }
    }
}

/// Follows until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let events = &shared.config_channels.events.1;
    let mut next_tick = Instant::now();
    let mut next_peers = Instant::now();
    let mut behind = 0;
    while shared.phase.get() < Phase::Stopped {
        if Instant::now() >= next_peers {
            next_peers = Instant::now() + PEERS;
            handle(shared, peers(shared));
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK;
            handle(shared, Event::Tick);
        }
        if let Ok(event) = events.recv_deadline(next_tick) {
            handle(shared, event);
        }
        let counted = shared.catalog.counters().log_behind;
        shared.metrics.config_log_behind.inc_by(counted - behind);
        behind = counted;
    }
}

/// Calls the log service until the node stops.
pub(crate) fn call_log(shared: &Arc<Shared>) {
    let channels = &shared.config_channels;
    while shared.phase.get() < Phase::Stopped {
        let Ok(job) = channels.jobs.1.recv_timeout(TICK) else {
            continue;
        };
        match job {
            Job::Read { request, from, limit } => {
                let event = read(shared, request, from, limit);
                // The receiver lives as long as the node.
                channels.events.0.send(event).ok();
            }
            Job::Snapshot => append_snapshot(shared),
        }
    }
}

fn handle(shared: &Arc<Shared>, event: Event) {
    let actions = shared.catalog.handle(event, shared.now());
    for action in actions {
        match action {
            Action::Read { request, from, limit } => start(shared, Job::Read { request, from, limit }),
            Action::Fetch {
                request,
                host,
                revision,
            } => fetch::start(shared, request, &host, revision),
            Action::Folded {
                revision, verdict, ..
            } => note(shared, revision, &verdict),
            Action::Adopted(revision) => {
                shared.metrics.config_revision.set(signed(revision));
                log::info!("configuration revision {revision} taken over");
            }
            Action::SnapshotDue(key) => {
                let serves = shared.phase.get() == Phase::Serving;
                if serves && shared.peers.table().is_snapshot_writer(key) {
                    start(shared, Job::Snapshot);
                }
            }
        }
    }
}

/// Has the other thread call the log service. A call that finds no room times out in the follower.
fn start(shared: &Shared, job: Job) {
    if shared.config_channels.jobs.0.try_send(job).is_err() {
        log::warn!("the log service is so slow that a call for the configuration was given up");
    }
}

fn note(shared: &Shared, revision: Revision, verdict: &Verdict) {
    shared.metrics.config_revision.set(signed(revision));
    match verdict {
        Verdict::Accepted => log::info!("configuration revision {revision}"),
        Verdict::Conflict(_) | Verdict::Invalid(_) | Verdict::Malformed => {
            shared.metrics.config_rejected.inc();
        }
        Verdict::Repeated(_) | Verdict::Snapshot | Verdict::Skipped | Verdict::Gap => {}
    }
}

fn read(shared: &Shared, request: config::follow::Request, from: Offset, limit: usize) -> Event {
    let Ok(page) = shared.ports.log.read(STREAM, from, limit) else {
        shared.metrics.config_read_failures.inc();
        return Event::LogFailed(request);
    };
    let records = page.records.into_iter();
    let page = Page {
        records: records.map(|it| (it.offset, it.payload)).collect(),
        first: page.first,
        end: page.end,
    };
    Event::Log(request, page)
}

fn append_snapshot(shared: &Shared) {
    let payload = shared.catalog.snapshot();
    match shared.ports.log.append(STREAM, &[payload]) {
        Ok(offset) => {
            shared.metrics.peers.config_snapshots.inc();
            log::info!("configuration snapshot at offset {offset}");
        }
        // If it took effect, this node will read it.
        Err(err) => log::warn!("no configuration snapshot: {err}"),
    }
}

fn peers(shared: &Shared) -> Event {
    let now = shared.now();
    let peers = shared.peers.live(now).into_iter().map(|it| Peer {
        host: it.host,
        incarnation: it.incarnation,
        revision: it.revision,
        age: Some(it.revision_age).filter(|it| *it != Duration::MAX),
    });
    let heard = shared
        .peers
        .silence(now)
        .map(|silence| now.saturating_sub(silence));
    Event::Peers(peers.collect(), heard)
}

fn signed(revision: Revision) -> i64 {
    i64::try_from(revision).unwrap_or(i64::MAX)
}
