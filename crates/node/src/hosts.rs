//! Follows the host list.

use std::time::Duration;

use crate::phase::Phase;
use crate::shared::Shared;

/// Interval between reads; an upstream must get no work 3 s after the list first says that it leaves.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reads the host list until the node stops.
pub(crate) fn run(shared: &Shared) {
    while shared.phase.get() < Phase::Stopped {
        match shared.ports.hosts.list() {
            Ok(entries) => {
                shared.peers.update(&entries, shared.now(), &mut shared.rng());
                shared.upstreams.update(entries, &shared.catalog.view());
            }
            Err(_) => {
                shared.metrics.hosts_read_failures.inc();
            }
        }
        shared.pause(INTERVAL);
    }
}
