//! Short runs of the simulated fleet with fixed seeds.

use super::scenario::{Rule, Scale, Service, Trial, Trouble};
use super::world::World;
use super::{MAX_HELD_SHARE, MAX_LATE, MIN_SERVED_SHARE};

const MODEL: Scale = Scale {
    service: Service::Model,
    nodes: 8,
    engines: 18,
    rate: 93.0,
    first_parts: 8,
};

const PLAIN: Scale = Scale {
    service: Service::Plain,
    nodes: 8,
    engines: 3,
    rate: 32.0,
    first_parts: 8,
};

/// A fleet whose prompts begin with one of two parts.
const TWO_FIRST_PARTS: Scale = Scale {
    service: Service::Model,
    nodes: 4,
    engines: 12,
    rate: 60.0,
    first_parts: 2,
};

/// As [`TWO_FIRST_PARTS`], in a large fleet.
const LARGE: Scale = Scale {
    service: Service::Model,
    nodes: 195,
    engines: 117,
    rate: 470.0,
    first_parts: 2,
};

fn check(scale: Scale, trouble: Trouble, fatal_rate: f64) {
    for seed in 1..=4 {
        let trial = Trial {
            scale,
            trouble,
            rule: Rule::Fleet,
            fatal_rate,
        };
        let outcome = World::run(trial, seed);
        assert!(outcome.late as f64 <= MAX_LATE, "seed {seed}: {outcome:?}");
        let served = outcome.share_served_when_settled();
        if trouble.breaks_no_requests() {
            assert!(
                served >= MIN_SERVED_SHARE,
                "seed {seed}: {served} served, {outcome:?}"
            );
        }
        assert!(
            outcome.worst_held_share <= MAX_HELD_SHARE,
            "seed {seed}: {outcome:?}"
        );
    }
}

macro_rules! trials {
    ($($(#[$attribute:meta])* $name:ident: $scale:ident, $trouble:ident, $rate:expr;)*) => {
        $(#[test]
        $(#[$attribute])*
        fn $name() {
            check($scale, Trouble::$trouble, $rate);
        })*
    };
}

trials! {
    fatal_requests_are_not_sent_on_for_ever: MODEL, None, 2.0;
    lost_datagrams_do_not_hide_fatal_requests: MODEL, LostMessages, 2.0;
    nodes_that_restart_do_not_send_what_is_known_to_be_fatal: MODEL, Restarts, 2.0;
    halves_of_a_cut_fleet_share_one_limit: MODEL, Cut, 2.0;
    fatal_requests_are_found_beside_power_losses: MODEL, PowerLosses, 2.0;
    fatal_requests_are_found_beside_crash_loops: MODEL, CrashLoops, 2.0;
    fatal_requests_are_found_beside_broken_connections: MODEL, BrokenConnections, 2.0;
    part_that_becomes_fatal_is_not_sent_on_for_ever: MODEL, ServedBefore, 2.0;
    request_that_becomes_fatal_is_not_sent_on_for_ever: PLAIN, ServedBefore, 0.5;
    fatal_request_that_leaves_no_engine_is_not_sent_on_for_ever: PLAIN, None, 8.0;
    fatal_part_that_leaves_no_engine_is_not_sent_on_for_ever: MODEL, None, 20.0;
    fatal_request_that_comes_again_is_not_sent_on_for_ever: PLAIN, None, 0.5;
    sound_requests_that_share_a_first_part_with_fatal_ones_are_served: TWO_FIRST_PARTS, None, 30.0;
    sound_requests_of_a_large_fleet_that_share_a_first_part_with_fatal_ones_are_served: LARGE, None, 30.0;
    few_fatal_requests_are_found_while_nodes_restart: MODEL, Restarts, 0.5;
    lost_datagrams_do_not_hide_a_fatal_request_that_comes_again: PLAIN, LostMessages, 0.5;
    nodes_that_restart_do_not_send_a_fatal_request_that_comes_again: PLAIN, Restarts, 0.5;
    halves_of_a_cut_fleet_share_one_limit_on_a_request_that_comes_again: PLAIN, Cut, 0.5;
    fatal_request_that_comes_again_is_found_beside_power_losses: PLAIN, PowerLosses, 0.5;
    fatal_request_that_comes_again_is_found_beside_broken_connections: PLAIN, BrokenConnections, 0.5;
    crash_loops_are_not_blamed_on_calls: PLAIN, CrashLoops, 0.0;
    power_losses_are_not_blamed_on_requests: MODEL, PowerLosses, 0.0;
    crash_loops_are_not_blamed_on_requests: MODEL, CrashLoops, 0.0;
    broken_connections_are_not_blamed_on_requests: MODEL, BrokenConnections, 0.0;
}

/// Guards against messages whose ages stand still while they are sent to one node after the other: in a large fleet,
/// the end of some engines at one moment then looks like many events, and sound requests are blamed.
#[test]
fn losses_of_some_engines_are_not_blamed_on_requests() {
    for scale in [MODEL, LARGE] {
        for seed in 1..=4 {
            let trial = Trial {
                scale,
                trouble: Trouble::PartialPowerLosses,
                rule: Rule::Fleet,
                fatal_rate: 0.0,
            };
            let outcome = World::run(trial, seed);
            assert_eq!(
                (outcome.false_holds, outcome.held),
                (0, 0),
                "{scale:?}, seed {seed}"
            );
        }
    }
}

/// Guards against a simulation that cannot fail: without a rule, or with nodes that judge alone, the limit is exceeded.
#[test]
fn limit_is_exceeded_without_the_rule_and_by_nodes_that_judge_alone() {
    for rule in [Rule::None, Rule::Alone] {
        let trial = Trial {
            scale: MODEL,
            trouble: Trouble::None,
            rule,
            fatal_rate: 2.0,
        };
        assert!(World::run(trial, 1).late as f64 > MAX_LATE, "{rule:?}");
    }
}
