//! Hosts known from the settings and from the host list, which lags behind the actual fleet.

use std::net::SocketAddr;

use model::Host;

/// A host that may run a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Name of the host, if known.
    pub host: Option<Host>,
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
    /// State according to the host list.
    pub listed: ListedState,
}

/// State of a host according to the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Accepts requests.
    Live,
    /// About to stop.
    Leaving,
}

impl Seed {
    /// Creates a seed from the settings, where only the address is known.
    pub fn from_address(gossip: SocketAddr) -> Self {
        Self {
            host: None,
            gossip,
            listed: ListedState::Live,
        }
    }
}
