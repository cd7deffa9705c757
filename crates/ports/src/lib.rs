//! Ports to the platform that operators run, and their HTTP adapters.
//!
//! Each service of the platform is a trait in a module of its own. The traits block, carry their time-outs in their
//! arguments or their construction, and report whether a failed call may have taken effect. This crate decides
//! nothing: it neither retries nor chooses an upstream.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod log;
pub mod rating;
pub mod service;
pub mod weights;
