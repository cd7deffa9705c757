//! Polls the host list.

use std::time::Duration;

use crate::phase::Phase;
use crate::shared::Shared;

/// Interval between reads. An upstream must receive no work later than 3 s after the list first marks it as
/// leaving.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the host list until the node stops.
pub(crate) fn run(shared: &Shared) {
    while shared.phase.get() < Phase::Stopped {
        match shared.ports.hosts.list() {
            Ok(entries) => {
                shared.peers.update(&entries, shared.now(), &mut shared.rng());
                shared.upstreams.update(entries, &shared.config.view());
            }
            Err(_) => {
                shared.metrics.hosts_read_failures.inc();
            }
        }
        shared.sleep(READ_INTERVAL);
    }
}
