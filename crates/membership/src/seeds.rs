//! Hosts known from the settings and from the lagging host list.

use std::net::SocketAddr;

use model::Host;

/// A host that may run a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Name of the host, if known.
    pub host: Option<Host>,
    /// Address for datagrams.
    pub gossip: SocketAddr,
    /// State by the list.
    pub listed: Listed,
}

/// State of a host by the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Takes work.
    Live,
    /// Is about to stop.
    Leaving,
}

impl Seed {
    /// A seed from the settings, of which only the address is known.
    pub fn address(gossip: SocketAddr) -> Self {
        Self {
            host: None,
            gossip,
            listed: Listed::Live,
        }
    }
}
