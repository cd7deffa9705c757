//! Origin side: batches of this node until they are in the log.

mod limits;
mod pending;
mod queue;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Refusal};

use super::append_schedule::AppendSchedule;
use super::holder_selector::HolderSelector;
use super::peer_interner::PeerInterner;
use super::settle_queue::SettleQueue;
use super::{
    Action, AppendOutcome, Batch, BatchId, Key, MAX_APPEND_BYTES, Member, Record, ReleaseReason, decode,
    encode,
};
use crate::fault::{self, Fault};
pub use limits::{Limits, Permit, Stats};
use pending::{PendingBatch, Slot};
use queue::PendingQueue;

/// Maximum number of underreplicated batches scanned per poll, which bounds its duration when few peers are
/// live.
const MAX_SCANNED_BATCHES: usize = 256;

/// Minimum interval between two polls that only scan underreplicated batches.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(5);

/// Batches of this node that are not confirmed to be in the log.
#[derive(Debug)]
pub struct Origin {
    own: Incarnation,
    limits: Limits,
    selector: HolderSelector,
    schedule: AppendSchedule,
    settle_queue: SettleQueue,
    permits: usize,
    records: usize,
    next_request: u64,
    open: Vec<Record>,
    open_since: Duration,
    peers: PeerInterner,
    pending: PendingQueue,
    /// Batches without two confirmed holders.
    underreplicated: BTreeSet<u64>,
    /// First underreplicated batch to scan in the next poll.
    scan_start: u64,
    /// Batches whose responses have not been released, oldest first.
    unreleased: BTreeSet<u64>,
    /// Number of batches, from the front of the queue, in the append in flight.
    in_flight_batches: usize,
    stats: Stats,
}

impl Origin {
    /// Creates an origin without batches.
    pub fn new(own: Member, limits: Limits, now: Duration) -> Self {
        Self {
            own: own.incarnation,
            limits,
            selector: HolderSelector::new(own),
            schedule: AppendSchedule::new(now),
            settle_queue: SettleQueue::default(),
            permits: 0,
            records: 0,
            next_request: 0,
            open: Vec::new(),
            open_since: now,
            peers: PeerInterner::default(),
            pending: PendingQueue::default(),
            underreplicated: BTreeSet::new(),
            scan_start: 0,
            unreleased: BTreeSet::new(),
            in_flight_batches: 0,
            stats: Stats::default(),
        }
    }

    /// Reserves capacity for the record of a request before the request runs.
    ///
    /// # Errors
    /// `billing_full` if the limit on records is reached; the refusal states that the request did not run.
    pub fn admit(&mut self) -> Result<Permit, Refusal> {
        if self.permits + self.records >= self.limits.records {
            return Err(Refusal::not_run(Reason::BillingFull));
        }
        self.permits += 1;
        Ok(Permit(()))
    }

    /// Returns the capacity reserved for a request that is not billed.
    #[expect(clippy::needless_pass_by_value, reason = "consumes the permit")]
    pub fn release(&mut self, permit: Permit) {
        let Permit(()) = permit;
        self.permits -= 1;
    }

    /// Creates the billing key of a request without an idempotency key.
    pub fn next_key(&mut self) -> Key {
        self.next_request += 1;
        Key::Request {
            incarnation: self.own,
            number: self.next_request - 1,
        }
    }

    /// Adds the record of a complete response and returns the sequence number of its batch, which
    /// [`Action::Release`] names later.
    pub fn record(&mut self, permit: Permit, record: Record, now: Duration) -> u64 {
        self.release(permit);
        self.records += 1;
        if self.open.is_empty() {
            self.open_since = now;
        }
        self.open.push(record);
        self.pending.end()
    }

    /// Replaces the live peers that may hold batches; `nodes` is the total number of live nodes.
    pub fn set_peers(&mut self, peers: &[Member], nodes: usize, now: Duration) {
        self.selector.set_peers(peers, now);
        self.schedule.set_nodes(nodes);
        let selector = &self.selector;
        self.settle_queue.set_live(|it| selector.is_live(it), now);
        if fault::active(Fault::KeepDeadHolder) {
            return;
        }
        let peers = &self.peers;
        for (sequence, batch) in self.pending.iter_mut() {
            if batch.remove_holders(|it| selector.is_suitable(peers.resolve(it))) {
                self.underreplicated.insert(sequence);
            }
        }
    }

