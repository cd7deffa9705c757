//! Client interface of plain services.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

/// An HTTP call to one instance of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Media type of the body; if empty, no `Content-Type` header is sent.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Value of the `Idempotency-Key` header for the service.
    pub idempotency_key: Option<String>,
    /// Time-out for establishing the connection.
    pub connect_timeout: Duration,
    /// Time-out for the whole call.
    pub timeout: Duration,
}

/// Reply of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body; empty if the service sent none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Failure of a call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was established; nothing was executed.
    #[error("cannot connect to the service")]
    Connect,
    /// The instance replied that it did not execute the call (status 503 with the header `X-Ran: no`).
    #[error("the service refused the call without executing it")]
    NotRun,
    /// The connection failed, the call timed out or the reply was malformed; the call may have been executed.
    #[error("the call to the service failed after it was sent; it may have been executed")]
    Unknown,
}

/// Client of the plain services.
pub trait Services: Debug + Send + Sync {
    /// Sends the call exactly once, without retries.
    ///
    /// # Errors
    /// Any [`Error`]; only [`Error::Connect`] and [`Error::NotRun`] prove that nothing was executed.
    fn call(&self, address: SocketAddr, call: &Call) -> Result<Reply, Error>;
}
