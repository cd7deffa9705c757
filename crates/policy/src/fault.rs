//! Fault injection that verifies that the property tests can fail. Faults can be injected only in this
//! crate's own tests.

/// A fault that tests can inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Lower classes get no guaranteed share.
    StrictPriority,
    /// Organisations are not charged for the requests served for them.
    UnfairQueue,
    /// Queues have no bound.
    UnboundedQueue,
    /// Non-idempotent calls are hedged.
    HedgeAll,
    /// Non-idempotent calls are sent again after any failure.
    ResendAll,
    /// Ejected engines receive requests.
    UseEjected,
    /// Notices that an upstream is leaving are ignored.
    IgnoreLeaving,
    /// Every refusal states that the request did not run.
    AlwaysNotRun,
    /// Complete answers are reported twice.
    FinishTwice,
    /// A gap in the cache events does not invalidate the engine's entries.
    KeepAfterGap,
    /// Requests that expire in the queue are dropped without a refusal.
    SilentExpiry,
}

#[cfg(not(test))]
pub(crate) const fn is_injected(_: Fault) -> bool {
    false
}

#[cfg(test)]
pub(crate) use injection::{check_property, is_injected, with_fault};

#[cfg(test)]
mod injection {
    use std::cell::Cell;

    use proptest::strategy::Strategy;
    use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

    use super::Fault;

    thread_local! {
        static ACTIVE: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    pub(crate) fn is_injected(which: Fault) -> bool {
        ACTIVE.get() == Some(which)
    }

    /// Runs `body` with a fault injected.
    pub(crate) fn with_fault<T>(which: Fault, body: impl FnOnce() -> T) -> T {
        ACTIVE.set(Some(which));
        let result = body();
        ACTIVE.set(None);
        result
    }

    /// Checks a property on cases generated from a fixed seed; `PROPTEST_CASES` sets their number.
    pub(crate) fn check_property<S: Strategy>(
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
