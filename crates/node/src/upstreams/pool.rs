//! A pool of upstreams and its open requests.
//!
//! An action of the policy may concern any open request. Each request therefore has a mailbox, and the thread
//! that reports an event delivers the resulting actions to the mailboxes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use model::{Class, Name, Refusal, Tokens, Upstream};
use policy::affinity;
use policy::limit::Load;
use policy::pool::{Action, Attempt, AttemptKind, Host, Pool, Request, Settings, Status, Ticket};
use policy::subsetting::DomainMember;
use ports::engine::{CacheChange, CacheEvent, LoadReport};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[cfg(test)]
mod tests;

/// Number of locks that the mailboxes are distributed over.
const MAILBOX_SHARDS: u64 = 16;

/// Expected output tokens until the first answer of a class is complete.
const INITIAL_OUTPUT_TOKENS: u32 = 256;

/// One answer has a weight of 1 / `OUTPUT_AVERAGE_SAMPLES` in the moving average of output tokens.
const OUTPUT_AVERAGE_SAMPLES: u32 = 16;

/// Signal to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Start an attempt.
    Send {
        /// Number of the attempt.
        number: u16,
        /// Upstream that receives the request.
        upstream: Upstream,
        /// Its address; `None` if it has been removed from the host list.
        address: Option<SocketAddr>,
        /// Reason for the attempt.
        kind: AttemptKind,
    },
    /// Cancel the attempt with this number.
    Cancel(u16),
    /// Return this refusal to the caller; the request has ended.
    Refuse(Refusal),
    /// A stream on this upstream stalled; others on it may be affected.
    Stalled(Upstream),
}

/// Runtime state of a pool: its policy and the mailboxes of its open requests.
#[derive(Debug)]
pub(crate) struct UpstreamPool {
    policy: Pool,
    start: Instant,
    next_seed: AtomicU64,
    next_ticket: AtomicU64,
    mailboxes: Vec<Mutex<HashMap<Ticket, Sender<Signal>>>>,
    /// Held while a stall is signalled, so that of several streams that stall together one signals it.
    stalls: Mutex<()>,
    addresses: Mutex<Arc<HashMap<Upstream, SocketAddr>>>,
    /// Moving average of output tokens by class.
    expected_outputs: [AtomicU32; 4],
    /// Whether any prompt so far filled a block of the prefix cache.
    has_prefixes: AtomicBool,
}

impl UpstreamPool {
    /// Creates a pool without upstreams; `start` is the origin of the node's monotonic clock.
    pub(super) fn new(settings: Settings, node: DomainMember<Name>, start: Instant) -> Self {
        Self {
            policy: Pool::new(settings, node),
            start,
            next_seed: AtomicU64::new(u64::from(start.elapsed().subsec_nanos())),
            next_ticket: AtomicU64::new(0),
            mailboxes: (0..MAILBOX_SHARDS).map(|_| Mutex::default()).collect(),
            stalls: Mutex::default(),
            addresses: Mutex::default(),
            expected_outputs: [const { AtomicU32::new(INITIAL_OUTPUT_TOKENS) }; 4],
            has_prefixes: AtomicBool::new(false),
        }
    }

    /// Opens a mailbox for a new request.
    pub(super) fn open_mailbox(&self) -> (Ticket, Receiver<Signal>) {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = unbounded();
        self.shard(ticket).insert(ticket, sender);
        (ticket, receiver)
    }

    /// Closes the mailbox of a request that has ended.
    pub(super) fn close_mailbox(&self, ticket: Ticket) {
        self.shard(ticket).remove(&ticket);
    }

    /// Submits a request to the policy.
    pub(super) fn submit(&self, request: Request) {
        if !request.blocks.is_empty() {
            self.has_prefixes.store(true, Ordering::Relaxed);
        }
        self.run_policy(|pool, now, rng| pool.submit(request, now, rng));
    }

    /// Reports the first token or byte of an attempt.
    pub(super) fn started(&self, attempt: Attempt) {
        self.run_policy(|pool, now, rng| pool.attempt_started(attempt, now, rng));
    }

    /// Reports the end of an attempt.
    pub(super) fn ended(&self, attempt: Attempt, outcome: policy::pool::Outcome) {
        self.run_policy(|pool, now, rng| pool.attempt_ended(attempt, outcome, now, rng));
    }

    /// Cancels a request.
    pub(super) fn cancel(&self, ticket: Ticket) {
        self.run_policy(|pool, now, rng| pool.cancel(ticket, now, rng));
    }

    /// Runs the timers of the policy that are due.
    pub(crate) fn tick(&self) {
        if self.policy.next_wake().is_some_and(|it| it <= self.now()) {
            self.run_policy(Pool::tick);
        }
    }

    /// Replaces the pool's hosts and the entry nodes that share them.
    pub(super) fn update_hosts(
        &self,
        addresses: impl Iterator<Item = (Upstream, SocketAddr)>,
        hosts: &[Host],
        nodes: &[DomainMember<Name>],
    ) {
        *lock(&self.addresses) = Arc::new(addresses.collect());
        self.run_policy(|pool, now, rng| pool.update_hosts(hosts, nodes, now, rng));
    }

