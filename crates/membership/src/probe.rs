//! Pings that await an acknowledgement.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::Incarnation;

/// Maximum number of concurrent pings on behalf of other members; further requests are ignored.
const MAX_PENDING_RELAYS: usize = 64;

/// Probe of the current interval.
#[derive(Debug, Clone)]
pub struct Probe {
    pub target: Incarnation,
    pub sequence: u64,
    pub started: Duration,
    pub stage: Stage,
}

/// Progress of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The member was pinged.
    Direct,
    /// Other members were asked to ping it.
    Indirect,
    /// An acknowledgement arrived.
    Answered,
}

/// A ping on behalf of another member.
#[derive(Debug, Clone)]
pub struct Relay {
    pub requester: SocketAddr,
    pub sequence: u64,
    pub expires: Duration,
}

/// Pings on behalf of other members, by the sequence number that this node sent.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    pending: BTreeMap<u64, Relay>,
}

impl Relays {
    /// Whether another relay may be added.
    pub fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_RELAYS
    }

    pub fn insert(&mut self, sequence: u64, relay: Relay) {
        self.pending.insert(sequence, relay);
    }

    pub fn take(&mut self, sequence: u64) -> Option<Relay> {
        self.pending.remove(&sequence)
    }

    pub fn expire(&mut self, now: Duration) {
        self.pending.retain(|_, it| it.expires > now);
    }
}
