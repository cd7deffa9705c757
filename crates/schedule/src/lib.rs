//! Runs random schedules of events against a small world in tests, and shows that its rules notice deliberate faults.
//!
//! A world takes a schedule and returns the rule that it broke, if any. The schedules are the same in each run, so that
//! the verdict is; `PROPTEST_CASES` asks for more of them.

use std::fmt::Debug;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

/// Steps in which a schedule that broke a rule is made smaller.
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

/// Checks that no schedule breaks a rule.
///
/// # Panics
/// One does; the message has the smallest schedule that was found.
pub fn holds<S: Strategy, V: Debug>(cases: u32, schedules: &S, run: impl Fn(S::Value) -> Result<(), V>) {
    let result = TestRunner::new(config(cases, MAX_SHRINK_ITERS)).run(schedules, |schedule| {
        run(schedule).map_err(|broken| TestCaseError::fail(format!("{broken:?} is broken")))
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}

/// Checks that a deliberate fault, which `run` brings about, breaks the expected rule in some schedule.
///
/// # Panics
/// No schedule breaks it.
pub fn notices<S: Strategy, V: Debug + PartialEq>(
    cases: u32,
    schedules: &S,
    expected: &V,
    run: impl Fn(S::Value) -> Result<(), V>,
) {
    let result = TestRunner::new(config(cases, 0)).run(schedules, |schedule| match run(schedule) {
        Err(broken) if broken == *expected => Err(TestCaseError::fail("noticed")),
        Ok(()) | Err(_) => Ok(()),
    });
    assert!(
        matches!(result, Err(TestError::Fail(..))),
        "{expected:?} notices nothing"
    );
}
