//! The entry node: threads that connect the caller API, the engines, the configuration log and billing.
//!
//! [`spawn`] starts a node and returns its [`Handle`]. Decisions belong to the other crates; this crate owns sockets,
//! threads and clocks. Each request runs on one of a bounded number of blocking threads, and each attempt on an engine
//! adds a reader thread, so that a silent engine never blocks the thread that talks to the caller.

mod admin;
mod auth;
mod billing;
mod catalog;
mod chat;
mod config_log;
mod dispatch_call;
mod engine;
mod entries;
mod evidence;
mod handle;
mod hosts;
mod http;
mod key_files;
mod latencies;
mod metrics;
mod models;
mod once;
mod peers;
mod phase;
mod polling;
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
pub use handle::{Error, Handle, Stopped, spawn};
pub use peers::convert::datagram_bytes;
pub use secrets::Secrets;
pub use upstreams::INDEX_BLOCKS;
