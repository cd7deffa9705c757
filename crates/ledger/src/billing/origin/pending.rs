//! A batch that the log may not have.

use std::sync::Arc;
use std::time::Duration;

use crate::billing::peers::Peer;
use crate::fault::{self, Fault};

/// Position among the two holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Slot {
    First,
    Second,
}

/// A closed batch.
#[derive(Debug)]
pub(super) struct Pending {
    pub payload: Arc<[u8]>,
    pub created: Duration,
    records: u32,
    copies: [Copy; 2],
    /// Further peers that may hold a copy: replaced ones that were slow or seemed dead.
    former: Vec<Peer>,
}

/// Milliseconds since a batch was closed; a `Duration` would triple the size of a copy.
type Age = u32;

#[derive(Debug, Clone, Copy)]
enum Copy {
    None,
    Sent { peer: Peer, age: Age },
    Failed { peer: Peer, age: Age },
    Held { peer: Peer },
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

impl Pending {
    pub(super) fn new(payload: Arc<[u8]>, records: usize, now: Duration) -> Self {
        Self {
            payload,
            created: now,
            records: records.try_into().unwrap_or(u32::MAX),
            copies: [Copy::None; 2],
            former: Vec::new(),
        }
    }

    pub(super) fn records(&self) -> usize {
        self.records as usize
    }

    pub(super) fn is_replicated(&self) -> bool {
        if fault::active(Fault::ReleaseEarly) {
            return self.copies.iter().any(|it| matches!(it, Copy::Held { .. }));
        }
        self.copies.iter().all(|it| matches!(it, Copy::Held { .. }))
    }

    /// Peer of a slot, confirmed or not.
    pub(super) fn holder(&self, slot: Slot) -> Option<Peer> {
        self.copies[slot.index()].peer()
    }

    /// Peer of a slot that did not confirm yet.
    pub(super) fn unconfirmed(&self, slot: Slot) -> Option<Peer> {
        match self.copies[slot.index()] {
            Copy::Sent { peer, .. } => Some(peer),
            Copy::None | Copy::Failed { .. } | Copy::Held { .. } => None,
        }
    }

    pub(super) fn needs_copy(&self, slot: Slot, now: Duration, timeout: Duration) -> bool {
        match self.copies[slot.index()] {
            Copy::None | Copy::Failed { .. } => true,
            Copy::Sent { age, .. } => now >= self.time(age) + timeout,
            Copy::Held { .. } => false,
        }
    }

    /// Gives a slot to a peer; the peer before it may still hold a copy.
    pub(super) fn assign(&mut self, slot: Slot, peer: Peer, now: Duration) {
        self.vacate(slot.index());
        self.copies[slot.index()] = Copy::Sent {
            peer,
            age: self.age(now),
        };
    }

    /// Marks the copy of a peer as held. A peer that was replaced because it was slow gets an unconfirmed slot back.
    pub(super) fn confirm(&mut self, peer: Peer) {
        let own = self.copies.iter().position(|it| it.peer() == Some(peer));
        let free = || self.copies.iter().position(|it| !matches!(it, Copy::Held { .. }));
        let Some(index) = own.or_else(free) else {
            return;
        };
        if own.is_none() {
            self.vacate(index);
        }
        self.copies[index] = Copy::Held { peer };
    }

    /// Whether the peer refused the slot too short a time ago to be asked again.
    pub(super) fn has_just_failed(&self, slot: Slot, peer: Peer, now: Duration, timeout: Duration) -> bool {
        matches!(self.copies[slot.index()], Copy::Failed { peer: failed, age } if failed == peer && now < self.time(age) + timeout)
    }

    /// Marks an unconfirmed copy as failed; false if the peer has none.
    pub(super) fn fail(&mut self, peer: Peer, now: Duration) -> bool {
        let age = self.age(now);
        let sent = |it: &&mut Copy| matches!(it, Copy::Sent { peer: to, .. } if *to == peer);
        let Some(copy) = self.copies.iter_mut().find(sent) else {
            return false;
        };
        *copy = Copy::Failed { peer, age };
        true
    }

    /// Frees the slots of peers that are not suitable any more; true if there was one.
    pub(super) fn drop_holders(&mut self, is_suitable: impl Fn(Peer) -> bool) -> bool {
        let mut dropped = false;
        for index in 0..self.copies.len() {
            if self.copies[index].peer().is_some_and(|it| !is_suitable(it)) {
                self.vacate(index);
                dropped = true;
            }
        }
        dropped
    }

    /// Peers that may hold a copy.
    pub(super) fn informed(&self) -> impl Iterator<Item = Peer> + '_ {
        let current = self.copies.iter().filter_map(|it| it.peer());
        let former = if fault::active(Fault::SettlePresentOnly) {
            &[]
        } else {
            &self.former[..]
        };
        current.chain(former.iter().copied())
    }

    /// When a copy is to be sent again at the latest.
    pub(super) fn next_try(&self, timeout: Duration) -> Duration {
        let next = self.copies.iter().filter_map(|it| match it {
            Copy::Sent { age, .. } => Some(self.time(*age) + timeout),
            Copy::None | Copy::Failed { .. } => Some(self.created + timeout),
            Copy::Held { .. } => None,
        });
        next.min().unwrap_or(self.created)
    }

    fn age(&self, now: Duration) -> Age {
        Age::try_from(now.saturating_sub(self.created).as_millis()).unwrap_or(Age::MAX)
    }

    fn time(&self, age: Age) -> Duration {
        self.created + Duration::from_millis(age.into())
    }

    fn vacate(&mut self, index: usize) {
        if let Some(peer) = self.copies[index].peer()
            && !self.former.contains(&peer)
        {
            self.former.push(peer);
        }
        self.copies[index] = Copy::None;
    }
}

impl Copy {
    fn peer(self) -> Option<Peer> {
        match self {
            Self::None => None,
            Self::Sent { peer, .. } | Self::Failed { peer, .. } | Self::Held { peer } => Some(peer),
        }
    }
}
