//! Settings of a node, and the cluster-wide configuration that all nodes derive from one log stream.
//!
//! The log stream [`STREAM`] holds proposed changes to objects. Every node applies the same records in the
//! same order with the same pure functions, so all nodes at the same revision hold the same objects.
//! [`record`] defines the payloads, [`state`] the state and the result of applying each record, [`check`] the
//! validation rules, and [`view`] the immutable lookup for the request path. [`settings`] is read by each
//! node from its own file.

pub mod check;
pub mod follow;
pub mod publish;
pub mod record;
pub mod settings;
pub mod state;
pub mod view;

/// Log stream that holds the configuration.
pub const STREAM: &str = "config";

#[cfg(test)]
mod tests;
