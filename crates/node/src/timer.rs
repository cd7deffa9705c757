//! Timer for the pools: expiry of queued requests, hedges, and retries past their deadline.

use std::time::Duration;

use crate::phase::Phase;
use crate::shared::Shared;

/// Interval between ticks. Hedges start tens of milliseconds after the first attempt, so 5 ms is precise
/// enough; it costs well below 0.1% of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Ticks all pools until the node stops.
pub(crate) fn run(shared: &Shared) {
    while shared.phase.get() < Phase::Stopped {
        for group in shared.upstreams.pools().values() {
            group.tick();
        }
        std::thread::sleep(TICK_INTERVAL);
    }
}
