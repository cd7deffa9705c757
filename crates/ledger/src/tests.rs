//! Tests with nodes made from the real code on a simulated network, log and upstream.

mod billing;
mod billing_world;
mod codec;
mod once;
mod once_world;
mod size;
mod units;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

use crate::fault::{self, Fault};

/// Schedules per property unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 1000;

/// Seed unless `PROPTEST_RNG_SEED` says otherwise.
const SEED: u64 = 1;

/// Violation of a property, with what was observed.
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

/// Checks a property on many schedules and panics with a reduced schedule.
fn check<S: Strategy>(schedules: S, run: impl Fn(&S::Value) -> Result<(), Violation>) {
    let mut runner = TestRunner::new(config());
    let result = runner.run(&schedules, |it| run(&it).map_err(TestCaseError::fail));
    if let Err(err) = result {
        panic!("{err}");
    }
}

/// Events that occurred in a schedule, for showing that schedules reach the cases that matter.
pub(crate) type Events = BTreeSet<&'static str>;

/// Shows that each of the expected events occurs in at least one in a hundred schedules.
fn expect_events<S: Strategy>(
    expected: &[&'static str],
    schedules: S,
    run: impl Fn(&S::Value) -> Result<Events, Violation>,
) {
    let tally: RefCell<BTreeMap<_, u32>> = RefCell::default();
    check(schedules, |it| {
        for event in run(it)? {
            *tally.borrow_mut().entry(event).or_default() += 1;
        }
        Ok(())
    });
    let tally = tally.into_inner();
    println!("{tally:?}");
    let least = config().cases / 100;
    for event in expected {
        let count = tally.get(event).copied().unwrap_or(0);
        assert!(count >= least, "{event}: {count} of at least {least}, {tally:?}");
    }
}

/// Shows that the check with this message finds a deliberate fault; other checks may find it as well.
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
    assert!(result.is_err(), "{fault:?} was not found as: {message}");
}
