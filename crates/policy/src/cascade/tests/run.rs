//! Late, missing and negative ratings in a run.

use super::*;

const DUE_MS: u64 = 1000;
const LATENCY_MS: u64 = 300;
const TIMEOUT_MS: u64 = 200;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(steps: usize) -> Run {
    let step = |idx| Step {
        version: format!("v{idx}").into(),
        cost: 10,
        latency: at(LATENCY_MS),
        gate: if idx + 1 == steps {
            Gate::Unrated
        } else {
            Gate::Rated(at(TIMEOUT_MS))
        },
    };
    let plan = Plan {
        steps: (0..steps).map(step).collect(),
        purpose: Purpose::Target,
        forecast: Forecast {
            cost: 0.0,
            adequacy: 0.0,
        },
    };
    let (run, action) = Run::new(plan, at(DUE_MS));
    assert_eq!(action, Action::Start(0));
    run
}

/// Names each case: events at their times and the action that the last one must yield.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($steps:expr): [$($method:ident($($arg:expr),*)),*] => $action:expr, $spend:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let mut run = start($steps);
            let actions = [$(run.$method($($arg),*)),*];
            assert_eq!(actions.last(), Some(&$action));
            assert_eq!((run.spend().charged, run.spend().rejected), $spend);
        })*
    };
}

cases! {
    // Guards against an answer delivered before its rating.
    holds_a_rated_answer(2): [answered(0, 10, at(300))] => Action::Await { step: 0, until: at(500) }, (0, 10);
    // Guards against an adequate answer that is not delivered.
    delivers_an_adequate_answer(2): [answered(0, 10, at(300)), rated(0, Verdict::Adequate, at(400))]
        => Action::Deliver(0), (10, 0);
    // Guards against a rejected answer that is delivered although there is time for a better one.
    escalates_after_rejection(2): [answered(0, 10, at(300)), rated(0, Verdict::Inadequate, at(400))]
        => Action::Start(1), (0, 10);
    // Guards against charging the caller for rejected steps.
    charges_the_delivered_answer_only(2): [
        answered(0, 10, at(300)), rated(0, Verdict::Inadequate, at(400)), answered(1, 70, at(700))
    ] => Action::Deliver(1), (70, 10);
    // Guards against a late rating that blocks the request.
    escalates_when_the_rating_is_late(2): [answered(0, 10, at(300)), expired(0, at(500))]
        => Action::Start(1), (0, 10);
    // Guards against an escalation that misses the deadline.
    delivers_unrated_without_time_for_more(2): [answered(0, 10, at(600)), expired(0, at(800))]
        => Action::Deliver(0), (10, 0);
    // Guards against waiting for the dearer answer when the cheap one turned out adequate.
    late_adequate_rating_ends_the_run(2): [
        answered(0, 10, at(300)), expired(0, at(500)), rated(0, Verdict::Adequate, at(600))
    ] => Action::Deliver(0), (10, 0);
    // Guards against two answers.
    delivers_once(2): [
        answered(0, 10, at(300)), expired(0, at(500)), rated(0, Verdict::Adequate, at(600)), answered(1, 70, at(700))
    ] => Action::Wait, (10, 70);
    // Guards against a second escalation from a step that was already left.
    late_rejection_does_not_escalate_again(3): [
        answered(0, 10, at(100)), expired(0, at(300)), rated(0, Verdict::Inadequate, at(400))
    ] => Action::Wait, (0, 10);
    // Guards against a refusal while an answer is at hand.
    falls_back_to_an_earlier_answer(2): [answered(0, 10, at(300)), expired(0, at(500)), failed(1, 5, at(600))]
        => Action::Deliver(0), (10, 5);
    // Guards against a request without an outcome.
    fails_when_every_step_failed(2): [failed(0, 1, at(100)), failed(1, 2, at(200))] => Action::Fail, (0, 3);
}