    /// Reports that a peer holds a batch.
    pub fn hold_confirmed(&mut self, peer: Incarnation, id: BatchId, now: Duration) {
        if id.incarnation != self.own {
            return;
        }
        let Some(batch) = self.pending.get_mut(id.sequence) else {
            // The batch was logged before the peer confirmed it, so the peer still has to be notified.
            self.settle_queue.add(peer, id.sequence, now);
            return;
        };
        if !self.selector.is_live(peer) {
            return;
        }
        batch.confirm(self.peers.intern(peer));
        if batch.is_replicated() {
            self.underreplicated.remove(&id.sequence);
        }
    }

    /// Reports that a peer refused to hold a batch or is unreachable.
    pub fn hold_failed(&mut self, peer: Incarnation, id: BatchId, now: Duration) {
        if id.incarnation != self.own {
            return;
        }
        let Some(batch) = self.pending.get_mut(id.sequence) else {
            // The peer may still hold the batch if only its reply was lost.
            self.settle_queue.add(peer, id.sequence, now);
            return;
        };
        if batch.fail(self.peers.intern(peer), now) {
            self.selector.avoid(peer, now);
        }
    }

    /// Reports the outcome of an append and returns the actions that follow from it.
    pub fn append_finished(&mut self, number: u64, outcome: AppendOutcome, now: Duration) -> Vec<Action> {
        if !self.schedule.end(number) {
            return Vec::new();
        }
        let in_flight_batches = std::mem::take(&mut self.in_flight_batches);
        if outcome == AppendOutcome::Unconfirmed && !fault::active(Fault::SettleUnconfirmed) {
            self.stats.unconfirmed_appends += 1;
            self.schedule.failed(now);
            return Vec::new();
        }
        self.schedule.succeeded();
        let mut actions = Vec::new();
        for _ in 0..in_flight_batches {
            self.settle(now, &mut actions);
        }
        self.settle_queue.poll(self.own, now, &mut actions);
        actions
    }

    /// Reports that a peer replied to the settle call with this number.
    pub fn settle_confirmed(&mut self, peer: Incarnation, number: u64) {
        self.settle_queue.confirmed(peer, number);
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.open.is_empty() && now >= self.open_since + self.limits.linger {
            self.close_batch(now);
        }
        self.replicate(now, &mut actions);
        self.release_responses(now, &mut actions);
        self.append(now, &mut actions);
        self.settle_queue.poll(self.own, now, &mut actions);
        actions
    }

