//! Guards the rules of leases against any interleaving of outages, late appends, pauses, replacements, late orders,
//! steps of the log's clock and retention.

mod world;

use world::schedule::schedules;
use world::{Mutant, Violation};

/// Schedules of each test.
const CASES: u32 = 1000;

#[test]
fn rules_hold() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| world::run(it, Mutant::None));
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            schedule::assert_fault_detected(CASES, &schedules(), &Violation::$violation, |it| {
                world::run(it, Mutant::$mutant)
            });
        })*
    };
}

mutants! {
    foreign_token_is_noticed: ForeignToken => Fencing;
    cached_token_is_noticed: CachedToken => Exclusive;
    missing_margins_are_noticed: NoMargins => Delivery;
    missing_read_back_is_noticed: NoReadBack => Repair;
    missing_requests_are_noticed: NoRequests => Settles;
    trusted_tail_is_noticed: TrustedTail => Exclusive;
}
