//! Leases of pools, and the orders that their holders send to engines.
//!
//! A lease is a record of the log stream [`STREAM`], and its offset is the fencing token of the orders sent under
//! it. [`fold::Table`] tells from the log who holds which pool, [`holder::Holder`] decides when a node appends and
//! until when it may send orders, and [`planner::Planner`] decides which orders bring the engines of a pool to their
//! wanted state.
//!
//! Engines that check tokens refuse the orders of an earlier holder. At engines that ignore tokens, an order that
//! was sent before the lease lapsed and arrives late takes effect; the planner of the next holder reads this back
//! and orders the wanted state again.
//!
//! `now` is the time on the node's monotonic clock since an arbitrary start; times of log records are those of the
//! log service.

pub mod fold;
pub mod holder;
pub mod placement;
pub mod planner;
pub mod record;

pub use fold::{Grant, Table, Verdict};
pub use holder::{Holder, Intent};
pub use planner::Planner;
pub use record::Record;

/// Name of the log stream that holds the leases.
pub const STREAM: &str = "leases";

/// Fencing token: offset of the lease record.
pub type Token = model::Offset;
