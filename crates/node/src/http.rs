//! The server of the caller API.
//!
//! Sockets belong to a small tokio runtime in [`server`]; all async code of the node towards callers is in this
//! module. A complete request head is handed to one of a bounded number of blocking threads, which answers it through
//! [`exchange::Exchange`]. Every wait on a caller has a bound: `header_timeout`, `body_timeout`, `write_timeout` and
//! `idle_timeout` of the settings.

pub(crate) mod body;
mod connection;
pub(crate) mod dispatch;
pub(crate) mod events;
pub(crate) mod exchange;
pub(crate) mod gate;
mod guard;
mod payload;
pub(crate) mod reply;
pub(crate) mod server;
pub(crate) mod tls;
