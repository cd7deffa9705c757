//! Batch that is not confirmed to be in the log, and the state of its replicas.

use std::sync::Arc;
use std::time::Duration;

use crate::billing::peer_interner::PeerIndex;
use crate::fault::{self, Fault};

/// Position among the two holders of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Slot {
    First,
    Second,
}

/// A closed batch.
#[derive(Debug)]
pub(super) struct PendingBatch {
    pub payload: Arc<[u8]>,
    pub created: Duration,
    records: u32,
    replicas: [Replica; 2],
    /// Replaced peers, which were slow or appeared dead and may still hold a replica.
    replaced: Vec<PeerIndex>,
}

/// Milliseconds since the batch was closed. A `Duration` would triple the size of [`Replica`].
type AgeMs = u32;

#[derive(Debug, Clone, Copy)]
enum Replica {
    None,
    Sent { peer: PeerIndex, age_ms: AgeMs },
    Failed { peer: PeerIndex, age_ms: AgeMs },
    Held { peer: PeerIndex },
}

impl Slot {
    pub(super) const BOTH: [Self; 2] = [Self::First, Self::Second];

    pub(super) fn other(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second => Self::First,
        }
    }

    pub(super) fn rank(self) -> u8 {
        match self {
            Self::First => 0,
            Self::Second => 1,
        }
    }

    fn index(self) -> usize {
        usize::from(self.rank())
    }
}

impl PendingBatch {
    pub(super) fn new(payload: Arc<[u8]>, records: usize, now: Duration) -> Self {
        Self {
            payload,
            created: now,
            records: records.try_into().unwrap_or(u32::MAX),
            replicas: [Replica::None; 2],
            replaced: Vec::new(),
        }
    }

    pub(super) fn records(&self) -> usize {
        self.records as usize
    }

    pub(super) fn is_replicated(&self) -> bool {
        if fault::active(Fault::ReleaseEarly) {
            return self.replicas.iter().any(|it| matches!(it, Replica::Held { .. }));
        }
        self.replicas.iter().all(|it| matches!(it, Replica::Held { .. }))
    }

    /// Peer assigned to a slot, whether it has confirmed the batch or not.
    pub(super) fn holder(&self, slot: Slot) -> Option<PeerIndex> {
        self.replicas[slot.index()].peer()
    }

    /// Peer that was sent the replica of a slot and has neither confirmed nor failed.
    pub(super) fn unconfirmed(&self, slot: Slot) -> Option<PeerIndex> {
        match self.replicas[slot.index()] {
            Replica::Sent { peer, .. } => Some(peer),
            Replica::None | Replica::Failed { .. } | Replica::Held { .. } => None,
        }
    }

    pub(super) fn needs_send(&self, slot: Slot, now: Duration, timeout: Duration) -> bool {
        match self.replicas[slot.index()] {
            Replica::None | Replica::Failed { .. } => true,
            Replica::Sent { age_ms, .. } => now >= self.time(age_ms) + timeout,
            Replica::Held { .. } => false,
        }
    }

    /// Assigns a slot to a peer. The previous peer may still hold a replica.
    pub(super) fn assign(&mut self, slot: Slot, peer: PeerIndex, now: Duration) {
        self.clear_slot(slot.index());
        self.replicas[slot.index()] = Replica::Sent {
            peer,
            age_ms: self.age_ms(now),
        };
    }

    /// Marks the replica of a peer as held. A peer that was replaced because it was slow regains an
    /// unconfirmed slot.
    pub(super) fn confirm(&mut self, peer: PeerIndex) {
        let own = self.replicas.iter().position(|it| it.peer() == Some(peer));
        let free = || {
            self.replicas
                .iter()
                .position(|it| !matches!(it, Replica::Held { .. }))
        };
        let Some(index) = own.or_else(free) else {
            return;
        };
        if own.is_none() {
            self.clear_slot(index);
        }
        self.replicas[index] = Replica::Held { peer };
    }

    /// Whether the peer failed to hold this replica less than `timeout` ago, so that it must not be asked
    /// again yet.
    pub(super) fn failed_recently(
        &self,
        slot: Slot,
        peer: PeerIndex,
        now: Duration,
        timeout: Duration,
    ) -> bool {
        match self.replicas[slot.index()] {
            Replica::Failed { peer: failed, age_ms } => failed == peer && now < self.time(age_ms) + timeout,
            Replica::None | Replica::Sent { .. } | Replica::Held { .. } => false,
        }
    }

    /// Marks the unconfirmed replica of a peer as failed; returns false if the peer has none.
    pub(super) fn fail(&mut self, peer: PeerIndex, now: Duration) -> bool {
        let age_ms = self.age_ms(now);
        let sent = |it: &&mut Replica| matches!(it, Replica::Sent { peer: to, .. } if *to == peer);
        let Some(replica) = self.replicas.iter_mut().find(sent) else {
            return false;
        };
        *replica = Replica::Failed { peer, age_ms };
        true
    }

    /// Clears the slots of peers that are no longer suitable; returns whether there were any.
    pub(super) fn remove_holders(&mut self, is_suitable: impl Fn(PeerIndex) -> bool) -> bool {
        let mut any_removed = false;
        for index in 0..self.replicas.len() {
            if self.replicas[index].peer().is_some_and(|it| !is_suitable(it)) {
                self.clear_slot(index);
                any_removed = true;
            }
        }
        any_removed
    }

    /// Current and replaced peers that may hold a replica.
    pub(super) fn possible_holders(&self) -> impl Iterator<Item = PeerIndex> + '_ {
        let current = self.replicas.iter().filter_map(|it| it.peer());
        let replaced = if fault::active(Fault::SettleCurrentHoldersOnly) {
            &[]
        } else {
            &self.replaced[..]
        };
        current.chain(replaced.iter().copied())
    }

    /// Latest time at which a replica must be sent again.
    pub(super) fn next_send(&self, timeout: Duration) -> Duration {
        let next = self.replicas.iter().filter_map(|it| match it {
            Replica::Sent { age_ms, .. } => Some(self.time(*age_ms) + timeout),
            Replica::None | Replica::Failed { .. } => Some(self.created + timeout),
            Replica::Held { .. } => None,
        });
        next.min().unwrap_or(self.created)
    }

    fn age_ms(&self, now: Duration) -> AgeMs {
        AgeMs::try_from(now.saturating_sub(self.created).as_millis()).unwrap_or(AgeMs::MAX)
    }

    fn time(&self, age_ms: AgeMs) -> Duration {
        self.created + Duration::from_millis(age_ms.into())
    }

    fn clear_slot(&mut self, index: usize) {
        if let Some(peer) = self.replicas[index].peer()
            && !self.replaced.contains(&peer)
        {
            self.replaced.push(peer);
        }
        self.replicas[index] = Replica::None;
    }
}

impl Replica {
    fn peer(self) -> Option<PeerIndex> {
        match self {
            Self::None => None,
            Self::Sent { peer, .. } | Self::Failed { peer, .. } | Self::Held { peer } => Some(peer),
        }
    }
}
