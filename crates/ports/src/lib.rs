//! Interfaces (ports) to the external services that operators provide, and their HTTP adapters.
//!
//! Each service has one module with a trait. Calls block. Time-outs are passed with a call or set when the
//! client is built, and an error says whether the failed call may have taken effect. This crate contains no
//! policy: retries and the choice of an upstream belong to the caller.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod log;
pub mod rating;
pub mod service;
pub mod weights;
