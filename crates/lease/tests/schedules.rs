//! Guards the rules of leases against any interleaving of outages, late appends, pauses, replacements, late orders,
//! steps of the log's clock and retention.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};
use world::schedule::schedules;
use world::{Mutant, Violation};

fn config(cases: u32) -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        cases: default.cases.max(cases),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        max_shrink_iters: 3000,
        ..default
    }
}

proptest! {
    #![proptest_config(config(1000))]

    #[test]
    fn rules_hold(schedule in schedules()) {
        let broken = world::run(schedule, Mutant::None).err();
        prop_assert_eq!(broken, None);
    }
}

/// Runs schedules until the deliberate fault breaks the expected rule.
fn caught(mutant: Mutant, expected: Violation) {
    let mut runner = TestRunner::new(ProptestConfig {
        max_shrink_iters: 0,
        ..config(1000)
    });
    let result = runner.run(&schedules(), |schedule| match world::run(schedule, mutant) {
        Err(broken) if broken == expected => Err(TestCaseError::fail("caught")),
        Ok(()) | Err(_) => Ok(()),
    });
    assert!(
        matches!(result, Err(TestError::Fail(..))),
        "{expected:?} does not notice {mutant:?}"
    );
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            caught(Mutant::$mutant, Violation::$violation);
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
