//! HTTP adapters of the ports, one module per port.
//!
//! Redirects, proxies and automatic retries are disabled, because each of them could execute a call more than
//! once. An error that says "not executed" is returned in two cases only: the request failed before the first
//! byte of the body was written to the connection, or the server replied with the header `X-Ran: no`.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod rating;
pub mod service;
pub mod weights;

mod events;
mod request;

/// Reply header with the value `no` if the server did not execute the call.
pub const RAN_HEADER: &str = "X-Ran";
