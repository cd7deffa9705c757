//! Deliberate faults that show that the property tests can fail. Outside of this crate's tests they do not exist.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Lower classes get no guaranteed share.
    StrictPriority,
    /// Organisations are not charged for what they get.
    UnfairQueue,
    /// Queues have no bound.
    UnboundedQueue,
    /// Non-idempotent calls are hedged.
    HedgeAll,
    /// Non-idempotent calls are sent again after any failure.
    ResendAll,
    /// Ejected engines get work.
    UseEjected,
    /// Leaving signs are ignored.
    IgnoreLeaving,
    /// Every refusal says that nothing ran.
    AlwaysNotRun,
    /// Complete answers are reported twice.
    FinishTwice,
    /// A gap in the cache events keeps what is known about the engine.
    KeepAfterGap,
    /// Requests that expire in the queue get no answer.
    SilentExpiry,
}

#[cfg(not(test))]
pub(crate) const fn fault(_: Fault) -> bool {
    false
}

#[cfg(test)]
pub(crate) use switch::{check, fault, with_fault};

#[cfg(test)]
mod switch {
    use std::cell::Cell;

    use proptest::strategy::Strategy;
    use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

    use super::Fault;

    thread_local! {
        static ACTIVE: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    pub(crate) fn fault(which: Fault) -> bool {
        ACTIVE.get() == Some(which)
    }

    /// Runs `body` with a fault in effect.
    pub(crate) fn with_fault<T>(which: Fault, body: impl FnOnce() -> T) -> T {
        ACTIVE.set(Some(which));
        let result = body();
        ACTIVE.set(None);
        result
    }

    /// Runs a property on generated cases from a fixed seed; `PROPTEST_CASES` sets their number.
    pub(crate) fn check<S: Strategy>(
        cases: S,
        property: impl Fn(S::Value) -> Result<(), String>,
    ) -> Result<(), String> {
        let config = Config {
            failure_persistence: None,
            max_shrink_iters: 200,
            ..Config::default()
        };
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        TestRunner::new_with_rng(config, rng)
            .run(&cases, |case| property(case).map_err(TestCaseError::fail))
            .map_err(|err| err.to_string())
    }
}