    /// Latest time of the next call to [`Origin::poll`] if no event is reported. The caller must poll after
    /// each event.
    pub fn wakeup(&self, now: Duration) -> Option<Duration> {
        let open = (!self.open.is_empty()).then(|| self.open_since + self.limits.linger);
        let release = self.unreleased.first().and_then(|it| self.pending.get(*it));
        let release = release.map(|it| it.created + self.limits.release_timeout);
        let underreplicated = self
            .underreplicated
            .iter()
            .take(MAX_SCANNED_BATCHES)
            .filter_map(|it| self.pending.get(*it));
        let underreplicated = underreplicated
            .map(|it| it.next_send(self.limits.hold_timeout))
            .min();
        // With too few live peers, the time of the next send has already passed.
        let underreplicated = underreplicated.map(|it| it.max(now + MIN_SCAN_INTERVAL));
        let append = self.schedule.due().filter(|_| !self.pending.is_empty());
        [open, release, underreplicated, append, self.settle_queue.wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Makes the next append due immediately, for a planned stop.
    pub fn flush(&mut self, now: Duration) {
        self.schedule.expedite(now);
    }

    /// Whether the node may exit: no permit is outstanding, and every record is in the log or held by two
    /// peers.
    pub fn is_safe_to_stop(&self) -> bool {
        self.permits == 0 && self.open.is_empty() && self.underreplicated.is_empty()
    }

    /// Number of records that are not confirmed to be in the log.
    pub fn unsettled(&self) -> usize {
        self.records
    }

    /// Counters since the start of the node.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether the batch exists and is not confirmed to be in the log.
    pub fn is_pending(&self, sequence: u64) -> bool {
        let is_open = sequence == self.pending.end() && !self.open.is_empty();
        is_open || self.pending.get(sequence).is_some()
    }

    fn close_batch(&mut self, now: Duration) {
        let sequence = self.pending.end();
        let batch = Batch {
            id: self.id(sequence),
            records: std::mem::take(&mut self.open),
        };
        let records = batch.records.len();
        // Encoding fails only for a batch of another incarnation, so it cannot fail here.
        let Ok(payload) = encode(self.own, &[batch]) else {
            return;
        };
        self.pending.push(PendingBatch::new(payload.into(), records, now));
        self.underreplicated.insert(sequence);
        self.unreleased.insert(sequence);
    }

    fn replicate(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let after = self.underreplicated.range(self.scan_start..);
        let scan: Vec<_> = after
            .chain(self.underreplicated.range(..self.scan_start))
            .copied()
            .take(MAX_SCANNED_BATCHES)
            .collect();
        self.scan_start = scan.last().map_or(0, |it| it + 1);
        for sequence in scan {
            for slot in Slot::BOTH {
                self.send(sequence, slot, now, actions);
            }
        }
    }

    /// Sends a replica to a peer for a slot that has none, or whose peer failed or did not confirm in time.
    fn send(&mut self, sequence: u64, slot: Slot, now: Duration, actions: &mut Vec<Action>) {
        let id = self.id(sequence);
        let Some(batch) = self.pending.get_mut(sequence) else {
            return;
        };
        if !batch.needs_send(slot, now, self.limits.hold_timeout) {
            return;
        }
        if let Some(unresponsive) = batch.unconfirmed(slot) {
            self.selector.avoid(self.peers.resolve(unresponsive), now);
        }
        let other = batch.holder(slot.other()).map(|it| self.peers.resolve(it));
        let Some(peer) = self.selector.choose(other, now) else {
            return;
        };
        let index = self.peers.intern(peer);
        if batch.failed_recently(slot, index, now, self.limits.hold_timeout) {
            return;
        }
        if self.selector.shares_domain(peer) {
            self.stats.same_domain += 1;
        }
        batch.assign(slot, index, now);
        actions.push(Action::Hold {
            peer,
            id,
            payload: Arc::clone(&batch.payload),
            rank: slot.rank(),
            other,
        });
    }

    fn release_responses(&mut self, now: Duration, actions: &mut Vec<Action>) {
        // Unreleased batches are younger than the release timeout, so the set stays small.
        let due = self.unreleased.iter().filter_map(|sequence| {
            let batch = self.pending.get(*sequence)?;
            let reason = if batch.is_replicated() {
                ReleaseReason::Replicated
            } else if now >= batch.created + self.limits.release_timeout {
                ReleaseReason::Underreplicated
            } else {
                return None;
            };
            Some((*sequence, reason))
        });
        for (sequence, reason) in due.collect::<Vec<_>>() {
            self.stats.underreplicated += u64::from(reason == ReleaseReason::Underreplicated);
            self.unreleased.remove(&sequence);
            actions.push(Action::Release { sequence, reason });
        }
    }

    fn append(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.pending.is_empty() || !self.schedule.is_due(now) {
            return;
        }
        let mut batches = Vec::new();
        let mut bytes = 0;
        for pending in self.pending.iter() {
            bytes += pending.payload.len();
            if bytes > MAX_APPEND_BYTES && !batches.is_empty() {
                break;
            }
            // Decoding cannot fail: this node encoded the payload.
            batches.extend(decode(&pending.payload).into_iter().flatten());
            self.in_flight_batches += 1;
        }
        let Ok(payload) = encode(self.own, &batches) else {
            return;
        };
        let number = self.schedule.start(now);
        actions.push(Action::Append { number, payload });
    }

    /// Removes the oldest batch, which is now in the log, and queues the notification of its holders.
    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some((sequence, batch)) = self.pending.pop() else {
            return;
        };
        self.records -= batch.records();
        self.stats.logged += batch.records() as u64;
        self.underreplicated.remove(&sequence);
        if self.unreleased.remove(&sequence) {
            let reason = ReleaseReason::Logged;
            actions.push(Action::Release { sequence, reason });
        }
        for peer in batch.possible_holders() {
            self.settle_queue.add(self.peers.resolve(peer), sequence, now);
        }
    }

    fn id(&self, sequence: u64) -> BatchId {
        BatchId {
            incarnation: self.own,
            sequence,
        }
    }
}
