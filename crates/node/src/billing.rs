//! Billing records on their way into the log.
//!
//! The state machines of `ledger::billing` decide; this module carries out their actions. One thread polls them. It
//! never blocks: calls to peers run on the runtime, appends on a thread of their own.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::settings::Billing;
use crossbeam::channel::{Receiver, Sender, bounded};
use ledger::billing::{Action, Held, Hold, Id, Key, Limits, Member, Origin, Permit, Stats};
use model::{Class, Cost, Domain, Incarnation, Name, Usage};
use wire::peer::HoldBatchRequest;

use crate::peers::convert;
use crate::shared::Shared;

mod actions;
mod driver;
mod identity;

pub(crate) use driver::{append, run};
pub(crate) use identity::identity;

/// Bytes of batches held for other nodes. One hour at 28.5 requests/s, in two copies of about 100 bytes each, takes
/// 21 MB.
const HELD_BYTES: usize = 32 << 20;

/// Longest wait for the release of an answer, above the greatest hold time-out of the settings.
pub(crate) const RELEASE_TIMEOUT: Duration = Duration::from_secs(11);

/// What an organisation owes for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    /// Identity for discarding repetitions, within the organisation.
    pub key: Key,
    pub organisation: Name,
    pub version: Name,
    pub class: Class,
    pub usage: Usage,
    pub cost: Cost,
    /// Cost of steps whose answer was rejected; not paid by the organisation.
    pub rejected_cost: Cost,
}

/// No room for another record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Full;

/// Who asked for an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Origin,
    Held,
}

/// A payload for the log.
#[derive(Debug)]
struct Job {
    side: Side,
    number: u64,
    payload: Vec<u8>,
}

#[derive(Debug)]
struct State {
    origin: Origin,
    held: Held,
    /// Room of requests under way.
    permits: Vec<Permit>,
    /// Answers that wait for the release of a batch.
    waiting: HashMap<u64, Vec<Sender<()>>>,
    /// Whether something was reported since the last poll.
    is_due: bool,
}

/// Billing records of this node and of others that the log does not have yet.
#[derive(Debug)]
pub(crate) struct Biller {
    state: Mutex<State>,
    /// Wakes the thread that polls.
    changed: Condvar,
    jobs: (Sender<Job>, Receiver<Job>),
}

impl Biller {
    /// An empty biller of a node that starts now.
    pub(crate) fn new(incarnation: Incarnation, domain: Domain, settings: &Billing) -> Self {
        let own = Member { incarnation, domain };
        let limits = Limits {
            records: settings.max_pending_records,
            release: settings.hold_timeout,
            ..Limits::default()
        };
        Self {
            state: Mutex::new(State {
                origin: Origin::new(own, limits, Duration::ZERO),
                held: Held::new(HELD_BYTES, Duration::ZERO),
                permits: Vec::new(),
                waiting: HashMap::new(),
                is_due: false,
            }),
            changed: Condvar::new(),
            // Each side has at most one append under way.
            jobs: bounded(2),
        }
    }

    /// Reserves room for the record of a request before it starts, so that no record is ever dropped.
    pub(crate) fn reserve(&self) -> Result<(), Full> {
        let mut state = self.lock();
        let permit = state.origin.admit().map_err(|_| Full)?;
        state.permits.push(permit);
        Ok(())
    }

    /// Returns the room of a request that is not billed.
    pub(crate) fn release(&self) {
        let mut state = self.lock();
        if let Some(permit) = state.permits.pop() {
            state.origin.release(permit);
        }
    }

    /// Adds a record in reserved room; the receiver reports when the answer may end.
    pub(crate) fn add(&self, record: Record, now: Duration) -> Receiver<()> {
        let (done, wait) = bounded(1);
        let mut state = self.lock();
        let Some(permit) = state.permits.pop() else {
            log::error!("a record without reserved room is not billed");
            return wait;
        };
        let record = ledger::billing::Record {
            organisation: record.organisation,
            key: record.key,
            version: record.version,
            usage: record.usage,
            cost: record.cost,
            rejected: record.rejected_cost,
        };
        let sequence = state.origin.record(permit, record, now);
        state.waiting.entry(sequence).or_default().push(done);
        self.report(state);
        wait
    }

    /// Takes a batch of another node; `None` if it is malformed.
    pub(crate) fn hold(&self, shared: &Shared, message: HoldBatchRequest) -> Option<bool> {
        let id = convert::id(message.id.as_ref()?)?;
        let other = match message.other_holder.as_slice() {
            [] => None,
            bytes => Some(convert::parse_incarnation(bytes)?),
        };
        let rank = u8::try_from(message.rank).ok()?;
        let mut state = self.lock();
        let hold = state
            .held
            .hold(id, message.payload.into(), rank, other, shared.now());
        self.report(state);
        let held = hold.ok()? == Hold::Held;
        if !held {
            shared.metrics.peers.hold_refusals.inc();
        }
        Some(held)
    }

    /// The log has batches of another node.
    pub(crate) fn settle(&self, ids: &[Id]) {
        self.lock().held.settle(ids);
    }

    /// Takes over the present members.
    pub(crate) fn set_members(&self, members: &[membership::Member], own: Incarnation, now: Duration) {
        let holder = |it: &&membership::Member| it.incarnation != own && it.state == membership::State::Alive;
        let peers: Vec<_> = members
            .iter()
            .filter(holder)
            .map(|it| Member {
                incarnation: it.incarnation,
                domain: it.domain.clone(),
            })
            .collect();
        // A suspected origin may still refute; only a dead one is taken over.
        let known = members.iter().filter(|it| it.state != membership::State::Dead);
        let known: Vec<_> = known.map(|it| it.incarnation).collect();
        let mut state = self.lock();
        state.origin.set_peers(&peers, known.len(), now);
        state.held.set_live(known, now);
        self.report(state);
    }

    /// Number of records that are reserved or not in the log.
    pub(crate) fn unsettled(&self) -> usize {
        let state = self.lock();
        state.permits.len() + state.origin.unsettled()
    }

    /// Whether every record is in the log or at two peers.
    pub(crate) fn is_safe(&self) -> bool {
        self.lock().origin.is_safe()
    }

    /// Makes the next append due at once.
    pub(crate) fn flush(&self, now: Duration) {
        let mut state = self.lock();
        state.origin.flush(now);
        self.report(state);
    }

    /// Counts of the own records.
    pub(crate) fn stats(&self) -> Stats {
        self.lock().origin.stats()
    }

    /// Batches and bytes held for other nodes.
    pub(crate) fn held(&self) -> (usize, usize) {
        let state = self.lock();
        (state.held.len(), state.held.bytes())
    }

    /// Has the state machines polled after a report to them.
    fn report(&self, mut state: MutexGuard<'_, State>) {
        state.is_due = true;
        drop(state);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
