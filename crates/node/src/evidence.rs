//! Counters that nodes exchange about the quality of versions.

use std::time::Duration;

use policy::{cascade, rollout};

use crate::shared::Shared;

/// Counters of adequacy and of roll-outs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    /// Ratings by organisation, class and version.
    pub adequacy: Vec<cascade::Record>,
    /// Evidence of the running roll-outs.
    pub rollouts: Vec<rollout::Record>,
}

/// Counters of all incarnations known; those of adequacy only if they grew at `since` or later on this node's clock.
pub(crate) fn counters(shared: &Shared, since: Duration) -> Counters {
    Counters {
        adequacy: shared.planner.export(since),
        rollouts: shared.rollouts.counters(),
    }
}

/// Merges counters of other nodes; repeated, reordered and outdated ones have no effect.
pub(crate) fn merge(shared: &Shared, counters: &Counters) {
    shared.planner.merge(&counters.adequacy, shared.now());
    shared.rollouts.merge(&counters.rollouts);
}
