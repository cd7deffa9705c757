//! Unit tests, and property tests that run the real state machines on a simulated network, log and upstream.

mod billing;
mod billing_simulation;
mod codec;
mod encoded_size;
mod idempotency;
mod idempotency_simulation;
mod units;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

use crate::fault::{self, Fault};

/// Schedules per property unless `PROPTEST_CASES` is set.
const CASES: u32 = 1000;

/// Seed unless `PROPTEST_RNG_SEED` is set.
const SEED: u64 = 1;

/// Description of a violated property, including the observed state.
pub(crate) type Violation = String;

fn config() -> Config {
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config
}

/// Checks a property on generated schedules; panics with a minimal failing schedule.
fn check<S: Strategy>(schedules: S, run: impl Fn(&S::Value) -> Result<(), Violation>) {
    let mut runner = TestRunner::new(config());
    let result = runner.run(&schedules, |it| run(&it).map_err(TestCaseError::fail));
    if let Err(err) = result {
        panic!("{err}");
    }
}

/// Events that occurred in a schedule. They show whether the schedules cover the relevant cases.
pub(crate) type Events = BTreeSet<&'static str>;

/// Checks that each expected event occurs in at least 1 % of the schedules.
fn expect_events<S: Strategy>(
    expected: &[&'static str],
    schedules: S,
    run: impl Fn(&S::Value) -> Result<Events, Violation>,
) {
    let counts: RefCell<BTreeMap<_, u32>> = RefCell::default();
    check(schedules, |it| {
        for event in run(it)? {
            *counts.borrow_mut().entry(event).or_default() += 1;
        }
        Ok(())
    });
    let counts = counts.into_inner();
    println!("{counts:?}");
    let min_count = config().cases / 100;
    for event in expected {
        let count = counts.get(event).copied().unwrap_or(0);
        assert!(
            count >= min_count,
            "{event}: occurred {count} times, expected at least {min_count}: {counts:?}"
        );
    }
}

/// Checks that an injected fault leads to a violation that contains `message`. Other violations are ignored,
/// because several checks may detect the same fault.
fn expect_violation<S: Strategy>(
    fault: Fault,
    message: &str,
    schedules: S,
    run: impl Fn(&S::Value) -> Result<(), Violation>,
) {
    let config = Config {
        cases: CASES * 4,
        max_shrink_iters: 0,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let found = |violation: Violation| {
        if violation.contains(message) {
            return Err(TestCaseError::fail(violation));
        }
        Ok(())
    };
    let result = fault::with(Some(fault), || {
        TestRunner::new(config).run(&schedules, |it| run(&it).or_else(found))
    });
    assert!(
        result.is_err(),
        "{fault:?} was not detected with the violation: {message}"
    );
}
