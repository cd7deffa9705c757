//! The entry node: threads that connect the caller API, the engines, the configuration log and billing.
//!
//! [`spawn`] starts a node and returns its [`Handle`]. The other crates contain the decision logic; this
//! crate owns sockets, threads and clocks. Each request runs on a thread of a bounded blocking pool, and each
//! attempt on an engine adds a reader thread, so that an unresponsive engine never blocks the thread that
//! serves the caller.

mod active_config;
mod admin;
mod auth;
mod billing;
mod chat;
mod config_log;
mod dispatch_call;
mod engine;
mod engine_polling;
mod entries;
mod evidence;
mod handle;
mod hosts;
mod http;
mod idempotency;
mod key_files;
mod latencies;
mod metrics;
mod models;
mod peers;
mod phase;
mod ports;
mod ratings;
mod rollouts;
mod secrets;
mod services;
mod session;
mod shared;
mod timer;
mod upstreams;

pub use crate::ports::Ports;
pub use handle::{Error, Handle, StopOutcome, spawn};
pub use peers::convert::datagram_bytes;
pub use secrets::Secrets;
pub use upstreams::INDEX_BLOCKS;
