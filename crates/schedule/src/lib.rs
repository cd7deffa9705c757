//! Runs random schedules of events against a simulation in tests, and shows that its checks detect deliberate
//! faults.
//!
//! A simulation takes a schedule and returns the rule that it violated, if any. Schedules are generated from
//! a fixed seed, so that each run gives the same result; `PROPTEST_CASES` raises their number.

use std::fmt::Debug;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

/// Maximum number of steps in which a failing schedule is shrunk.
const MAX_SHRINK_ITERS: u32 = 3000;

fn config(cases: u32, max_shrink_iters: u32) -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        cases: default.cases.max(cases),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        max_shrink_iters,
        ..default
    }
}

/// Checks that no schedule violates a rule.
///
/// # Panics
/// A schedule violates one; the message contains the smallest such schedule that was found.
pub fn assert_rules_hold<S: Strategy, V: Debug>(
    cases: u32,
    schedules: &S,
    run: impl Fn(S::Value) -> Result<(), V>,
) {
    let result = TestRunner::new(config(cases, MAX_SHRINK_ITERS)).run(schedules, |schedule| {
        run(schedule).map_err(|violation| TestCaseError::fail(format!("rule violated: {violation:?}")))
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}

/// Checks that a deliberate fault, injected by `run`, violates the expected rule in some schedule.
///
/// # Panics
/// No schedule violates it.
pub fn assert_fault_detected<S: Strategy, V: Debug + PartialEq>(
    cases: u32,
    schedules: &S,
    expected: &V,
    run: impl Fn(S::Value) -> Result<(), V>,
) {
    let result = TestRunner::new(config(cases, 0)).run(schedules, |schedule| match run(schedule) {
        Err(violation) if violation == *expected => Err(TestCaseError::fail("noticed")),
        Ok(()) | Err(_) => Ok(()),
    });
    assert!(
        matches!(result, Err(TestError::Fail(..))),
        "no schedule violated {expected:?}, so the fault was not detected"
    );
}
