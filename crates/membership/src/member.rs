//! Member records as disseminated by gossip.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Domain, Host, Incarnation, Revision};

/// State of a member. Between records with the same number of refutations, the later state in this order
/// wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Accepts requests.
    Alive,
    /// The member announced that it is about to stop.
    Leaving,
    /// The member did not acknowledge a probe; it may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time, or was replaced by a new process.
    Dead,
}

/// Whether callers may be sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// Callers may be sent to it.
    Ready,
    /// The member does not serve yet, or may have missed configuration changes.
    NotReady,
}

/// Addresses of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
    /// Address for calls between nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub entry: SocketAddr,
}

/// Version of a member's own record: the number of refutations, then the number of refreshes since the last
/// one.
///
/// Suspicion and death refer to the number of refutations only, so that a load refresh still in flight does
/// not refute the death of its sender. Both numbers share the 32-bit counter of the datagrams: 12 bits for
/// refutations, 20 bits for refreshes. At one refresh per second the refreshes overflow after 12 days into
/// one extra refutation, which is harmless.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u32);

/// Record of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: Host,
    /// Identity of the process.
    pub incarnation: Incarnation,
    /// Version of the record.
    pub version: Version,
    /// State.
    pub state: State,
    /// Failure domain.
    pub domain: Domain,
    /// Addresses.
    pub addresses: Addresses,
    /// Revision of the configuration that the member holds.
    pub revision: Revision,
    /// Time since the member last confirmed that it had read the configuration log to its end.
    pub revision_age: Duration,
    /// Used share of the member's capacity in thousandths; above 1000 if it is overloaded.
    pub load: u16,
    /// Whether callers may be sent to it.
    pub readiness: Readiness,
    /// Hosts of the fleet that the member has observed itself; 0 if its build doesn't tell.
    pub observed_hosts: u32,
}

impl Version {
    const REFRESH_BITS: u32 = 20;

    /// Creates a version from the counter of a datagram.
    pub fn from_counter(counter: u32) -> Self {
        Self(counter)
    }

    /// Counter for a datagram.
    pub fn counter(self) -> u32 {
        self.0
    }

    /// Number of refutations.
    pub fn refutations(self) -> u32 {
        self.0 >> Self::REFRESH_BITS
    }

    /// Returns the version after a refutation.
    #[must_use]
    pub fn refuted(self) -> Self {
        let next = u64::from(self.refutations() + 1) << Self::REFRESH_BITS;
        Self(u32::try_from(next).unwrap_or(u32::MAX))
    }

    /// Returns the version after a refresh.
    #[must_use]
    pub fn refreshed(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Member {
    /// Whether the member takes part in gossip: it is neither suspected nor dead.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Leaving)
    }

    /// Whether callers may be sent to the member.
    pub fn is_available(&self) -> bool {
        self.state == State::Alive && self.readiness == Readiness::Ready
    }

    /// Unused share of the member's capacity in thousandths.
    pub fn spare_capacity(&self) -> u16 {
        1000_u16.saturating_sub(self.load)
    }
}
