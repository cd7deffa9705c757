//! What the operators order and permit, and what is recorded about it.

use std::time::Duration;

use model::Name;

use super::Stage;
use crate::relay::Position;

/// An order of the operators to release a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Service.
    pub service: Name,
    /// Version to release.
    pub target: Name,
    /// Time within which the release must be complete or reverted.
    pub duration: Duration,
    /// Position of the order in its log; a later order replaces an earlier one.
    pub position: Position,
}

/// Requests to a bad version that the operators permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    /// Share of all requests to the service from the order to the end of its duration.
    pub share: f64,
    /// Number of requests beyond that share.
    pub slack: f64,
}

/// The recorded state of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseStatus {
    /// Offset of the order.
    pub order_offset: u64,
    /// Version to release.
    pub target: Name,
    /// Recorded stage.
    pub stage: Stage,
    /// Time from the order to the writing of the record.
    pub elapsed: Duration,
    /// Time from the order to the change of stage, which allows all nodes to change together.
    pub effective_after: Duration,
}