    /// Marks an upstream that is about to stop, so that it receives no new requests.
    pub(crate) fn mark_leaving(&self, upstream: &Upstream) {
        self.policy.mark_leaving(upstream, self.now());
    }

    /// Applies a load report.
    pub(crate) fn report_load(&self, upstream: &Upstream, report: &LoadReport) {
        if report.leaving {
            return self.mark_leaving(upstream);
        }
        let load = Load {
            running: report.running,
            waiting: report.waiting,
        };
        self.run_policy(|pool, now, rng| pool.report_load(upstream, load, report.age, now, rng));
    }

    /// Applies prefix cache events of an engine.
    pub(crate) fn apply_cache_events(&self, upstream: &Upstream, events: &[CacheEvent]) {
        let events: Vec<_> = events.iter().map(affinity_event).collect();
        self.policy.apply_cache_events(upstream, &events);
    }

    /// Whether cache events are worth reading: once a prompt has filled a block of the prefix cache.
    pub(crate) fn has_prefixes(&self) -> bool {
        self.has_prefixes.load(Ordering::Relaxed)
    }

    /// Signals to all requests of the pool that a stream on `upstream` stalled, unless there are signals that the request
    /// with this stream has not handled: one may say so already. Returns whether it did.
    pub(super) fn stalled(&self, upstream: &Upstream, unhandled: &Receiver<Signal>) -> bool {
        let _guard = lock(&self.stalls);
        if !unhandled.is_empty() {
            return false;
        }
        for shard in &self.mailboxes {
            for mailbox in lock(shard).values() {
                // The receiver of a request that has just ended is gone; it needs no signal.
                mailbox.send(Signal::Stalled(upstream.clone())).ok();
            }
        }
        true
    }

    /// Address at which an upstream accepts requests.
    pub(crate) fn address(&self, upstream: &Upstream) -> Option<SocketAddr> {
        lock(&self.addresses).get(upstream).copied()
    }

    /// Current state of the policy, for metrics and status pages.
    pub(crate) fn status(&self) -> Status {
        self.policy.status(self.now())
    }

    /// Number of requests that have not ended.
    pub(super) fn open_requests(&self) -> usize {
        self.mailboxes.iter().map(|it| lock(it).len()).sum()
    }

    /// Expected output tokens of an answer.
    pub(crate) fn expected_output(&self, class: Class, max_tokens: Option<Tokens>) -> Tokens {
        let average = self.expected_outputs[class.index()].load(Ordering::Relaxed);
        max_tokens.map_or(average, |it| it.min(average))
    }

    /// Adds a complete answer to the moving average. A concurrent call may overwrite the result; the average
    /// is approximate anyway.
    pub(crate) fn add_output(&self, class: Class, tokens: Tokens) {
        let cell = &self.expected_outputs[class.index()];
        let average = cell.load(Ordering::Relaxed);
        let sum = u64::from(average) * u64::from(OUTPUT_AVERAGE_SAMPLES - 1) + u64::from(tokens);
        let next = sum.div_ceil(u64::from(OUTPUT_AVERAGE_SAMPLES));
        cell.store(u32::try_from(next).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    fn run_policy(&self, event: impl FnOnce(&Pool, Duration, &mut SmallRng) -> Vec<Action>) {
        let mut rng = SmallRng::seed_from_u64(self.next_seed.fetch_add(1, Ordering::Relaxed));
        for action in event(&self.policy, self.now(), &mut rng) {
            let (ticket, signal) = match action {
                Action::Send {
                    attempt,
                    upstream,
                    kind,
                } => (attempt.ticket, self.send_signal(attempt, upstream, kind)),
                Action::Cancel { attempt, .. } => (attempt.ticket, Signal::Cancel(attempt.number)),
                Action::Refuse { ticket, refusal } => (ticket, Signal::Refuse(refusal)),
                // The thread that reported the end of the attempt has already handled it.
                Action::Finish { .. } => continue,
            };
            if let Some(mailbox) = self.shard(ticket).get(&ticket) {
                // A request whose receiver is gone has been cancelled in the policy as well.
                mailbox.send(signal).ok();
            }
        }
    }

    fn send_signal(&self, attempt: Attempt, upstream: Upstream, kind: AttemptKind) -> Signal {
        Signal::Send {
            number: attempt.number,
            address: self.address(&upstream),
            upstream,
            kind,
        }
    }

    fn shard(&self, ticket: Ticket) -> MutexGuard<'_, HashMap<Ticket, Sender<Signal>>> {
        lock(&self.mailboxes[(ticket % MAILBOX_SHARDS) as usize])
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

fn affinity_event(event: &CacheEvent) -> affinity::Event {
    affinity::Event {
        sequence: event.sequence,
        block: event.block,
        change: match event.change {
            CacheChange::Stored => affinity::Change::Stored,
            CacheChange::Evicted => affinity::Change::Evicted,
        },
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
