//! Origin side: batches of this node until the log has them.

mod pending;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Refusal};

use super::holders::Holders;
use super::pace::Pace;
use super::settling::Settling;
use super::{APPEND_BYTES, Action, Append, Basis, Batch, Id, Key, Member, Record, decode, encode};
use crate::fault::{self, Fault};
use pending::{Pending, Slot};

/// Incomplete batches looked at in one poll, which bounds its time when few peers are live.
const SCAN_LIMIT: usize = 256;

/// Least time between two polls that look at incomplete batches only.
const SCAN_INTERVAL: Duration = Duration::from_millis(5);

/// Bounds and times of an origin.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Records that are admitted or not yet in the log. One hour at 28.5 requests a second are 102,600.
    pub records: usize,
    /// Time for which a batch waits for further records.
    pub linger: Duration,
    /// Time after which an answer is released although two peers do not hold its record.
    pub release: Duration,
    /// Time after which a peer that does not confirm a batch is replaced.
    pub hold_timeout: Duration,
}

/// Room for one record, taken at admission; to be given back with the record or by [`Origin::release`].
#[derive(Debug)]
#[must_use = "the room stays taken until the permit is given back"]
pub struct Permit(());

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Batches released before two peers or the log had them.
    pub underreplicated: u64,
    /// Copies sent to a peer in the own failure domain for lack of another.
    pub same_domain: u64,
    /// Appends that failed or whose reply was lost.
    pub unconfirmed_appends: u64,
    /// Records in the log.
    pub logged: u64,
}

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
    next_sequence: u64,
    open: Vec<Record>,
    open_since: Duration,
    pending: BTreeMap<u64, Pending>,
    /// Batches without two holders, and the first one to look at in the next poll.
    incomplete: BTreeSet<u64>,
    cursor: u64,
    /// Batches whose answers wait, in the order of their age.
    unreleased: BTreeSet<u64>,
    appending: Vec<u64>,
    stats: Stats,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 110_000,
            linger: Duration::from_millis(1),
            release: Duration::from_millis(250),
            hold_timeout: Duration::from_millis(60),
        }
    }
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
            next_sequence: 0,
            open: Vec::new(),
            open_since: now,
            pending: BTreeMap::new(),
            incomplete: BTreeSet::new(),
            cursor: 0,
            unreleased: BTreeSet::new(),
            appending: Vec::new(),
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
        self.next_sequence
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
        for (sequence, batch) in &mut self.pending {
            if batch.drop_holders(|it| holders.is_suitable(it)) {
                self.incomplete.insert(*sequence);
            }
        }
    }

    /// A peer confirmed that it holds a batch.
    pub fn held(&mut self, peer: Incarnation, id: Id, now: Duration) {
        if id.incarnation != self.own {
            return;
        }
        let Some(batch) = self.pending.get_mut(&id.sequence) else {
            // The log has the batch, and the peer learned of it only after that.
            self.settling.add(peer, id.sequence, now);
            return;
        };
        if !self.holders.is_live(peer) {
            return;
        }
        batch.confirm(peer);
        if batch.is_replicated() {
            self.incomplete.remove(&id.sequence);
        }
    }

    /// A peer refused to hold a batch or is not reachable.
    pub fn hold_failed(&mut self, peer: Incarnation, id: Id, now: Duration) {
        if id.incarnation != self.own {
            return;
        }
        let Some(batch) = self.pending.get_mut(&id.sequence) else {
            // The peer may hold the batch nevertheless, if only its reply was lost.
            self.settling.add(peer, id.sequence, now);
            return;
        };
        if batch.fail(peer, now) {
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
        for sequence in appending {
            self.settle(sequence, now, &mut actions);
        }
        self.settling.poll(self.own, now, &mut actions);
        actions
    }

    /// A peer confirmed that it dropped the batches.
    pub fn settled(&mut self, peer: Incarnation, ids: &[Id]) {
        let own = ids.iter().filter(|it| it.incarnation == self.own);
        self.settling.confirmed(peer, own.map(|it| it.sequence));
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
        let release = self.unreleased.first().and_then(|it| self.pending.get(it));
        let release = release.map(|it| it.created + self.limits.release);
        let incomplete = self
            .incomplete
            .iter()
            .take(SCAN_LIMIT)
            .filter_map(|it| self.pending.get(it));
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
        let is_open = sequence == self.next_sequence && !self.open.is_empty();
        is_open || self.pending.contains_key(&sequence)
    }

    fn close_batch(&mut self, now: Duration) {
        let sequence = self.next_sequence;
        let batch = Batch {
            id: self.id(sequence),
            records: std::mem::take(&mut self.open),
        };
        let records = batch.records.len();
        // The batch is of this incarnation, which is the only cause of a failure.
        let Ok(payload) = encode(self.own, &[batch]) else {
            return;
        };
        self.next_sequence += 1;
        self.pending
            .insert(sequence, Pending::new(payload.into(), records, now));
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
        let Some(batch) = self.pending.get_mut(&sequence) else {
            return;
        };
        if !batch.needs_copy(slot, now, self.limits.hold_timeout) {
            return;
        }
        if let Some(silent) = batch.unconfirmed(slot) {
            self.holders.avoid(silent, now);
        }
        let other = batch.holder(slot.other());
        let Some(peer) = self.holders.choose(other, now) else {
            return;
        };
        if batch.has_just_failed(slot, peer, now, self.limits.hold_timeout) {
            return;
        }
        if self.holders.shares_domain(peer) {
            self.stats.same_domain += 1;
        }
        batch.assign(slot, peer, now);
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
            let batch = self.pending.get(sequence)?;
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
        for (sequence, pending) in &self.pending {
            bytes += pending.payload.len();
            if bytes > APPEND_BYTES && !batches.is_empty() {
                break;
            }
            // The payload was encoded by this node, so that it can be decoded.
            batches.extend(decode(&pending.payload).into_iter().flatten());
            self.appending.push(*sequence);
        }
        let Ok(payload) = encode(self.own, &batches) else {
            return;
        };
        let number = self.pace.start(now);
        actions.push(Action::Append { number, payload });
    }

    fn settle(&mut self, sequence: u64, now: Duration, actions: &mut Vec<Action>) {
        let Some(batch) = self.pending.remove(&sequence) else {
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
            self.settling.add(peer, sequence, now);
        }
    }

    fn id(&self, sequence: u64) -> Id {
        Id {
            incarnation: self.own,
            sequence,
        }
    }
}
