//! Buffering of billing records until they are in the log.
//!
//! This module executes the actions of the state machines in `ledger::billing`. A single thread polls the
//! state machines and never blocks: calls to peers run on the asynchronous runtime, appends on a dedicated
//! thread.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::settings::Billing;
use crossbeam::channel::{Receiver, Sender, bounded};
use ledger::billing::{Action, BatchId, HoldOutcome, Holder, Key, Limits, Member, Origin, Permit, Stats};
use model::{Class, Cost, Domain, Incarnation, Name, Usage};
use wire::peer::HoldBatchRequest;

use crate::peers::convert;
use crate::shared::Shared;

mod actions;
mod driver;
mod key;

pub(crate) use driver::{append, run};
pub(crate) use key::billing_key;

/// Maximum size of the batches held for other nodes. One hour at 28.5 requests/s, in two copies of about 100
/// bytes each, takes 21 MB.
const MAX_HELD_BYTES: usize = 32 << 20;

/// Maximum wait for the release of an answer; exceeds the greatest hold time-out that the settings allow.
pub(crate) const RELEASE_TIMEOUT: Duration = Duration::from_secs(11);

/// Charge to an organisation for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    /// Deduplication key, unique within the organisation.
    pub key: Key,
    pub organisation: Name,
    pub version: Name,
    pub class: Class,
    pub usage: Usage,
    pub cost: Cost,
    /// Cost of steps whose answer was rejected; not charged to the organisation.
    pub rejected_cost: Cost,
}

/// The buffer has no capacity for another record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BufferFull;

/// State machine that requested an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Origin,
    Holder,
}

/// A payload to append to the log.
#[derive(Debug)]
struct AppendJob {
    role: Role,
    number: u64,
    payload: Vec<u8>,
}

#[derive(Debug)]
struct State {
    origin: Origin,
    holder: Holder,
    /// Permits of requests in progress.
    permits: Vec<Permit>,
    /// Answers that wait for the release of a batch, by its sequence number.
    waiters: HashMap<u64, Vec<Sender<()>>>,
    /// Whether an event was reported since the last poll.
    poll_due: bool,
}

/// Billing records of this node and of other nodes that are not in the log yet.
#[derive(Debug)]
pub(crate) struct BillingBuffer {
    state: Mutex<State>,
    /// Wakes the polling thread.
    poll_requested: Condvar,
    append_queue: (Sender<AppendJob>, Receiver<AppendJob>),
}

impl BillingBuffer {
    /// Creates the empty buffer of a starting node.
    pub(crate) fn new(incarnation: Incarnation, domain: Domain, settings: &Billing) -> Self {
        let own = Member { incarnation, domain };
        let limits = Limits {
            records: settings.max_pending_records,
            release_timeout: settings.hold_timeout,
            ..Limits::default()
        };
        Self {
            state: Mutex::new(State {
                origin: Origin::new(own, limits, Duration::ZERO),
                holder: Holder::new(MAX_HELD_BYTES, Duration::ZERO),
                permits: Vec::new(),
                waiters: HashMap::new(),
                poll_due: false,
            }),
            poll_requested: Condvar::new(),
            // Each state machine has at most one append in progress.
            append_queue: bounded(2),
        }
    }

    /// Reserves capacity for the record of a request before the request starts, so that no record is ever
    /// dropped.
    pub(crate) fn reserve(&self) -> Result<(), BufferFull> {
        let mut state = self.lock();
        let permit = state.origin.admit().map_err(|_| BufferFull)?;
        state.permits.push(permit);
        Ok(())
    }

    /// Returns the reserved capacity of a request that is not billed.
    pub(crate) fn release(&self) {
        let mut state = self.lock();
        if let Some(permit) = state.permits.pop() {
            state.origin.release(permit);
        }
    }

    /// Adds a record to reserved capacity. The returned channel receives a message when the answer may be
    /// completed.
    pub(crate) fn add(&self, record: Record, now: Duration) -> Receiver<()> {
        let (done, wait) = bounded(1);
        let mut state = self.lock();
        let Some(permit) = state.permits.pop() else {
            log::error!("billing record dropped: no capacity was reserved for it");
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
        state.waiters.entry(sequence).or_default().push(done);
        self.wake_driver(state);
        wait
    }

    /// Stores a batch of another node and returns whether it was accepted; `None` if it is malformed.
    pub(crate) fn hold(&self, shared: &Shared, message: HoldBatchRequest) -> Option<bool> {
        let id = convert::batch_id(message.id.as_ref()?)?;
        let other = match message.other_holder.as_slice() {
            [] => None,
            bytes => Some(convert::parse_incarnation(bytes)?),
        };
        let rank = u8::try_from(message.rank).ok()?;
        let mut state = self.lock();
        let hold = state
            .holder
            .hold(id, message.payload.into(), rank, other, shared.now());
        self.wake_driver(state);
        let held = hold.ok()? == HoldOutcome::Held;
        if !held {
            shared.metrics.peers.hold_refusals.inc();
        }
        Some(held)
    }

    /// Deletes batches of another node that are in the log.
    pub(crate) fn settle(&self, ids: &[BatchId]) {
        self.lock().holder.settle(ids);
    }

    /// Updates the state machines with the current members.
    pub(crate) fn set_members(&self, members: &[membership::Member], own: Incarnation, now: Duration) {
        let is_peer =
            |it: &&membership::Member| it.incarnation != own && it.state == membership::State::Alive;
        let peers: Vec<_> = members
            .iter()
            .filter(is_peer)
            .map(|it| Member {
                incarnation: it.incarnation,
                domain: it.domain.clone(),
            })
            .collect();
        // A suspected origin may still refute the suspicion; only batches of dead ones are appended here.
        let known = members.iter().filter(|it| it.state != membership::State::Dead);
        let known: Vec<_> = known.map(|it| it.incarnation).collect();
        let mut state = self.lock();
        state.origin.set_peers(&peers, known.len(), now);
        state.holder.set_live(known, now);
        self.wake_driver(state);
    }

    /// Number of records that are reserved or not yet in the log.
    pub(crate) fn unsettled(&self) -> usize {
        let state = self.lock();
        state.permits.len() + state.origin.unsettled()
    }

    /// Whether the node may exit: no permit is outstanding, and every record is in the log or held by two
    /// peers.
    pub(crate) fn is_safe_to_stop(&self) -> bool {
        self.lock().origin.is_safe_to_stop()
    }

    /// Makes the next append due immediately.
    pub(crate) fn flush(&self, now: Duration) {
        let mut state = self.lock();
        state.origin.flush(now);
        self.wake_driver(state);
    }

    /// Statistics of this node's own records.
    pub(crate) fn stats(&self) -> Stats {
        self.lock().origin.stats()
    }

    /// Number and bytes of the batches held for other nodes.
    pub(crate) fn held(&self) -> (usize, usize) {
        let state = self.lock();
        (state.holder.len(), state.holder.bytes())
    }

    /// Wakes the polling thread after an event was reported to a state machine.
    fn wake_driver(&self, mut state: MutexGuard<'_, State>) {
        state.poll_due = true;
        drop(state);
        self.poll_requested.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
