//! Guards against a store that the parts of a fleet that is cut call as often as the whole fleet may, each.

use std::time::Duration;

use super::{TRIALS_PER_SECOND, trial_probability};
use crate::shared::HostCounts;

const INTERVAL: Duration = Duration::from_millis(400);

#[test]
fn parts_of_a_cut_fleet_share_the_trials() {
    for known in [2, 8, 195, 340] {
        for parts in [1, 2, known] {
            let hosts = HostCounts {
                reachable: known / parts,
                known,
            };
            let trials = known as f64 * trial_probability(hosts, INTERVAL) / INTERVAL.as_secs_f64();
            assert!(
                trials <= TRIALS_PER_SECOND + 1e-9,
                "{trials} a second in {parts} parts of {known}"
            );
        }
    }
}
