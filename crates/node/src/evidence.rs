//! Counters that nodes exchange about the quality of versions.

use std::time::Duration;

use policy::cascade::Record;

use crate::shared::Shared;

/// Counters that grew at `since` or later on this node's clock, of all incarnations known.
#[allow(dead_code, reason = "called by the service for other nodes")]
pub(crate) fn counters(shared: &Shared, since: Duration) -> Vec<Record> {
    shared.planner.export(since)
}

/// Merges counters of other nodes; repeated, reordered and outdated ones have no effect.
#[allow(dead_code, reason = "called by the service for other nodes")]
pub(crate) fn merge(shared: &Shared, records: &[Record]) {
    shared.planner.merge(records, shared.now());
}
