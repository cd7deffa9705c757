//! Holder side: stores batches of other nodes and appends them if their origin dies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Incarnation;

use super::append_schedule::AppendSchedule;
use super::peer_interner::{PeerIndex, PeerInterner};
use super::settle_queue::NO_CALL;
use super::{Action, AppendOutcome, Batch, BatchId, MAX_APPEND_BYTES, Malformed, decode, encode};
use crate::fault::{self, Fault};

/// Delay between the death of an origin and the append by its first holder. It covers the propagation of a
/// new node through gossip, during which the node appears dead to its holders.
const FIRST_HOLDER_DELAY: Duration = Duration::from_secs(2);

/// Delay of the second holder: several append intervals, during which the first holder can append the batches
/// and report this.
const SECOND_HOLDER_DELAY: Duration = Duration::from_secs(10);

/// Reply to a request to hold a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldOutcome {
    /// The batch is held.
    Held,
    /// The limit on held bytes is reached.
    Full,
}

/// State machine of a node that holds batches for other nodes.
#[derive(Debug)]
pub struct Holder {
    max_bytes: usize,
    bytes: usize,
    live: BTreeSet<Incarnation>,
    origins: BTreeMap<Incarnation, HeldOrigin>,
    peers: PeerInterner,
    schedule: AppendSchedule,
    in_flight: Vec<BatchId>,
}

#[derive(Debug, Default)]
struct HeldOrigin {
    /// Time at which the origin was first absent from the live nodes.
    absent_since: Option<Duration>,
    batches: BTreeMap<u64, HeldBatch>,
}

#[derive(Debug)]
struct HeldBatch {
    payload: Box<[u8]>,
    other: Option<PeerIndex>,
    rank: u8,
}

