//! Counters about the quality of versions that nodes exchange.

use std::time::Duration;

use policy::{cascade, rollout};

use crate::shared::Shared;

/// Adequacy counters and roll-out evidence.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    /// Ratings by organisation, class and version.
    pub adequacy: Vec<cascade::Record>,
    /// Evidence of the running roll-outs.
    pub rollouts: Vec<rollout::Record>,
}

/// Returns the counters of all known incarnations; adequacy counters only if they increased at `since` or
/// later, on this node's clock.
pub(crate) fn counters(shared: &Shared, since: Duration) -> Counters {
    Counters {
        adequacy: shared.planner.export(since),
        rollouts: shared.rollouts.counters(),
    }
}

/// Merges counters of other nodes. Repeated, reordered and outdated counters have no effect.
pub(crate) fn merge(shared: &Shared, counters: &Counters) {
    shared.planner.merge(&counters.adequacy, shared.now());
    shared.rollouts.merge(&counters.rollouts);
}
