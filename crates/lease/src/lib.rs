//! Leases on pools, and the orders that lease holders send to engines.
//!
//! A lease is a record in the log stream [`STREAM`]; its offset is the fencing token of the orders sent under
//! the lease. [`table::Table`] derives the holder of each pool from the log, [`holder::Holder`] decides when
//! a node appends a request and until when it may send orders, and [`planner::Planner`] decides which orders
//! bring the engines of a pool to their wanted state.
//!
//! Engines that check tokens reject the orders of an earlier holder. Engines that ignore tokens execute an
//! order that was sent before the lease expired and arrives late; the planner of the next holder sees the
//! resulting state and orders the wanted state again.
//!
//! `now` is the time on the node's monotonic clock since an arbitrary origin; times of log records are those
//! of the log service.

pub mod holder;
pub mod placement;
pub mod planner;
pub mod record;
pub mod table;

pub use holder::{Holder, Intent};
pub use planner::Planner;
pub use record::Record;
pub use table::{Grant, Outcome, Table};

/// Name of the log stream that holds the leases.
pub const STREAM: &str = "leases";

/// Fencing token: the offset of the lease record.
pub type Token = model::Offset;
