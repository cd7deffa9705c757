//! Guards against refusals that are not true and against requests that run more often than they may.

use std::time::Duration;

use forward::flow::{Answer, Execution, Failure, Flow, Next};
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

fn flow(repeat: Repeat, attempts: u32) -> Flow {
    Flow::new(repeat, attempts, DEADLINE)
}

/// Sends once, unless no connection was made, and reports the failure.
fn fail(flow: &mut Flow, failure: Failure, now: Duration) -> Next {
    flow.begin();
    if failure != Failure::Unreachable {
        flow.sending();
    }
    flow.failed(failure, now)
}

macro_rules! first_failures {
    ($($name:ident: $repeat:ident $failure:ident => $next:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut flow = flow(Repeat::$repeat, 2);
            assert_eq!(fail(&mut flow, Failure::$failure, Duration::ZERO), $next);
        })*
    };
}

first_failures! {
    unreached_booking_is_tried_elsewhere: NonIdempotent Unreachable => Next::Retry(Answer::NotRun);
    refused_booking_is_tried_elsewhere: NonIdempotent Refused => Next::Retry(Answer::NotRun);
    misdirected_booking_is_tried_elsewhere: NonIdempotent Misdirected => Next::Retry(Answer::NotRun);
    lost_booking_is_not_repeated: NonIdempotent Lost => Next::Finish(Answer::Unknown);
    silent_booking_is_not_repeated: NonIdempotent Silent => Next::Finish(Answer::Unknown);
    failed_booking_is_passed_on: NonIdempotent Failed => Next::Finish(Answer::Engine);
    lost_lookup_is_repeated: Idempotent Lost => Next::Retry(Answer::Unknown);
    failed_lookup_is_repeated: Idempotent Failed => Next::Retry(Answer::Engine);
}

#[test]
fn booking_that_was_refused_everywhere_has_not_run() {
    let mut flow = flow(Repeat::NonIdempotent, 1);
    let last = (0..3)
        .map(|_| fail(&mut flow, Failure::Refused, Duration::ZERO))
        .last();
    assert_eq!(last, Some(Next::Finish(Answer::NotRun)));
}

#[test]
fn time_that_is_over_is_told_apart_from_a_lost_answer() {
    let mut flow = flow(Repeat::NonIdempotent, 1);
    assert_eq!(
        fail(&mut flow, Failure::Silent, DEADLINE),
        Next::Finish(Answer::TimedOut)
    );
}

#[test]
fn dropped_answer_counts_as_a_run() {
    let mut flow = flow(Repeat::Idempotent, 3);
    flow.begin();
    flow.sending();
    // The answer arrived and is dropped for one of a larger model, whose engine cannot be reached.
    assert_eq!(
        fail(&mut flow, Failure::Unreachable, Duration::ZERO),
        Next::Retry(Answer::Unknown)
    );
    assert_eq!(flow.runs(), 1);
}

proptest! {
    /// Guards against a promise "not run" after an attempt that may have run, a second run of a request that must
    /// not be repeated, and more runs than the route allows.
    #[test]
    fn answers_are_true(
        idempotent: bool,
        attempts in 1_u32..4,
        steps in prop::collection::vec((0..FAILURES.len(), 0_u64..400), 1..12),
    ) {
        let repeat = if idempotent { Repeat::Idempotent } else { Repeat::NonIdempotent };
        let mut flow = flow(repeat, attempts);
        let mut now = Duration::ZERO;
        let mut possible_runs = 0;
        for (failure, pause) in steps {
            let failure = FAILURES[failure];
            now += Duration::from_millis(pause);
            let next = fail(&mut flow, failure, now);
            possible_runs += u32::from(!failure.is_not_run());
            prop_assert!(possible_runs <= attempts);
            prop_assert!(idempotent || possible_runs <= 1);
            prop_assert_eq!(flow.execution() == Execution::NotRun, possible_runs == 0);
            let (Next::Retry(answer) | Next::Finish(answer)) = next;
            prop_assert!(answer != Answer::NotRun || possible_runs == 0);
            if let Next::Finish(_) = next {
                break;
            }
            prop_assert!(idempotent || possible_runs == 0);
        }
    }
}
