//! Adapter of the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use model::Name;
use serde::Serialize;

use super::request::{self, Limits};
use crate::weights::{Error, Weights};

/// Status of a reply by which the store states that its rate limit is reached.
const TOO_MANY_REQUESTS: u16 = 429;

/// Wait if the store is busy and gives no time of its own.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
}

#[derive(Serialize)]
struct Reserve<'a> {
    version: &'a str,
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

impl Weights for Client {
    fn reserve(&self, version: &Name) -> Result<(), Error> {
        let reply = request::post(self.address, "/reservations", &Reserve { version }, self.limits)
            .map_err(|_| Error::Unavailable)?;
        if reply.is_success() {
            return Ok(());
        }
        if reply.status().as_u16() != TOO_MANY_REQUESTS {
            return Err(Error::Unavailable);
        }
        let header = reply.headers().get("Retry-After-Ms");
        let wait = header
            .and_then(|it| it.to_str().ok()?.parse().ok())
            .map_or(DEFAULT_WAIT, Duration::from_millis);
        Err(Error::RateLimited(wait))
    }
}
