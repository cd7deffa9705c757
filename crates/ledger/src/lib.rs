//! Billing exactly once and execution at most once.
//!
//! [`once`] decides whether a keyed call may be executed. [`billing`] keeps billing records at their origin and at two
//! other nodes until the log has them. [`bill`] reads the records from the log and adds them up.
//!
//! The crate performs no I/O and reads no clock. Every `now` is the time since an arbitrary start on the monotonic
//! clock of the calling node.

pub mod bill;
pub mod billing;
pub mod once;

/// Name of the log stream that holds the billing batches.
pub const STREAM: &str = "bills";

mod fault;

#[cfg(test)]
mod tests;
