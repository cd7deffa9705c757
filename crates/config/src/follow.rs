//! Replication of the configuration to one node, from the log and from peers.
//!
//! [`Follower`] is a state machine without I/O: [`Follower::handle`] takes an [`Event`] and returns
//! [`Action`]s. It polls the log, and fetches missing records from a peer when gossip reports a higher
//! revision, so it keeps up without access to the log. It starts from the newest snapshot in the log plus the
//! records after it, or from a peer, whichever answers first. Its revision never decreases.
//!
//! Ages reported by gossip only guide the choice of a peer. The end of the log counts as confirmed only by a
//! reply, and as of the time at which its request was sent: a datagram that waited in the socket buffer of a
//! paused process would otherwise make stale data look fresh.
//!
//! `now` is the time on the node's monotonic clock since an arbitrary start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Host, Incarnation, Offset, Revision};

use crate::record::ProposalId;
use crate::state::{ApplyResult, State};

mod log;
mod peers;
mod scan;
mod settings;
mod snapshots;
mod status;
mod tail;

pub use settings::Settings;
pub use status::{Counters, LogState, Readiness, Status};
pub use tail::Delta;

use scan::Scan;
use snapshots::SnapshotSchedule;
use tail::Tail;

/// Matches a reply to its request, and so to the time at which the request was sent.
pub type RequestId = u64;

/// Result of a log read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Offsets and payloads, in offset order.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// Oldest offset that the log still holds.
    pub first: Offset,
    /// Offset of the next append.
    pub end: Offset,
}

/// A peer that gossip reports as live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Host to fetch from.
    pub host: Host,
    /// Identity of the peer's process.
    pub incarnation: Incarnation,
    /// Revision of the peer.
    pub revision: Revision,
    /// Time since the peer last confirmed that it was at the end of the log; `None` if it never did.
    pub age: Option<Duration>,
}

/// Input of a [`Follower`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Must be sent at least every 100 ms.
    Tick,
    /// All live peers, and when the last datagram from any of them arrived. Must be sent at least once a
    /// second.
    Peers(Vec<Peer>, Option<Duration>),
    /// A log read succeeded.
    LogRead(RequestId, Page),
    /// A log read failed.
    LogReadFailed(RequestId),
    /// A peer answered a fetch.
    Fetched(RequestId, Delta),
    /// A peer did not answer a fetch.
    FetchFailed(RequestId),
}

/// Output of a [`Follower`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the log.
    Read {
        /// To be passed back with the result.
        request: RequestId,
        /// First offset to read.
        from: Offset,
        /// Maximum number of records.
        limit: usize,
    },
    /// Fetch everything after a revision from a peer.
    Fetch {
        /// To be passed back with the result.
        request: RequestId,
        /// Host of the peer.
        host: Host,
        /// Current revision of this node.
        revision: Revision,
    },
    /// A record was applied.
    Applied {
        /// Revision of the record.
        revision: Revision,
        /// Id of the proposal; `None` if the record is a snapshot or malformed.
        id: Option<ProposalId>,
        /// Effect on the state.
        result: ApplyResult,
    },
    /// The state was replaced by a newer one from a snapshot or a peer.
    Adopted(Revision),
    /// A snapshot is due. The member that `membership` selects for this key appends [`State::to_snapshot`].
    SnapshotDue(Revision),
}

