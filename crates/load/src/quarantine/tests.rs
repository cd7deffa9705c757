//! Short runs of the simulated fleet with fixed seeds.

use super::scenario::{Rule, Scale, Trial, Trouble};
use super::world::World;
use super::{MAX_HELD_SHARE, MAX_LATE};

const SCALE: Scale = Scale {
    nodes: 8,
    engines: 18,
    rate: 93.0,
};

fn check(trouble: Trouble, fatal_rate: f64) {
    for seed in 1..=4 {
        let trial = Trial {
            scale: SCALE,
            trouble,
            rule: Rule::Fleet,
            fatal_rate,
        };
        let outcome = World::run(trial, seed);
        assert!(outcome.late as f64 <= MAX_LATE, "seed {seed}: {outcome:?}");
        assert!(
            outcome.worst_held_share <= MAX_HELD_SHARE,
            "seed {seed}: {outcome:?}"
        );
    }
}

macro_rules! trials {
    ($($name:ident: $trouble:ident, $rate:expr;)*) => {
        $(#[test]
        fn $name() {
            check(Trouble::$trouble, $rate);
        })*
    };
}

trials! {
    fatal_requests_are_not_sent_on_for_ever: None, 2.0;
    lost_datagrams_do_not_hide_fatal_requests: LostMessages, 2.0;
    nodes_that_restart_do_not_send_what_is_known_to_be_fatal: Restarts, 2.0;
    halves_of_a_cut_fleet_share_one_limit: Cut, 2.0;
    fatal_requests_are_found_beside_power_losses: PowerLosses, 2.0;
    fatal_requests_are_found_beside_crash_loops: CrashLoops, 2.0;
    fatal_requests_are_found_beside_broken_connections: BrokenConnections, 2.0;
    power_losses_are_not_blamed_on_requests: PowerLosses, 0.0;
    crash_loops_are_not_blamed_on_requests: CrashLoops, 0.0;
    broken_connections_are_not_blamed_on_requests: BrokenConnections, 0.0;
}

/// Guards against a simulation that cannot fail: without a rule, or with nodes that judge alone, the limit is exceeded.
#[test]
fn limit_is_exceeded_without_the_rule_and_by_nodes_that_judge_alone() {
    for rule in [Rule::None, Rule::Alone] {
        let trial = Trial {
            scale: SCALE,
            trouble: Trouble::None,
            rule,
            fatal_rate: 2.0,
        };
        assert!(World::run(trial, 1).late as f64 > MAX_LATE, "{rule:?}");
    }
}
