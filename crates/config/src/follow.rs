//! One node that follows the configuration log and its peers.
//!
//! [`Follower`] is a state machine without I/O: [`Follower::handle`] takes an [`Event`] and returns [`Action`]s. It
//! polls the log, and fetches what it lacks from a peer when gossip shows a higher revision, so it keeps up when it
//! cannot reach the log itself. It starts from the newest snapshot in the log plus the records after it, or from a
//! peer, whichever answers first. The revision it holds never decreases.
//!
//! Ages that travel in gossip only guide the choice of a peer. The follower counts the end of the log as confirmed by
//! replies alone, from the time at which it sent the request, because a datagram that waited in the socket buffer of
//! a paused process would make it look fresh.
//!
//! `now` is the time on the node's monotonic clock since an arbitrary start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Host, Incarnation, Offset, Revision};

use crate::fold::{State, Verdict};
use crate::record::Id;

mod log;
mod peers;
mod scan;
mod settings;
mod snapshots;
mod status;
mod tail;

pub use settings::Settings;
pub use status::{Counters, LogState, Service, Status};
pub use tail::Delta;

use scan::Scan;
use snapshots::Schedule;
use tail::Tail;

/// Identifies a request, so that its reply is related to the time at which it was sent.
pub type Request = u64;

/// Part of the log as a read returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Offsets and payloads in offset order.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// Oldest offset that the log still has.
    pub first: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
}

/// A live peer by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Host to fetch from.
    pub host: Host,
    /// Identity of its process.
    pub incarnation: Incarnation,
    /// Revision that it holds.
    pub revision: Revision,
    /// Time since it last knew that it held the end of the log; `None` if it never did.
    pub age: Option<Duration>,
}

/// Input of the follower.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; to be given at least every 100 ms.
    Tick,
    /// All live peers, and when a datagram of any of them arrived last; to be given at least once a second.
    Peers(Vec<Peer>, Option<Duration>),
    /// A read of the log returned.
    Log(Request, Page),
    /// A read of the log failed.
    LogFailed(Request),
    /// A peer answered.
    Fetched(Request, Delta),
    /// A peer did not answer.
    FetchFailed(Request),
}

/// Output of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the log.
    Read {
        /// To be returned with the reply.
        request: Request,
        /// First offset.
        from: Offset,
        /// Greatest number of records.
        limit: usize,
    },
    /// Ask a peer for what follows a revision.
    Fetch {
        /// To be returned with the reply.
        request: Request,
        /// Peer.
        host: Host,
        /// Revision held.
        revision: Revision,
    },
    /// A record was folded.
    Folded {
        /// Revision of the record.
        revision: Revision,
        /// Proposal in the record, unless it is a snapshot or malformed.
        id: Option<Id>,
        /// Effect on the state.
        verdict: Verdict,
    },
    /// The state was replaced by a later one from a snapshot or a peer.
    Adopted(Revision),
    /// A snapshot is due. The member that `membership` chooses for this key appends [`State::to_snapshot`].
    SnapshotDue(Revision),
}

