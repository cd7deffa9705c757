//! Held side: batches of other nodes, appended here if their origin dies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Incarnation;

use super::pace::Pace;
use super::peers::{Peer, Peers};
use super::settling::UNSENT;
use super::{APPEND_BYTES, Action, Append, Batch, Id, Malformed, decode, encode};
use crate::fault::{self, Fault};

/// Time between the death of an origin and the append by the first holder. It covers the time until a new node has
/// spread through gossip, during which it seems dead to its holders.
const FIRST_DELAY: Duration = Duration::from_secs(2);

/// The same for the second holder, which waits for the report of the first; several append intervals.
const SECOND_DELAY: Duration = Duration::from_secs(10);

/// Reply to a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// The batch is held.
    Held,
    /// There is no room.
    Full,
}

/// Batches held for other nodes.
#[derive(Debug)]
pub struct Held {
    limit: usize,
    bytes: usize,
    live: BTreeSet<Incarnation>,
    origins: BTreeMap<Incarnation, Origin>,
    peers: Peers,
    pace: Pace,
    appending: Vec<Id>,
}

#[derive(Debug, Default)]
struct Origin {
    /// Since when it is not among the live nodes.
    absent_since: Option<Duration>,
    batches: BTreeMap<u64, Copy>,
}

#[derive(Debug)]
struct Copy {
    payload: Box<[u8]>,
    other: Option<Peer>,
    rank: u8,
}

impl Held {
    /// Holds at most `limit` bytes of payloads.
    pub fn new(limit: usize, now: Duration) -> Self {
        Self {
            limit,
            bytes: 0,
            live: BTreeSet::new(),
            origins: BTreeMap::new(),
            peers: Peers::default(),
            pace: Pace::new(now),
            appending: Vec::new(),
        }
    }

    /// Takes a batch; repeated calls with the same batch have no further effect.
    ///
    /// # Errors
    /// [`Malformed`] if the payload is not this one batch; such a payload could not be billed later.
    pub fn hold(
        &mut self,
        id: Id,
        payload: Box<[u8]>,
        rank: u8,
        other: Option<Incarnation>,
        now: Duration,
    ) -> Result<Hold, Malformed> {
        let [Batch { id: actual, .. }] = decode(&payload)?[..] else {
            return Err(Malformed);
        };
        if actual != id {
            return Err(Malformed);
        }
        if fault::active(Fault::ConfirmUnheld) {
            return Ok(Hold::Held);
        }
        let known = self
            .origins
            .get(&id.incarnation)
            .is_some_and(|it| it.batches.contains_key(&id.sequence));
        if !known && self.bytes + payload.len() > self.limit {
            return Ok(Hold::Full);
        }
        let is_live = self.live.contains(&id.incarnation);
        let origin = self.origins.entry(id.incarnation).or_insert_with(|| Origin {
            absent_since: (!is_live).then_some(now),
            batches: BTreeMap::new(),
        });
        self.bytes += payload.len();
        let other = other.map(|it| self.peers.number(it));
        let copy = Copy { payload, other, rank };
        if let Some(before) = origin.batches.insert(id.sequence, copy) {
            self.bytes -= before.payload.len();
        }
        Ok(Hold::Held)
    }

    /// The log has the batches.
    pub fn settle(&mut self, ids: &[Id]) {
        for id in ids {
            self.remove(*id);
        }
    }

    /// Replaces the live nodes; an origin that is not among them is taken for dead until it is back.
    pub fn set_live(&mut self, live: impl IntoIterator<Item = Incarnation>, now: Duration) {
        self.live = live.into_iter().collect();
        self.pace.set_nodes(self.live.len());
        for (incarnation, origin) in &mut self.origins {
            origin.absent_since = if self.live.contains(incarnation) {
                None
            } else {
                origin.absent_since.or(Some(now))
            };
        }
    }

    /// What is due: an append of batches of dead origins.
    pub fn poll(&mut self, now: Duration) -> Option<Action> {
        if !self.pace.is_due(now) || fault::active(Fault::NoTakeover) {
            return None;
        }
        let (incarnation, batches) = self.due(now)?;
        let payload = encode(incarnation, &batches).ok()?;
        self.appending = batches.iter().map(|it| it.id).collect();
        let number = self.pace.start(now);
        Some(Action::Append { number, payload })
    }

    /// When to poll at the latest.
    pub fn wakeup(&self) -> Option<Duration> {
        let pace = self.pace.due()?;
        let due = self.origins.values().filter_map(Origin::due_time).min()?;
        Some(due.max(pace))
    }

    /// Outcome of an append; the other holders learn of a confirmed one.
    pub fn appended(&mut self, number: u64, outcome: Append, now: Duration) -> Vec<Action> {
        if !self.pace.end(number) {
            return Vec::new();
        }
        let appending = std::mem::take(&mut self.appending);
        if outcome == Append::Unconfirmed {
            self.pace.failed(now);
            return Vec::new();
        }
        self.pace.succeeded();
        let mut others: BTreeMap<Incarnation, Vec<Id>> = BTreeMap::new();
        for id in appending {
            if let Some(other) = self.remove(id).and_then(|it| it.other) {
                others.entry(self.peers.incarnation(other)).or_default().push(id);
            }
        }
        others
            .into_iter()
            .map(|(peer, ids)| Action::Settle {
                peer,
                number: UNSENT,
                ids,
            })
            .collect()
    }

    /// Whether the batch is held.
    pub fn contains(&self, id: Id) -> bool {
        self.origins
            .get(&id.incarnation)
            .is_some_and(|it| it.batches.contains_key(&id.sequence))
    }

    /// Batches held.
    pub fn len(&self) -> usize {
        self.origins.values().map(|it| it.batches.len()).sum()
    }

    /// Whether no batch is held.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Bytes of the payloads held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Batches of the first dead origin that has any due, up to the size of an append.
    fn due(&self, now: Duration) -> Option<(Incarnation, Vec<Batch>)> {
        self.origins.iter().find_map(|(incarnation, origin)| {
            let since = origin.absent_since?;
            let mut bytes = 0;
            let mut batches = Vec::new();
            for copy in origin.batches.values().filter(|it| now >= since + it.delay()) {
                bytes += copy.payload.len();
                if bytes > APPEND_BYTES && !batches.is_empty() {
                    break;
                }
                // The payload was decoded when it came.
                batches.extend(decode(&copy.payload).into_iter().flatten());
            }
            (!batches.is_empty()).then_some((*incarnation, batches))
        })
    }

    fn remove(&mut self, id: Id) -> Option<Copy> {
        let origin = self.origins.get_mut(&id.incarnation)?;
        let copy = origin.batches.remove(&id.sequence)?;
        if origin.batches.is_empty() {
            self.origins.remove(&id.incarnation);
        }
        self.bytes -= copy.payload.len();
        Some(copy)
    }
}

impl Origin {
    fn due_time(&self) -> Option<Duration> {
        let since = self.absent_since?;
        let least = self.batches.values().map(Copy::delay).min()?;
        Some(since + least)
    }
}

impl Copy {
    fn delay(&self) -> Duration {
        match self.rank {
            0 => FIRST_DELAY,
            _ => SECOND_DELAY,
        }
    }
}
