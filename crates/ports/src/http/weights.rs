//! HTTP client of the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use model::Name;
use serde::Serialize;

use super::request::{self, Limits};
use crate::weights::{Error, Weights};

/// Reply status if the rate limit is reached.
const TOO_MANY_REQUESTS: u16 = 429;

/// Time to wait if the store gives none in `Retry-After-Ms`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
}

#[derive(Serialize)]
struct ReservationRequest<'a> {
    version: &'a str,
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

impl Weights for Client {
    fn reserve(&self, version: &Name) -> Result<(), Error> {
        let reply = request::post(
            self.address,
            "/reservations",
            &ReservationRequest { version },
            self.limits,
        )
        .map_err(|_| Error::Unavailable)?;
        if reply.is_success() {
            return Ok(());
        }
        if reply.status().as_u16() != TOO_MANY_REQUESTS {
            return Err(Error::Unavailable);
        }
        let header = reply.headers().get("Retry-After-Ms");
        let retry_after = header
            .and_then(|it| it.to_str().ok()?.parse().ok())
            .map_or(DEFAULT_RETRY_AFTER, Duration::from_millis);
        Err(Error::RateLimited(retry_after))
    }
}
