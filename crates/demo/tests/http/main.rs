//! Robustness of the caller API against malformed, slow, malicious and numerous requests.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod arbitrary_bytes;
mod client;
mod connections;
mod limits;
mod protocol;
mod slow;
mod tls;
