//! One pool of upstreams with the requests that wait for its decisions.
//!
//! The policy's actions may concern any request, so each request has a mailbox, and whoever reports an event hands
//! the resulting actions to the mailboxes.

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

/// Locks over which the mailboxes are spread.
const SHARDS: u64 = 16;

/// Expected tokens of an answer before the first one is complete.
const FIRST_OUTPUT: u32 = 256;

/// Weight of one answer in the expected tokens is 1 to this number.
const OUTPUT_MEMORY: u32 = 16;

/// Notification to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Send the request.
    Send {
        /// Number of the attempt.
        number: u16,
        /// Where to.
        upstream: Upstream,
        /// Its address; `None` if it left the host list meanwhile.
        address: Option<SocketAddr>,
        /// Why.
        kind: AttemptKind,
    },
    /// Give up an attempt.
    Cancel(u16),
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// A stream on this upstream went silent; others on it may be affected.
    Stalled(Upstream),
}

/// A pool in use.
#[derive(Debug)]
pub(crate) struct Group {
    pool: Pool,
    start: Instant,
    seed: AtomicU64,
    tickets: AtomicU64,
    mailboxes: Vec<Mutex<HashMap<Ticket, Sender<Signal>>>>,
    addresses: Mutex<Arc<HashMap<Upstream, SocketAddr>>>,
    /// Expected tokens of an answer by class.
    outputs: [AtomicU32; 4],
    /// Whether any prompt filled a block of the prefix cache.
    prefixes: AtomicBool,
}

impl Group {
    /// A group without upstreams; `start` is the zero of the node's clock.
    pub(super) fn new(settings: Settings, node: DomainMember<Name>, start: Instant) -> Self {
        Self {
            pool: Pool::new(settings, node),
            start,
            seed: AtomicU64::new(u64::from(start.elapsed().subsec_nanos())),
            tickets: AtomicU64::new(0),
            mailboxes: (0..SHARDS).map(|_| Mutex::default()).collect(),
            addresses: Mutex::default(),
            outputs: [const { AtomicU32::new(FIRST_OUTPUT) }; 4],
            prefixes: AtomicBool::new(false),
        }
    }

    /// Opens a mailbox for a new request.
    pub(super) fn open_mailbox(&self) -> (Ticket, Receiver<Signal>) {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = unbounded();
        self.shard(ticket).insert(ticket, sender);
        (ticket, receiver)
    }

    /// Closes the mailbox of a request that has ended.
    pub(super) fn close_mailbox(&self, ticket: Ticket) {
        self.shard(ticket).remove(&ticket);
    }

    /// Hands a request to the policy.
    pub(super) fn submit(&self, request: Request) {
        if !request.blocks.is_empty() {
            self.prefixes.store(true, Ordering::Relaxed);
        }
        self.act(|pool, now, rng| pool.submit(request, now, rng));
    }

    /// Reports the first token or byte of an attempt.
    pub(super) fn started(&self, attempt: Attempt) {
        self.act(|pool, now, rng| pool.attempt_started(attempt, now, rng));
    }

    /// Reports the end of an attempt.
    pub(super) fn ended(&self, attempt: Attempt, outcome: policy::pool::Outcome) {
        self.act(|pool, now, rng| pool.attempt_ended(attempt, outcome, now, rng));
    }

    /// Withdraws a request.
    pub(super) fn cancel(&self, ticket: Ticket) {
        self.act(|pool, now, rng| pool.cancel(ticket, now, rng));
    }

    /// Lets the policy act if something is due.
    pub(crate) fn tick(&self) {
        if self.pool.next_wake().is_some_and(|it| it <= self.now()) {
            self.act(Pool::tick);
        }
    }

    /// Takes the pool's hosts and the nodes that share them.
    pub(super) fn hosts(
        &self,
        addresses: impl Iterator<Item = (Upstream, SocketAddr)>,
        hosts: &[Host],
        nodes: &[DomainMember<Name>],
    ) {
        *lock(&self.addresses) = Arc::new(addresses.collect());
        self.act(|pool, now, rng| pool.update_hosts(hosts, nodes, now, rng));
    }

