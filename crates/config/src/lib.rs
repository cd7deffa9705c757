//! Settings of a node, and the configuration that operators publish.

pub mod settings;
