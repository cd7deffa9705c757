//! Origin side: batches of this node until the log has them.

mod limits;
mod pending;
mod queue;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Refusal};

use super::holders::Holders;
use super::pace::Pace;
use super::peers::Peers;
use super::settling::Settling;
use super::{APPEND_BYTES, Action, Append, Basis, Batch, Id, Key, Member, Record, decode, encode};
use crate::fault::{self, Fault};
pub use limits::{Limits, Permit, Stats};
use pending::{Pending, Slot};
use queue::Queue;

/// Incomplete batches looked at in one poll, which bounds its time when few peers are live.
const SCAN_LIMIT: usize = 256;

/// Least time between two polls that look at incomplete batches only.
const SCAN_INTERVAL: Duration = Duration::from_millis(5);

/// Batches of this node that the log may not have.
#[derive(Debug)]
pub struct Origin {
    own: Incarnation,
    limits: Limits,
    holders: Holders,
    pace: Pace,
    settling: Settling,
    permits: usize,
    records: usize,
    next_request: u64,
    open: Vec<Record>,
    open_since: Duration,
    peers: Peers,
    pending: Queue,
    /// Batches without two holders, and the first one to look at in the next poll.
    incomplete: BTreeSet<u64>,
    cursor: u64,
    /// Batches whose answers wait, in the order of their age.
    unreleased: BTreeSet<u64>,
    /// Batches at the front of the queue that the append in flight contains.
    appending: usize,
    stats: Stats,
}

impl Origin {
    /// An origin without batches.
    pub fn new(own: Member, limits: Limits, now: Duration) -> Self {
        Self {
            own: own.incarnation,
            limits,
            holders: Holders::new(own),
            pace: Pace::new(now),
            settling: Settling::default(),
            permits: 0,
            records: 0,
            next_request: 0,
            open: Vec::new(),
            open_since: now,
            peers: Peers::default(),
            pending: Queue::default(),
            incomplete: BTreeSet::new(),
            cursor: 0,
            unreleased: BTreeSet::new(),
            appending: 0,
            stats: Stats::default(),
        }
    }

    /// Takes room for the record of a request before it runs.
    ///
    /// # Errors
    /// `billing_full` if there is none; nothing ran.
    pub fn admit(&mut self) -> Result<Permit, Refusal> {
        if self.permits + self.records >= self.limits.records {
            return Err(Refusal::not_run(Reason::BillingFull));
        }
        self.permits += 1;
        Ok(Permit(()))
    }

    /// Gives room back for a request that is not billed.
    #[expect(clippy::needless_pass_by_value, reason = "the permit is used up")]
    pub fn release(&mut self, permit: Permit) {
        let Permit(()) = permit;
        self.permits -= 1;
    }

    /// Billing key for a request without idempotency key.
    pub fn next_key(&mut self) -> Key {
        self.next_request += 1;
        Key::Request {
            incarnation: self.own,
            number: self.next_request - 1,
        }
    }

    /// Takes the record of a complete answer and returns the sequence number of its batch, to be released later.
    pub fn record(&mut self, permit: Permit, record: Record, now: Duration) -> u64 {
        self.release(permit);
        self.records += 1;
        if self.open.is_empty() {
            self.open_since = now;
        }
        self.open.push(record);
        self.pending.end()
    }

    /// Replaces the live peers that may hold batches; `nodes` is the number of all live nodes.
    pub fn set_peers(&mut self, peers: &[Member], nodes: usize, now: Duration) {
        self.holders.set(peers, now);
        self.pace.set_nodes(nodes);
        let holders = &self.holders;
        self.settling.set_live(|it| holders.is_live(it), now);
        if fault::active(Fault::KeepDeadHolder) {
            return;
        }
        let peers = &self.peers;
        for (sequence, batch) in self.pending.iter_mut() {
            if batch.drop_holders(|it| holders.is_suitable(peers.incarnation(it))) {
                self.incomplete.insert(sequence);
            }
        }
    }

    /// A peer confirmed that it holds a batch.
    pub fn held(&mut self, peer: Incarnation, id: Id, now: Duration) {
        if id.incarnation != self.own {
            return;
        }
        let Some(batch) = self.pending.get_mut(id.sequence) else {
            // The log has the batch, and the peer learned of it only after that.
            self.settling.add(peer, id.sequence, now);
            return;
        };
        if !self.holders.is_live(peer) {
            return;
        }
        batch.confirm(self.peers.number(peer));
        if batch.is_replicated() {
            self.incomplete.remove(&id.sequence);
        }
    }

    /// A peer refused to hold a batch or is not reachable.
    pub fn hold_failed(&mut self, peer: Incarnation, id: Id, now: Duration) {
        if id.incarnation != self.own {
            return;
        }
        let Some(batch) = self.pending.get_mut(id.sequence) else {
            // The peer may hold the batch nevertheless, if only its reply was lost.
            self.settling.add(peer, id.sequence, now);
            return;
        };
        if batch.fail(self.peers.number(peer), now) {
            self.holders.avoid(peer, now);
        }
    }

    /// Outcome of an append.
    pub fn appended(&mut self, number: u64, outcome: Append, now: Duration) -> Vec<Action> {
        if !self.pace.end(number) {
            return Vec::new();
        }
        let appending = std::mem::take(&mut self.appending);
        if outcome == Append::Unconfirmed && !fault::active(Fault::SettleUnconfirmed) {
            self.stats.unconfirmed_appends += 1;
            self.pace.failed(now);
            return Vec::new();
        }
        self.pace.succeeded();
        let mut actions = Vec::new();
        for _ in 0..appending {
            self.settle(now, &mut actions);
        }
        self.settling.poll(self.own, now, &mut actions);
        actions
    }

