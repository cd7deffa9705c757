//! Checks the invariants of leases under random interleavings of log outages, late appends, pauses, replaced
//! processes, late orders, clock steps of the log service and log truncation.

mod world;

use world::schedule::schedules;
use world::{Mutant, Violation};

/// Number of schedules per test.
const CASES: u32 = 1000;

#[test]
fn invariants_hold() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| world::run(it, Mutant::None));
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            let violation = Violation::$violation;
            schedule::assert_fault_detected(CASES, &schedules(), &violation, |it| world::run(it, Mutant::$mutant));
        })*
    };
}

mutants! {
    newest_token_without_a_check_is_detected: NewestToken => Fencing;
    cached_token_is_detected: CachedToken => Exclusivity;
    missing_margins_are_detected: NoMargins => Delivery;
    missing_read_back_is_detected: NoReadBack => Repair;
    missing_requests_are_detected: NoRequests => Liveness;
    truncated_log_taken_as_complete_is_detected: TruncationIgnored => Exclusivity;
}
