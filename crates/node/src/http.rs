//! HTTP server of the caller API.
//!
//! A small tokio runtime in [`server`] owns the sockets, and all async code that serves callers is in this
//! module. Once a request head is complete, the request runs on one of a bounded number of blocking threads,
//! which answers it through [`exchange::Exchange`]. Every wait for a caller is limited by one of the settings
//! `header_timeout`, `body_timeout`, `write_timeout` and `idle_timeout`.

pub(crate) mod admission;
mod connection;
pub(crate) mod dispatch;
pub(crate) mod events;
pub(crate) mod exchange;
pub(crate) mod reply;
pub(crate) mod request_body;
mod response_body;
pub(crate) mod server;
mod timeout_stream;
pub(crate) mod tls;
