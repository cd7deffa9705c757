//! A small cluster in one process: stand-ins of the platform and three nodes as threads.
//!
//! The demo binary shows it to people, and the end-to-end tests run against it.

pub mod cluster;
pub mod link;
pub mod sample;

pub use cluster::Cluster;
