//! In-process fakes of the external services, with fault injection.
//!
//! A fake is started with `X::bind(address, options)` and serves HTTP until it is dropped. Its faults are the
//! fields of its `Faults`. They are changed with `update` or with `POST /control`, which sets the fields in
//! its JSON object and leaves the others unchanged. `GET /control` returns all fields.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod rating;
pub mod service;
pub mod weights;

mod faults;
mod server;

pub use engine::Engine;
pub use hosts::Hosts;
pub use log::Log;
pub use rating::Rating;
pub use service::Service;
pub use weights::Weights;

/// Failure to start a fake.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("cannot bind {address}: {reason}")]
    Bind {
        /// Requested address.
        address: std::net::SocketAddr,
        /// Reason given by the operating system.
        reason: String,
    },
}
