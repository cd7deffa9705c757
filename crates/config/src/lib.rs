//! Settings of a node, and the configuration that all nodes fold from one log stream.
//!
//! The log stream [`STREAM`] holds proposals of changes to objects. Every node folds the same records in the same
//! order with the same pure functions, so all nodes that hold the same revision hold the same objects: [`record`]
//! defines the payloads, [`fold`] the state and the verdict on each proposal, [`check`] the rules for a
//! configuration as a whole, and [`view`] the immutable lookup for the request path. [`settings`] is what one node
//! reads from its own file.

pub mod check;
pub mod fold;
pub mod follow;
pub mod publish;
pub mod record;
pub mod settings;
pub mod view;

/// Name of the log stream that holds the configuration.
pub const STREAM: &str = "config";

#[cfg(test)]
mod tests;