    /// A peer replied to the settle call with this number.
    pub fn settled(&mut self, peer: Incarnation, number: u64) {
        self.settling.confirmed(peer, number);
    }

    /// What is due.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.open.is_empty() && now >= self.open_since + self.limits.linger {
            self.close_batch(now);
        }
        self.replicate(now, &mut actions);
        self.release_answers(now, &mut actions);
        self.append(now, &mut actions);
        self.settling.poll(self.own, now, &mut actions);
        actions
    }

    /// When to poll at the latest if nothing else is reported; reports are to be followed by a poll.
    pub fn wakeup(&self, now: Duration) -> Option<Duration> {
        let open = (!self.open.is_empty()).then(|| self.open_since + self.limits.linger);
        let release = self.unreleased.first().and_then(|it| self.pending.get(*it));
        let release = release.map(|it| it.created + self.limits.release);
        let incomplete = self
            .incomplete
            .iter()
            .take(SCAN_LIMIT)
            .filter_map(|it| self.pending.get(*it));
        let incomplete = incomplete.map(|it| it.next_try(self.limits.hold_timeout)).min();
        // Without enough live peers the time has passed already.
        let incomplete = incomplete.map(|it| it.max(now + SCAN_INTERVAL));
        let append = self.pace.due().filter(|_| !self.pending.is_empty());
        [open, release, incomplete, append, self.settling.wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Makes the next append due at once, for a planned stop.
    pub fn flush(&mut self, now: Duration) {
        self.pace.hurry(now);
    }

    /// Whether the node may exit: every record is in the log or at two peers.
    pub fn is_safe(&self) -> bool {
        self.permits == 0 && self.open.is_empty() && self.incomplete.is_empty()
    }

    /// Records that are not confirmed to be in the log.
    pub fn unsettled(&self) -> usize {
        self.records
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether the batch is not confirmed to be in the log.
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
        // The batch is of this incarnation, which is the only cause of a failure.
        let Ok(payload) = encode(self.own, &[batch]) else {
            return;
        };
        self.pending.push(Pending::new(payload.into(), records, now));
        self.incomplete.insert(sequence);
        self.unreleased.insert(sequence);
    }

    fn replicate(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let after = self.incomplete.range(self.cursor..);
        let scan: Vec<_> = after
            .chain(self.incomplete.range(..self.cursor))
            .copied()
            .take(SCAN_LIMIT)
            .collect();
        self.cursor = scan.last().map_or(0, |it| it + 1);
        for sequence in scan {
            for slot in Slot::BOTH {
                self.send(sequence, slot, now, actions);
            }
        }
    }

    /// Sends a copy to the holder of a slot, or to another one if the holder did not confirm in time.
    fn send(&mut self, sequence: u64, slot: Slot, now: Duration, actions: &mut Vec<Action>) {
        let id = self.id(sequence);
        let Some(batch) = self.pending.get_mut(sequence) else {
            return;
        };
        if !batch.needs_copy(slot, now, self.limits.hold_timeout) {
            return;
        }
        if let Some(silent) = batch.unconfirmed(slot) {
            self.holders.avoid(self.peers.incarnation(silent), now);
        }
        let other = batch.holder(slot.other()).map(|it| self.peers.incarnation(it));
        let Some(peer) = self.holders.choose(other, now) else {
            return;
        };
        let number = self.peers.number(peer);
        if batch.has_just_failed(slot, number, now, self.limits.hold_timeout) {
            return;
        }
        if self.holders.shares_domain(peer) {
            self.stats.same_domain += 1;
        }
        batch.assign(slot, number, now);
        actions.push(Action::Hold {
            peer,
            id,
            payload: Arc::clone(&batch.payload),
            rank: slot.rank(),
            other,
        });
    }

    fn release_answers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        // All waiting batches are younger than the release time, so the set stays small.
        let due = self.unreleased.iter().filter_map(|sequence| {
            let batch = self.pending.get(*sequence)?;
            let basis = if batch.is_replicated() {
                Basis::Replicated
            } else if now >= batch.created + self.limits.release {
                Basis::Underreplicated
            } else {
                return None;
            };
            Some((*sequence, basis))
        });
        for (sequence, basis) in due.collect::<Vec<_>>() {
            self.stats.underreplicated += u64::from(basis == Basis::Underreplicated);
            self.unreleased.remove(&sequence);
            actions.push(Action::Release { sequence, basis });
        }
    }

    fn append(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.pending.is_empty() || !self.pace.is_due(now) {
            return;
        }
        let mut batches = Vec::new();
        let mut bytes = 0;
        for pending in self.pending.iter() {
            bytes += pending.payload.len();
            if bytes > APPEND_BYTES && !batches.is_empty() {
                break;
            }
            // The payload was encoded by this node, so that it can be decoded.
            batches.extend(decode(&pending.payload).into_iter().flatten());
            self.appending += 1;
        }
        let Ok(payload) = encode(self.own, &batches) else {
            return;
        };
        let number = self.pace.start(now);
        actions.push(Action::Append { number, payload });
    }

    /// Ends the oldest batch, which the log has.
    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some((sequence, batch)) = self.pending.pop() else {
            return;
        };
        self.records -= batch.records();
        self.stats.logged += batch.records() as u64;
        self.incomplete.remove(&sequence);
        if self.unreleased.remove(&sequence) {
            let basis = Basis::Logged;
            actions.push(Action::Release { sequence, basis });
        }
        for peer in batch.informed() {
            self.settling.add(self.peers.incarnation(peer), sequence, now);
        }
    }

    fn id(&self, sequence: u64) -> Id {
        Id {
            incarnation: self.own,
            sequence,
        }
    }
}
