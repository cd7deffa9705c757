//! Members of the fleet as gossip carries them.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Domain, Host, Incarnation, Revision};

/// State of a member; at the same number of refutations the later one in this order prevails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Takes work.
    Alive,
    /// Announced that it is about to stop.
    Leaving,
    /// Did not answer; may still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
}

/// Whether callers may be sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// Callers may be sent to it.
    Ready,
    /// It does not serve yet, or may have missed configuration changes.
    NotReady,
}

/// Where a member can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Datagrams of this crate.
    pub gossip: SocketAddr,
    /// Calls between nodes.
    pub peer: SocketAddr,
    /// Callers.
    pub entry: SocketAddr,
}

/// Version of what a member says about itself: the number of refutations, then the number of refreshes since.
///
/// Suspicion and death refer to a number of refutations only, so that a refresh of the load that is still on its way
/// does not refute the death of its sender. Both numbers share the 32-bit counter of the datagrams: 12 bits for
/// refutations, 20 bits for refreshes. At one refresh a second these wrap after 12 days and then count as one
/// refutation, which is harmless.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u32);

/// One member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: Host,
    /// Identity of the process.
    pub incarnation: Incarnation,
    /// Version of what the member says about itself.
    pub version: Version,
    /// State.
    pub state: State,
    /// Failure domain.
    pub domain: Domain,
    /// Addresses.
    pub addresses: Addresses,
    /// Revision of the configuration that the member holds.
    pub revision: Revision,
    /// Time since the member last knew that it held the end of the configuration log.
    pub age: Duration,
    /// Used share of its capacity in thousandths; above 1000 when it is overloaded.
    pub load: u16,
    /// Whether callers may be sent to it.
    pub readiness: Readiness,
}

impl Version {
    const REFRESH_BITS: u32 = 20;

    /// Reads the counter of a datagram.
    pub fn from_counter(counter: u32) -> Self {
        Self(counter)
    }

    /// The counter of a datagram.
    pub fn counter(self) -> u32 {
        self.0
    }

    /// Number of refutations.
    pub fn refutations(self) -> u32 {
        self.0 >> Self::REFRESH_BITS
    }

    /// The version after a refutation.
    #[must_use]
    pub fn refuted(self) -> Self {
        let next = u64::from(self.refutations() + 1) << Self::REFRESH_BITS;
        Self(u32::try_from(next).unwrap_or(u32::MAX))
    }

    /// The version after a refresh.
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

    /// Free share of its capacity in thousandths.
    pub fn spare(&self) -> u16 {
        1000_u16.saturating_sub(self.load)
    }
}
