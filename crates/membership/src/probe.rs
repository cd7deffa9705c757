//! Pings under way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::Incarnation;

/// Greatest number of pings for other members at a time; further requests are ignored.
const MAX_RELAYS: usize = 64;

/// The probe of the current interval.
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

/// Pings on behalf of other members by their own sequence number.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    open: BTreeMap<u64, Relay>,
}

impl Relays {
    /// Whether another one may be added.
    pub fn has_room(&self) -> bool {
        self.open.len() < MAX_RELAYS
    }

    pub fn insert(&mut self, sequence: u64, relay: Relay) {
        self.open.insert(sequence, relay);
    }

    pub fn take(&mut self, sequence: u64) -> Option<Relay> {
        self.open.remove(&sequence)
    }

    pub fn expire(&mut self, now: Duration) {
        self.open.retain(|_, it| it.expires > now);
    }
}
