//! Small fakes of the platform with switchable faults.
//!
//! Each fake is bound with `X::bind(address, options)` and serves HTTP until it is dropped. Faults are fields of the
//! fake's `Faults`: the handle changes them with `update`, and `POST /control` changes the fields that its JSON object
//! names and leaves the others as they are. `GET /control` returns all fields.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod rating;
pub mod service;
pub mod weights;

mod control;
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
        /// Wanted address.
        address: std::net::SocketAddr,
        /// Reason given by the operating system.
        reason: String,
    },
}
