//! HTTP adapters of the ports, one module per port.
//!
//! Redirects, proxies and repeated attempts are switched off, because each of them could run a call more than once.
//! "Nothing ran" is reported in two cases only: the failure came before the first byte of the body was handed to the
//! connection, or the server answered with the header `X-Ran: no`.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod rating;
pub mod service;
pub mod weights;

mod events;
mod request;

/// Header by which a server states that it did not run a call; its value is `no`.
pub const RAN_HEADER: &str = "X-Ran";
