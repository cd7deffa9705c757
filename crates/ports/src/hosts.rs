//! The lagging list of live and leaving hosts.

use std::fmt::Debug;
use std::net::SocketAddr;

use model::{Domain, Name, Upstream};

/// State of a host by the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Live,
    /// Is about to stop.
    Leaving,
}

/// A host of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the host.
    pub name: Upstream,
    /// Pool that it serves; entry hosts are in the pool `entry`.
    pub pool: Name,
    /// Where it accepts requests (for entry hosts: gossip datagrams).
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// State.
    pub state: State,
}

/// Failure to read the host list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No usable reply.
    #[error("the host list is unavailable")]
    Unavailable,
    /// The reply is malformed.
    #[error("the host list sent a malformed reply")]
    Malformed,
}

/// Connection to the host list.
pub trait Hosts: Debug + Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Any [`Error`].
    fn list(&self) -> Result<Vec<Entry>, Error>;
}
