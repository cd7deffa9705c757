//! Adapter of the host list.

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
struct List {
    hosts: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    name: String,
    pool: String,
    address: SocketAddr,
    domain: String,
    state: ItemState,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ItemState {
    Live,
    Leaving,
}

impl Client {
    /// A client with time-outs for the connection and for a whole call.
    pub fn new(address: SocketAddr, connect_timeout: Duration, timeout: Duration) -> Self {
        Self {
            address,
            limits: Limits::exchange(connect_timeout, timeout),
        }
    }
}

impl Hosts for Client {
    fn list(&self) -> Result<Vec<Entry>, Error> {
        let list: List =
            request::get(self.address, "/hosts", self.limits).map_err(|failure| match failure {
                Failure::Malformed => Error::Malformed,
                Failure::NotSent | Failure::Timeout | Failure::Broken => Error::Unavailable,
            })?;
        Ok(list.hosts.into_iter().map(Item::entry).collect())
    }
}

impl Item {
    fn entry(self) -> Entry {
        Entry {
            name: self.name.into(),
            pool: self.pool.into(),
            address: self.address,
            domain: self.domain.into(),
            state: match self.state {
                ItemState::Live => State::Live,
                ItemState::Leaving => State::Leaving,
            },
        }
    }
}
