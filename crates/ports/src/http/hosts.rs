//! HTTP client of the host list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::request::{self, Failure, Limits};
use crate::hosts::{Entry, Error, Hosts, State};

/// Client of the host list.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
}

#[derive(Deserialize)]
struct HostsReply {
    hosts: Vec<HostItem>,
}

#[derive(Deserialize)]
struct HostItem {
    name: String,
    pool: String,
    address: SocketAddr,
    domain: String,
    state: HostItemState,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum HostItemState {
    Live,
    Leaving,
}

impl Client {
    /// Creates a client with time-outs for establishing connections and for whole calls.
    pub fn new(address: SocketAddr, connect_timeout: Duration, timeout: Duration) -> Self {
        Self {
            address,
            limits: Limits::exchange(connect_timeout, timeout),
        }
    }
}

impl Hosts for Client {
    fn list(&self) -> Result<Vec<Entry>, Error> {
        let list: HostsReply =
            request::get(self.address, "/hosts", self.limits).map_err(|failure| match failure {
                Failure::Malformed => Error::Malformed,
                Failure::NotSent | Failure::Timeout | Failure::Broken => Error::Unavailable,
            })?;
        Ok(list.hosts.into_iter().map(HostItem::into_entry).collect())
    }
}

impl HostItem {
    fn into_entry(self) -> Entry {
        Entry {
            name: self.name.into(),
            pool: self.pool.into(),
            address: self.address,
            domain: self.domain.into(),
            state: match self.state {
                HostItemState::Live => State::Live,
                HostItemState::Leaving => State::Leaving,
            },
        }
    }
}
