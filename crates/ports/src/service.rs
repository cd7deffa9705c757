//! Plain services.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

/// A call to an instance of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Method in capitals.
    pub method: String,
    /// Path with query, relative to the instance.
    pub path: String,
    /// Media type of the body; empty for none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, passed on to the service.
    pub idempotency_key: Option<String>,
    /// Time-out for the connection.
    pub connect_timeout: Duration,
    /// Time-out for the whole reply.
    pub timeout: Duration,
}

/// Reply of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Failure of a call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made; nothing ran.
    #[error("the service accepts no connection")]
    Connect,
    /// The instance answered that it did not run the call (status 503 with the header `X-Ran: no`).
    #[error("the service did not run the call")]
    NotRun,
    /// The connection broke or stayed silent; the call may have run.
    #[error("the outcome of the call is unknown")]
    Unknown,
}

/// Client of the plain services.
pub trait Services: Debug + Send + Sync {
    /// Sends the call once.
    ///
    /// # Errors
    /// Any [`Error`]; only [`Error::Connect`] and [`Error::NotRun`] prove that nothing ran.
    fn call(&self, address: SocketAddr, call: &Call) -> Result<Reply, Error>;
}
