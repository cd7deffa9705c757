//! A cluster in one process: three nodes and fakes of the external services, each running on threads.
//!
//! The `bronzevale-demo` binary starts it for interactive use, and the end-to-end tests run against it.

pub mod cluster;
pub mod log_link;
pub mod sample;

pub use cluster::Cluster;
