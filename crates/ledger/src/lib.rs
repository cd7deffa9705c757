//! Exactly-once billing and at-most-once execution of requests.
//!
//! [`idempotency`] decides whether a call with an idempotency key may be executed. [`billing`] stores billing
//! records on the node that created them and on two other nodes until they are in the log. [`bill`]
//! aggregates the records in the log into bills.
//!
//! The crate performs no I/O and reads no clock. Every `now` is the time since an arbitrary origin on the
//! calling node's monotonic clock.

pub mod bill;
pub mod billing;
pub mod idempotency;

/// Name of the log stream that contains the billing batches.
pub const BILLING_STREAM: &str = "bills";

mod fault;

#[cfg(test)]
mod tests;