/// State machine that keeps one node's configuration up to date.
#[derive(Debug, Clone)]
pub struct Follower {
    settings: Settings,
    state: State,
    tail: Tail,
    scan: Option<Scan>,
    snapshots: SnapshotSchedule,
    counters: Counters,
    log: LogState,
    last_request_id: RequestId,
    pending_read: Option<(RequestId, Duration)>,
    pending_fetch: Option<Fetch>,
    next_read: Duration,
    next_fetch: Duration,
    peers: Vec<Peer>,
    /// Latest time at which the state was known to be at the end of the log.
    confirmed_at: Option<Duration>,
    /// Latest contact with the log or a peer.
    last_contact: Option<Duration>,
    /// Set after the process was paused, until the follower has caught up.
    resumption: Option<Resumption>,
    last_tick: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Fetch {
    request: RequestId,
    sent_at: Duration,
    incarnation: Incarnation,
}

/// A pause of the process from which the follower has not caught up yet.
#[derive(Debug, Clone)]
struct Resumption {
    paused_at: Duration,
    resumed_at: Duration,
    /// Peers known before the pause. A process started since then may have got its state from this node.
    known_peers: BTreeSet<Incarnation>,
}

impl Follower {
    /// Creates a follower with an empty state.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            snapshots: SnapshotSchedule::new(&settings, now),
            settings,
            state: State::new(),
            tail: Tail::default(),
            scan: Some(Scan::default()),
            counters: Counters::default(),
            log: LogState::Unknown,
            last_request_id: 0,
            pending_read: None,
            pending_fetch: None,
            next_read: now,
            next_fetch: now,
            peers: Vec::new(),
            confirmed_at: None,
            last_contact: None,
            resumption: None,
            last_tick: now,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Peers(peers, heard) => self.update_peers(peers, heard),
            Event::LogRead(request, page) => self.read_returned(request, page, now, &mut actions),
            Event::LogReadFailed(request) => self.read_failed(request, now),
            Event::Fetched(request, delta) => self.fetch_returned(request, delta, now, &mut actions),
            Event::FetchFailed(request) => self.fetch_failed(request),
        }
        actions
    }

    /// The configuration state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// What a peer at `revision` is missing.
    pub fn delta(&self, revision: Revision, now: Duration) -> Delta {
        // A process that was paused itself cannot confirm freshness to others.
        let age = self.age(now).filter(|_| self.resumption.is_none());
        self.tail.delta(&self.state, revision, age)
    }

    /// Time since the state was last known to be at the end of the log; `None` if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Latest time at which the state was known to be at the end of the log.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Readiness of the node and state of the log.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            revision: self.state.revision(),
            age: self.age(now),
            readiness: self.readiness(now),
            log: self.log,
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn readiness(&self, now: Duration) -> Readiness {
        let Some(confirmed) = self.confirmed_at else {
            return Readiness::Starting;
        };
        let stale = |it: Duration| now.saturating_sub(confirmed) > it;
        let isolated = self
            .last_contact
            .is_none_or(|it| now.saturating_sub(it) > self.settings.isolation_timeout);
        if self.resumption.is_some() || isolated || self.settings.max_staleness.is_some_and(stale) {
            return Readiness::Stale;
        }
        Readiness::Serving
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now.saturating_sub(self.last_tick) > self.settings.pause_threshold {
            // The process may have missed a withdrawal. Only replies to requests sent from now on can rule
            // that out.
            self.resumption = Some(Resumption {
                paused_at: self.last_tick,
                resumed_at: now,
                known_peers: self.peers.iter().map(|it| it.incarnation).collect(),
            });
            self.pending_read = None;
            self.pending_fetch = None;
            (self.next_read, self.next_fetch) = (now, now);
        }
        self.last_tick = now;
        self.expire_requests(now);
        if self.pending_read.is_none() && now >= self.next_read {
            self.start_read(now, actions);
        }
        if self.pending_fetch.is_none() && now >= self.next_fetch {
            self.start_fetch(now, actions);
        }
        if let Some(key) = self.snapshots.due(self.state.revision(), now) {
            actions.push(Action::SnapshotDue(key));
        }
    }

    fn expire_requests(&mut self, now: Duration) {
        let timeout = self.settings.request_timeout;
        if self.pending_read.take_if(|it| now >= it.1 + timeout).is_some() {
            self.log = LogState::Down;
        }
        self.pending_fetch.take_if(|it| now >= it.sent_at + timeout);
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        self.last_request_id
    }

    fn apply_records(&mut self, records: Vec<(Offset, Vec<u8>)>, now: Duration, actions: &mut Vec<Action>) {
        for (offset, payload) in records {
            let (result, id) = self.state.apply_with_id(offset, &payload);
            match result {
                ApplyResult::Skipped => continue,
                ApplyResult::Gap => return,
                ApplyResult::Snapshot => self.snapshots.snapshot_seen(self.state.revision(), now),
                ApplyResult::Malformed => self.counters.malformed += 1,
                _ => {}
            }
            actions.push(Action::Applied {
                revision: self.state.revision(),
                id,
                result,
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

    /// Records that the state was at the end of the log at `at`.
    fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    fn record_contact(&mut self, at: Duration) {
        self.last_contact = self.last_contact.max(Some(at));
    }
}

/// Sorts peers by host and removes duplicates, so that the choice of a peer does not depend on the input
/// order.
fn sort_by_host(peers: Vec<Peer>) -> Vec<Peer> {
    let unique: BTreeMap<_, _> = peers.into_iter().map(|it| (it.host.clone(), it)).collect();
    unique.into_values().collect()
}