impl Holder {
    /// Creates an empty holder for at most `max_bytes` bytes of payloads.
    pub fn new(max_bytes: usize, now: Duration) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            live: BTreeSet::new(),
            origins: BTreeMap::new(),
            peers: PeerInterner::default(),
            schedule: AppendSchedule::new(now),
            in_flight: Vec::new(),
        }
    }

    /// Stores a batch. The call is idempotent.
    ///
    /// # Errors
    /// [`Malformed`] if the payload is not exactly the batch `id`, because it could not be billed later.
    pub fn hold(
        &mut self,
        id: BatchId,
        payload: Box<[u8]>,
        rank: u8,
        other: Option<Incarnation>,
        now: Duration,
    ) -> Result<HoldOutcome, Malformed> {
        let [Batch { id: actual, .. }] = decode(&payload)?[..] else {
            return Err(Malformed);
        };
        if actual != id {
            return Err(Malformed);
        }
        if fault::active(Fault::ConfirmWithoutHolding) {
            return Ok(HoldOutcome::Held);
        }
        let is_known = self
            .origins
            .get(&id.incarnation)
            .is_some_and(|it| it.batches.contains_key(&id.sequence));
        if !is_known && self.bytes + payload.len() > self.max_bytes {
            return Ok(HoldOutcome::Full);
        }
        let is_live = self.live.contains(&id.incarnation);
        let origin = self.origins.entry(id.incarnation).or_insert_with(|| HeldOrigin {
            absent_since: (!is_live).then_some(now),
            batches: BTreeMap::new(),
        });
        self.bytes += payload.len();
        let other = other.map(|it| self.peers.intern(it));
        let batch = HeldBatch { payload, other, rank };
        if let Some(previous) = origin.batches.insert(id.sequence, batch) {
            self.bytes -= previous.payload.len();
        }
        Ok(HoldOutcome::Held)
    }

    /// Drops batches that are in the log.
    pub fn settle(&mut self, ids: &[BatchId]) {
        for id in ids {
            self.remove(*id);
        }
    }

    /// Replaces the live nodes. An origin that is absent from them counts as dead until it reappears.
    pub fn set_live(&mut self, live: impl IntoIterator<Item = Incarnation>, now: Duration) {
        self.live = live.into_iter().collect();
        self.schedule.set_nodes(self.live.len());
        for (incarnation, origin) in &mut self.origins {
            origin.absent_since = if self.live.contains(incarnation) {
                None
            } else {
                origin.absent_since.or(Some(now))
            };
        }
    }

    /// Returns the append that is due, if any, of batches of a dead origin.
    pub fn poll(&mut self, now: Duration) -> Option<Action> {
        if !self.schedule.is_due(now) || fault::active(Fault::NoTakeover) {
            return None;
        }
        let (incarnation, batches) = self.due(now)?;
        let payload = encode(incarnation, &batches).ok()?;
        self.in_flight = batches.iter().map(|it| it.id).collect();
        let number = self.schedule.start(now);
        Some(Action::Append { number, payload })
    }

    /// Latest time of the next call to [`Holder::poll`].
    pub fn wakeup(&self) -> Option<Duration> {
        let earliest = self.schedule.due()?;
        let due = self.origins.values().filter_map(HeldOrigin::due_time).min()?;
        Some(due.max(earliest))
    }

    /// Reports the outcome of an append. After a confirmed one, the other holders of the batches are
    /// notified.
    pub fn append_finished(&mut self, number: u64, outcome: AppendOutcome, now: Duration) -> Vec<Action> {
        if !self.schedule.end(number) {
            return Vec::new();
        }
        let in_flight = std::mem::take(&mut self.in_flight);
        if outcome == AppendOutcome::Unconfirmed {
            self.schedule.failed(now);
            return Vec::new();
        }
        self.schedule.succeeded();
        let mut others: BTreeMap<Incarnation, Vec<BatchId>> = BTreeMap::new();
        for id in in_flight {
            if let Some(other) = self.remove(id).and_then(|it| it.other) {
                others.entry(self.peers.resolve(other)).or_default().push(id);
            }
        }
        others
            .into_iter()
            .map(|(peer, ids)| Action::Settle {
                peer,
                number: NO_CALL,
                ids,
            })
            .collect()
    }

    /// Whether the batch is held.
    pub fn contains(&self, id: BatchId) -> bool {
        self.origins
            .get(&id.incarnation)
            .is_some_and(|it| it.batches.contains_key(&id.sequence))
    }

    /// Number of held batches.
    pub fn len(&self) -> usize {
        self.origins.values().map(|it| it.batches.len()).sum()
    }

    /// Whether no batch is held.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Total size of the held payloads in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Due batches of the first dead origin that has any, up to [`MAX_APPEND_BYTES`].
    fn due(&self, now: Duration) -> Option<(Incarnation, Vec<Batch>)> {
        self.origins.iter().find_map(|(incarnation, origin)| {
            let since = origin.absent_since?;
            let mut bytes = 0;
            let mut batches = Vec::new();
            for batch in origin.batches.values().filter(|it| now >= since + it.delay()) {
                bytes += batch.payload.len();
                if bytes > MAX_APPEND_BYTES && !batches.is_empty() {
                    break;
                }
                // Decoding cannot fail: `hold` has already decoded the payload.
                batches.extend(decode(&batch.payload).into_iter().flatten());
            }
            (!batches.is_empty()).then_some((*incarnation, batches))
        })
    }

    fn remove(&mut self, id: BatchId) -> Option<HeldBatch> {
        let origin = self.origins.get_mut(&id.incarnation)?;
        let batch = origin.batches.remove(&id.sequence)?;
        if origin.batches.is_empty() {
            self.origins.remove(&id.incarnation);
        }
        self.bytes -= batch.payload.len();
        Some(batch)
    }
}

impl HeldOrigin {
    fn due_time(&self) -> Option<Duration> {
        let since = self.absent_since?;
        let delay = self.batches.values().map(HeldBatch::delay).min()?;
        Some(since + delay)
    }
}

impl HeldBatch {
    fn delay(&self) -> Duration {
        match self.rank {
            0 => FIRST_HOLDER_DELAY,
            _ => SECOND_HOLDER_DELAY,
        }
    }
}
