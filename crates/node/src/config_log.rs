//! Replication of the configuration from the log and from peers.
//!
//! The logic is in `config::follow`. One thread passes events to the follower and never blocks; another one
//! calls the log service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::STREAM;
use config::follow::{Action, Event, Page, Peer};
use config::state::ApplyResult;
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use model::{Offset, Revision};

use crate::phase::Phase;
use crate::shared::Shared;

mod fetch;

pub(crate) use fetch::reply;

/// Interval of the follower's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the follower receives the list of peers.
const PEERS_INTERVAL: Duration = Duration::from_millis(200);

/// Capacity of the queue of log service calls. The follower has one read in progress and requests a snapshot
/// every 10 s.
const MAX_QUEUED_CALLS: usize = 8;

/// A call to the log service.
#[derive(Debug)]
enum LogCall {
    Read {
        request: config::follow::RequestId,
        from: Offset,
        limit: usize,
    },
    Snapshot,
}

/// Channels between the two threads.
#[derive(Debug)]
pub(crate) struct Channels {
    events: (Sender<Event>, Receiver<Event>),
    calls: (Sender<LogCall>, Receiver<LogCall>),
}

impl Default for Channels {
    fn default() -> Self {
        Self {
            events: unbounded(),
            calls: bounded(MAX_QUEUED_CALLS),
        }
    }
}

/// Runs the follower until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let events = &shared.config_channels.events.1;
    let mut next_tick = Instant::now();
    let mut next_peers = Instant::now();
    let mut last_log_behind = 0;
    while shared.phase.get() < Phase::Stopped {
        if Instant::now() >= next_peers {
            next_peers = Instant::now() + PEERS_INTERVAL;
            handle(shared, peers(shared));
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK_INTERVAL;
            handle(shared, Event::Tick);
        }
        if let Ok(event) = events.recv_deadline(next_tick) {
            handle(shared, event);
        }
        let log_behind = shared.config.counters().log_behind;
        shared
            .metrics
            .config_log_behind
            .inc_by(log_behind - last_log_behind);
        last_log_behind = log_behind;
    }
}

/// Calls the log service until the node stops.
pub(crate) fn call_log(shared: &Arc<Shared>) {
    let channels = &shared.config_channels;
    while shared.phase.get() < Phase::Stopped {
        let Ok(call) = channels.calls.1.recv_timeout(TICK_INTERVAL) else {
            continue;
        };
        match call {
            LogCall::Read { request, from, limit } => {
                let event = read(shared, request, from, limit);
                // The receiver lives as long as the node.
                channels.events.0.send(event).ok();
            }
            LogCall::Snapshot => append_snapshot(shared),
        }
    }
}

fn handle(shared: &Arc<Shared>, event: Event) {
    let actions = shared.config.handle(event, shared.now());
    for action in actions {
        match action {
            Action::Read { request, from, limit } => enqueue(shared, LogCall::Read { request, from, limit }),
            Action::Fetch {
                request,
                host,
                revision,
            } => fetch::start(shared, request, &host, revision),
            Action::Applied { revision, result, .. } => record_applied(shared, revision, &result),
            Action::Adopted(revision) => {
                shared.metrics.config_revision.set(signed(revision));
                log::info!("adopted configuration revision {revision} from a snapshot or a peer");
            }
            Action::SnapshotDue(key) => {
                let is_serving = shared.phase.get() == Phase::Serving;
                if is_serving && shared.peers.table().is_snapshot_writer(key) {
                    enqueue(shared, LogCall::Snapshot);
                }
            }
        }
    }
}

/// Queues a call for the other thread. If the queue is full, the call is dropped and times out in the
/// follower.
fn enqueue(shared: &Shared, call: LogCall) {
    if shared.config_channels.calls.0.try_send(call).is_err() {
        log::warn!("log service too slow: queue of configuration log calls is full, call dropped");
    }
}

fn record_applied(shared: &Shared, revision: Revision, result: &ApplyResult) {
    shared.metrics.config_revision.set(signed(revision));
    match result {
        ApplyResult::Accepted => log::info!("applied configuration revision {revision}"),
        ApplyResult::Conflict(_) | ApplyResult::Invalid(_) | ApplyResult::Malformed => {
            shared.metrics.config_rejected.inc();
        }
        ApplyResult::Repeated(_) | ApplyResult::Snapshot | ApplyResult::Skipped | ApplyResult::Gap => {}
    }
}

fn read(shared: &Shared, request: config::follow::RequestId, from: Offset, limit: usize) -> Event {
    let Ok(page) = shared.ports.log.read(STREAM, from, limit) else {
        shared.metrics.config_read_failures.inc();
        return Event::LogReadFailed(request);
    };
    let records = page.records.into_iter();
    let page = Page {
        records: records.map(|it| (it.offset, it.payload)).collect(),
        first: page.first,
        end: page.end,
    };
    Event::LogRead(request, page)
}

fn append_snapshot(shared: &Shared) {
    let payload = shared.config.snapshot();
    match shared.ports.log.append(STREAM, &[payload]) {
        Ok(offset) => {
            shared.metrics.peers.config_snapshots.inc();
            log::info!("appended configuration snapshot at offset {offset}");
        }
        // If the append took effect nevertheless, this node will read the snapshot from the log.
        Err(err) => log::warn!("cannot append a configuration snapshot: {err}"),
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
    let last_contact = shared
        .peers
        .silence(now)
        .map(|silence| now.saturating_sub(silence));
    Event::Peers(peers.collect(), last_contact)
}

fn signed(revision: Revision) -> i64 {
    i64::try_from(revision).unwrap_or(i64::MAX)
}
