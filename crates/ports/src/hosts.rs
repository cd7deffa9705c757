//! Client interface of the host list, which shows live and leaving hosts with a lag.

use std::fmt::Debug;
use std::net::SocketAddr;

use model::{Domain, Name, Upstream};

/// State of a host according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The host accepts work.
    Live,
    /// The host is shutting down.
    Leaving,
}

/// A host in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the host.
    pub name: Upstream,
    /// Pool to which the host belongs; entry hosts are in the pool `entry`.
    pub pool: Name,
    /// Address that accepts requests or, on entry hosts, gossip datagrams.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Domain,
    /// State of the host.
    pub state: State,
}

/// Failure to read the host list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service cannot be reached, did not reply in time or replied with an error status.
    #[error("the host list is unavailable")]
    Unavailable,
    /// The reply cannot be parsed.
    #[error("the host list service sent a malformed reply")]
    Malformed,
}

/// Client of the host list.
pub trait Hosts: Debug + Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Any [`Error`].
    fn list(&self) -> Result<Vec<Entry>, Error>;
}
