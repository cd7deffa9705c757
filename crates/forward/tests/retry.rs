//! Guards against false refusals and against requests that run more often than allowed.

use std::time::Duration;

use forward::retry::{Execution, Failure, FinalResponse, RetryDecision, RetryState};
use model::object::service::Repeat;
use proptest::prelude::*;

const DEADLINE: Duration = Duration::from_secs(2);

const FAILURES: [Failure; 6] = [
    Failure::Unreachable,
    Failure::Refused,
    Failure::Misdirected,
    Failure::Lost,
    Failure::Silent,
    Failure::Failed,
];

fn state(repeat: Repeat, max_runs: u32) -> RetryState {
    RetryState::new(repeat, max_runs, DEADLINE)
}

/// Makes one attempt, which is sent unless no connection was established, and records its failure.
fn fail_attempt(state: &mut RetryState, failure: Failure, now: Duration) -> RetryDecision {
    state.begin_attempt();
    if failure != Failure::Unreachable {
        state.mark_sent();
    }
    state.record_failure(failure, now)
}

macro_rules! first_failures {
    ($($name:ident: $repeat:ident $failure:ident => $decision:ident $response:ident;)*) => {
        $(#[test]
        fn $name() {
            let mut state = state(Repeat::$repeat, 2);
            let decision = fail_attempt(&mut state, Failure::$failure, Duration::ZERO);
            assert_eq!(decision, RetryDecision::$decision(FinalResponse::$response));
        })*
    };
}

first_failures! {
    unreachable_non_idempotent_is_retried: NonIdempotent Unreachable => Retry NotRun;
    refused_non_idempotent_is_retried: NonIdempotent Refused => Retry NotRun;
    misdirected_non_idempotent_is_retried: NonIdempotent Misdirected => Retry NotRun;
    lost_non_idempotent_is_not_retried: NonIdempotent Lost => Finish Unknown;
    silent_non_idempotent_is_not_retried: NonIdempotent Silent => Finish Unknown;
    failure_of_non_idempotent_is_returned: NonIdempotent Failed => Finish Engine;
    lost_idempotent_is_retried: Idempotent Lost => Retry Unknown;
    failed_idempotent_is_retried: Idempotent Failed => Retry Engine;
}

macro_rules! responses {
    ($($name:ident: $status:literal, states_not_run: $states:literal => $failure:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(Failure::of_response($status, $states), $failure);
        })*
    };
}

// Guards against a failed run that counts as a good one, or as none, and against a refusal that counts as a run.
responses! {
    success_is_a_result: 200, states_not_run: false => None;
    redirection_is_a_result: 307, states_not_run: false => None;
    rejected_content_is_a_result: 400, states_not_run: false => None;
    missing_object_is_a_result: 404, states_not_run: false => None;
    engine_failure_is_a_failure: 500, states_not_run: false => Some(Failure::Failed);
    status_503_without_a_statement_is_a_failure: 503, states_not_run: false => Some(Failure::Failed);
    status_429_without_a_statement_is_a_failure: 429, states_not_run: false => Some(Failure::Failed);
    status_408_without_a_statement_is_a_failure: 408, states_not_run: false => Some(Failure::Failed);
    status_503_with_a_statement_is_a_refusal: 503, states_not_run: true => Some(Failure::Refused);
    status_429_with_a_statement_is_a_refusal: 429, states_not_run: true => Some(Failure::Refused);
    status_421_needs_no_statement: 421, states_not_run: false => Some(Failure::Misdirected);
    status_421_with_a_statement_comes_from_another_engine: 421, states_not_run: true => Some(Failure::Misdirected);
}

#[test]
fn request_refused_by_all_engines_has_not_run() {
    let mut state = state(Repeat::NonIdempotent, 1);
    let last = (0..3)
        .map(|_| fail_attempt(&mut state, Failure::Refused, Duration::ZERO))
        .last();
    assert_eq!(last, Some(RetryDecision::Finish(FinalResponse::NotRun)));
}

/// Guards against a refusal of a request that met some engines of many which have ended.
#[test]
fn engines_that_cannot_be_reached_do_not_show_that_a_service_is_full() {
    let mut state = state(Repeat::NonIdempotent, 1);
    for _ in 0..7 {
        assert_eq!(
            fail_attempt(&mut state, Failure::Unreachable, Duration::ZERO),
            RetryDecision::Retry(FinalResponse::NotRun)
        );
    }
    assert_eq!(
        fail_attempt(&mut state, Failure::Unreachable, Duration::ZERO),
        RetryDecision::Finish(FinalResponse::NotRun)
    );
}

#[test]
fn passed_deadline_differs_from_a_lost_response() {
    let mut state = state(Repeat::NonIdempotent, 1);
    assert_eq!(
        fail_attempt(&mut state, Failure::Silent, DEADLINE),
        RetryDecision::Finish(FinalResponse::TimedOut)
    );
}

#[test]
fn dropped_response_counts_as_a_run() {
    let mut state = state(Repeat::Idempotent, 3);
    state.begin_attempt();
    state.mark_sent();
    // The response arrived and is dropped for one of a larger model, whose engine is unreachable.
    assert_eq!(
        fail_attempt(&mut state, Failure::Unreachable, Duration::ZERO),
        RetryDecision::Retry(FinalResponse::Unknown)
    );
    assert_eq!(state.runs(), 1);
}

proptest! {
    /// Guards against a "not run" response, be it an engine's own, after an attempt that may have run, a second run of a
    /// request that is not idempotent, and more runs than the route allows.
    #[test]
    fn responses_are_truthful(
        idempotent: bool,
        max_runs in 1_u32..4,
        steps in prop::collection::vec((0..FAILURES.len(), 0_u64..400), 1..12),
    ) {
        let repeat = if idempotent { Repeat::Idempotent } else { Repeat::NonIdempotent };
        let mut state = state(repeat, max_runs);
        let mut now = Duration::ZERO;
        let mut possible_runs = 0;
        for (failure, pause) in steps {
            let failure = FAILURES[failure];
            now += Duration::from_millis(pause);
            let decision = fail_attempt(&mut state, failure, now);
            possible_runs += u32::from(!failure.proves_not_run());
            prop_assert!(possible_runs <= max_runs);
            prop_assert!(idempotent || possible_runs <= 1);
            prop_assert_eq!(state.execution() == Execution::NotRun, possible_runs == 0);
            let (RetryDecision::Retry(response) | RetryDecision::Finish(response)) = decision;
            prop_assert!(response != FinalResponse::NotRun || possible_runs == 0);
            for status in [408, 421, 429, 503] {
                prop_assert_eq!(state.permits(status), idempotent || possible_runs == 0);
            }
            for status in [200, 307, 400, 404, 413, 425, 431, 500, 502, 504] {
                prop_assert!(state.permits(status));
            }
            if let RetryDecision::Finish(_) = decision {
                break;
            }
            prop_assert!(idempotent || possible_runs == 0);
        }
    }
}
