//! Late, missing and negative ratings during the execution of a plan.

use super::*;

const DEADLINE_MS: u64 = 1000;
const LATENCY_MS: u64 = 300;
const RATING_TIMEOUT_MS: u64 = 200;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(steps: usize) -> PlanProgress {
    let step = |idx| Step {
        version: format!("v{idx}").into(),
        cost: 10,
        latency: at(LATENCY_MS),
        rating_mode: if idx + 1 == steps {
            RatingMode::Never
        } else {
            RatingMode::BeforeDelivery(at(RATING_TIMEOUT_MS))
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
    let (progress, action) = PlanProgress::new(plan, at(DEADLINE_MS));
    assert_eq!(action, Action::Start(0));
    progress
}

/// Generates one test per case: events with their times, the action that the last one must return, and the
/// costs charged and rejected.
macro_rules! cases {
    ($(
        $(#[$doc:meta])*
        $name:ident($steps:expr): [$($method:ident($($arg:expr),*)),*] => $action:expr, $spend:expr;
    )*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let mut progress = start($steps);
            let actions = [$(progress.$method($($arg),*)),*];
            assert_eq!(actions.last(), Some(&$action));
            assert_eq!((progress.spend().charged, progress.spend().rejected), $spend);
        })*
    };
}

cases! {
    // Guards against an answer that is delivered before its rating has arrived.
    holds_answer_until_rated(2): [answered(0, 10, at(300))]
        => Action::AwaitRating { step: 0, until: at(500) }, (0, 10);
    // Guards against an answer that is not delivered although it was rated adequate.
    delivers_adequate_answer(2): [answered(0, 10, at(300)), rated(0, Verdict::Adequate, at(400))]
        => Action::Deliver(0), (10, 0);
    // Guards against a rejected answer that is delivered although there is time for a better one.
    escalates_after_rejection(2): [answered(0, 10, at(300)), rated(0, Verdict::Inadequate, at(400))]
        => Action::Start(1), (0, 10);
    // Guards against charging the caller for rejected steps.
    charges_only_the_delivered_answer(2): [
        answered(0, 10, at(300)), rated(0, Verdict::Inadequate, at(400)), answered(1, 70, at(700))
    ] => Action::Deliver(1), (70, 10);
    // Guards against a request that waits for a rating beyond its time-out.
    escalates_when_the_rating_times_out(2): [answered(0, 10, at(300)), rating_timed_out(0, at(500))]
        => Action::Start(1), (0, 10);
    // Guards against a further step that cannot answer before the deadline.
    delivers_unrated_answer_near_the_deadline(2): [answered(0, 10, at(600)), rating_timed_out(0, at(800))]
        => Action::Deliver(0), (10, 0);
    // Guards against waiting for the dearer answer after the cheap one was rated adequate.
    late_adequate_rating_delivers_the_answer(2): [
        answered(0, 10, at(300)), rating_timed_out(0, at(500)), rated(0, Verdict::Adequate, at(600))
    ] => Action::Deliver(0), (10, 0);
    // Guards against the delivery of a second answer.
    delivers_once(2): [
        answered(0, 10, at(300)), rating_timed_out(0, at(500)), rated(0, Verdict::Adequate, at(600)),
        answered(1, 70, at(700))
    ] => Action::Wait, (10, 70);
    // Guards against a second escalation from a step that the plan has already left.
    late_rejection_does_not_escalate_again(3): [
        answered(0, 10, at(100)), rating_timed_out(0, at(300)), rated(0, Verdict::Inadequate, at(400))
    ] => Action::Wait, (0, 10);
    // Guards against a refusal although an earlier step has answered.
    falls_back_to_an_earlier_answer(2): [
        answered(0, 10, at(300)), rating_timed_out(0, at(500)), failed(1, 5, at(600))
    ] => Action::Deliver(0), (10, 5);
    // Guards against a request that neither gets an answer nor is refused.
    fails_when_every_step_failed(2): [failed(0, 1, at(100)), failed(1, 2, at(200))] => Action::Fail, (0, 3);
}