    /// Takes a leaving sign.
    pub(crate) fn leaving(&self, upstream: &Upstream) {
        self.pool.mark_leaving(upstream, self.now());
    }

    /// Takes a load report.
    pub(crate) fn report(&self, upstream: &Upstream, report: &LoadReport) {
        if report.leaving {
            return self.leaving(upstream);
        }
        let load = Load {
            running: report.running,
            waiting: report.waiting,
        };
        self.act(|pool, now, rng| pool.report_load(upstream, load, report.age, now, rng));
    }

    /// Takes cache events.
    pub(crate) fn cache_events(&self, upstream: &Upstream, events: &[CacheEvent]) {
        let events: Vec<_> = events.iter().map(cache_event).collect();
        self.pool.apply_cache_events(upstream, &events);
    }

    /// Whether cache events of the engines are of any use.
    pub(crate) fn has_prefixes(&self) -> bool {
        self.prefixes.load(Ordering::Relaxed)
    }

    /// Notifies all requests of the group that a stream on `upstream` went silent.
    pub(super) fn stalled(&self, upstream: &Upstream) {
        for shard in &self.mailboxes {
            for mailbox in lock(shard).values() {
                // A request that has just ended needs no news.
                mailbox.send(Signal::Stalled(upstream.clone())).ok();
            }
        }
    }

    /// Where an upstream accepts requests.
    pub(crate) fn address(&self, upstream: &Upstream) -> Option<SocketAddr> {
        lock(&self.addresses).get(upstream).copied()
    }

    /// Figures of the policy.
    pub(crate) fn status(&self) -> Status {
        self.pool.status(self.now())
    }

    /// Requests that have not ended.
    pub(super) fn open(&self) -> usize {
        self.mailboxes.iter().map(|it| lock(it).len()).sum()
    }

    /// Expected tokens of an answer.
    pub(crate) fn expected_output(&self, class: Class, max_tokens: Option<Tokens>) -> Tokens {
        let usual = self.outputs[class.index()].load(Ordering::Relaxed);
        max_tokens.map_or(usual, |it| it.min(usual))
    }

    /// Adds the length of a complete answer; an addition lost to a concurrent one does no harm.
    pub(crate) fn add_output(&self, class: Class, tokens: Tokens) {
        let cell = &self.outputs[class.index()];
        let usual = cell.load(Ordering::Relaxed);
        let sum = u64::from(usual) * u64::from(OUTPUT_MEMORY - 1) + u64::from(tokens);
        let next = sum.div_ceil(u64::from(OUTPUT_MEMORY));
        cell.store(u32::try_from(next).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    fn act(&self, event: impl FnOnce(&Pool, Duration, &mut SmallRng) -> Vec<Action>) {
        let mut rng = SmallRng::seed_from_u64(self.seed.fetch_add(1, Ordering::Relaxed));
        for action in event(&self.pool, self.now(), &mut rng) {
            let (ticket, signal) = match action {
                Action::Send {
                    attempt,
                    upstream,
                    kind,
                } => (attempt.ticket, self.send(attempt, upstream, kind)),
                Action::Cancel { attempt, .. } => (attempt.ticket, Signal::Cancel(attempt.number)),
                Action::Refuse { ticket, refusal } => (ticket, Signal::Refuse(refusal)),
                // The thread that reported the end of the attempt knows already.
                Action::Finish { .. } => continue,
            };
            if let Some(mailbox) = self.shard(ticket).get(&ticket) {
                // A request that has just ended was withdrawn from the policy as well.
                mailbox.send(signal).ok();
            }
        }
    }

    fn send(&self, attempt: Attempt, upstream: Upstream, kind: AttemptKind) -> Signal {
        Signal::Send {
            number: attempt.number,
            address: self.address(&upstream),
            upstream,
            kind,
        }
    }

    fn shard(&self, ticket: Ticket) -> MutexGuard<'_, HashMap<Ticket, Sender<Signal>>> {
        lock(&self.mailboxes[(ticket % SHARDS) as usize])
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

fn cache_event(event: &CacheEvent) -> affinity::Event {
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