/// The follower.
#[derive(Debug, Clone)]
pub struct Follower {
    settings: Settings,
    state: State,
    tail: Tail,
    scan: Option<Scan>,
    snapshots: Schedule,
    counters: Counters,
    log: LogState,
    requests: Request,
    reading: Option<(Request, Duration)>,
    fetching: Option<Fetch>,
    next_read: Duration,
    next_fetch: Duration,
    peers: Vec<Peer>,
    /// When the follower last held the end of the log for certain.
    confirmed: Option<Duration>,
    /// When the log or a peer was last heard of.
    contact: Option<Duration>,
    /// Set after a pause of the process until the follower has caught up.
    resumed: Option<Resumption>,
    last_tick: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Fetch {
    request: Request,
    sent: Duration,
    incarnation: Incarnation,
}

/// The end of a pause of the process.
#[derive(Debug, Clone)]
struct Resumption {
    paused: Duration,
    resumed: Duration,
    /// Peers that were known before the pause. A process that started since may know no more than this node told it.
    witnesses: BTreeSet<Incarnation>,
}

impl Follower {
    /// A follower that holds nothing.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            snapshots: Schedule::new(&settings, now),
            settings,
            state: State::new(),
            tail: Tail::default(),
            scan: Some(Scan::default()),
            counters: Counters::default(),
            log: LogState::Unknown,
            requests: 0,
            reading: None,
            fetching: None,
            next_read: now,
            next_fetch: now,
            peers: Vec::new(),
            confirmed: None,
            contact: None,
            resumed: None,
            last_tick: now,
        }
    }

    /// Processes an event.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Peers(peers, heard) => self.update_peers(peers, heard),
            Event::Log(request, page) => self.read_returned(request, page, now, &mut actions),
            Event::LogFailed(request) => self.read_failed(request, now),
            Event::Fetched(request, delta) => self.fetch_returned(request, delta, now, &mut actions),
            Event::FetchFailed(request) => self.fetch_failed(request),
        }
        actions
    }

    /// The folded state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// What a peer that holds `revision` lacks.
    pub fn delta(&self, revision: Revision, now: Duration) -> Delta {
        // A process that was paused itself must not vouch for others.
        let age = self.age(now).filter(|_| self.resumed.is_none());
        self.tail.delta(&self.state, revision, age)
    }

    /// Time since the follower last held the end of the log for certain; `None` if it never did.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed?))
    }

    /// When the follower last held the end of the log for certain.
    pub fn confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Whether the node may serve, and what the follower knows of the log.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            revision: self.state.revision(),
            age: self.age(now),
            service: self.service(now),
            log: self.log,
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn service(&self, now: Duration) -> Service {
        let Some(confirmed) = self.confirmed else {
            return Service::Starting;
        };
        let stale = |it: Duration| now.saturating_sub(confirmed) > it;
        let isolated = self
            .contact
            .is_none_or(|it| now.saturating_sub(it) > self.settings.isolation);
        if self.resumed.is_some() || isolated || self.settings.max_staleness.is_some_and(stale) {
            return Service::Stale;
        }
        Service::Serving
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now.saturating_sub(self.last_tick) > self.settings.pause {
            // The process may have missed a withdrawal; only replies to requests from now on show that it has not.
            self.resumed = Some(Resumption {
                paused: self.last_tick,
                resumed: now,
                witnesses: self.peers.iter().map(|it| it.incarnation).collect(),
            });
            self.reading = None;
            self.fetching = None;
            (self.next_read, self.next_fetch) = (now, now);
        }
        self.last_tick = now;
        self.time_out(now);
        if self.reading.is_none() && now >= self.next_read {
            self.read(now, actions);
        }
        if self.fetching.is_none() && now >= self.next_fetch {
            self.fetch(now, actions);
        }
        if let Some(key) = self.snapshots.due(self.state.revision(), now) {
            actions.push(Action::SnapshotDue(key));
        }
    }

    fn time_out(&mut self, now: Duration) {
        let timeout = self.settings.request_timeout;
        if self.reading.take_if(|it| now >= it.1 + timeout).is_some() {
            self.log = LogState::Down;
        }
        self.fetching.take_if(|it| now >= it.sent + timeout);
    }

    fn next_request(&mut self) -> Request {
        self.requests += 1;
        self.requests
    }

    fn fold(&mut self, records: Vec<(Offset, Vec<u8>)>, now: Duration, actions: &mut Vec<Action>) {
        for (offset, payload) in records {
            let (verdict, id) = self.state.apply_identified(offset, &payload);
            match verdict {
                Verdict::Skipped => continue,
                Verdict::Gap => return,
                Verdict::Snapshot => self.snapshots.seen(self.state.revision(), now),
                Verdict::Malformed => self.counters.malformed += 1,
                _ => {}
            }
            actions.push(Action::Folded {
                revision: self.state.revision(),
                id,
                verdict,
            });
            self.tail.push(offset, payload);
        }
    }

    fn adopt(&mut self, state: State, actions: &mut Vec<Action>) {
        if state.revision() <= self.state.revision() {
            return;
        }
        self.state = state;
        self.tail.clear();
        actions.push(Action::Adopted(self.state.revision()));
    }

    /// Notes that the follower held the end of the log at `at`.
    fn confirm(&mut self, at: Duration) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    fn contacted(&mut self, at: Duration) {
        self.contact = self.contact.max(Some(at));
    }
}

/// Requests that are sorted by host, so that a choice among them is the same for the same peers.
fn by_host(peers: Vec<Peer>) -> Vec<Peer> {
    let unique: BTreeMap<_, _> = peers.into_iter().map(|it| (it.host.clone(), it)).collect();
    unique.into_values().collect()
}
