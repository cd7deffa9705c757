//! An entry node that forwards requests to the engines of a platform.
//!
//! Tasks of one small runtime carry events into the decisions of [`forward`], [`membership`] and `policy`, and carry
//! their results out. The platform is reached through a [`dialect::Dialect`]. A node keeps nothing: configuration,
//! engines and releases are read from the platform's store, and other nodes are found by gossip.

pub mod dialect;
pub mod handle;

mod answer;
mod attempt;
mod client;
mod clock;
mod control;
mod follow;
mod front;
mod members;
mod metrics;
mod notice;
mod relay;
mod releases;
mod request;
mod shared;
mod store;
mod stream;

pub use handle::{Error, Handle, spawn};
