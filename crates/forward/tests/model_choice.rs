//! Guards against answers that are poorer, dearer or later than they need to be, in calm and at the worst load.

use std::time::Duration;

use forward::adequacy::{self, Adequacy};
use forward::answer_value::{AnswerValue, price};
use forward::congestion::Congestion;
use forward::escalation::{self, Answer, Candidate, Confidence};
use forward::first_byte::{self, FirstByteTimes};
use model::Name;
use proptest::prelude::*;

const GOAL: Duration = Duration::from_secs(2);

/// Price of an answer from each model relative to its value.
const PRICES: [f64; 3] = [0.01, 0.05, 0.1];

/// An answer of the smallest of three models, and the state in which the node decides about it.
struct Case {
    confidence: Confidence,
    elapsed_ms: u64,
    /// Expected time to the first byte of the larger models.
    expected_ms: u64,
    /// Requests that wait at each engine.
    waiting: u32,
}

/// The model that the request is escalated to.
fn decide(case: &Case) -> Option<usize> {
    let elapsed = Duration::from_millis(case.elapsed_ms);
    let mut congestion = Congestion::default();
    (0..20).for_each(|_| congestion.record(case.waiting, elapsed));
    let expected = Duration::from_millis(case.expected_ms);
    let candidates = PRICES.map(|price| Candidate {
        price: price * congestion.price_factor(elapsed),
        timely: first_byte::timely(expected, GOAL.saturating_sub(elapsed)),
    });
    let answer = Answer {
        model: 0,
        confidence: case.confidence,
        is_timely: elapsed <= GOAL,
    };
    escalation::decide(&Adequacy::new(3), answer, &candidates)
}

macro_rules! escalations {
    ($($name:ident: $confidence:literal, $elapsed:literal ms, $expected:literal ms, $waiting:literal waiting
        => $model:expr;)*) => {
        $(#[test]
        fn $name() {
            let case = Case {
                confidence: $confidence,
                elapsed_ms: $elapsed,
                expected_ms: $expected,
                waiting: $waiting,
            };
            assert_eq!(decide(&case), $model);
        })*
    };
}

escalations! {
    response_with_low_confidence_is_escalated: 20, 50 ms, 200 ms, 0 waiting => Some(2);
    response_with_high_confidence_is_accepted: 90, 50 ms, 200 ms, 0 waiting => None;
    undecided_response_is_escalated_while_engines_are_idle: 50, 50 ms, 200 ms, 0 waiting => Some(2);
    late_response_with_high_confidence_is_accepted: 70, 2_100 ms, 200 ms, 0 waiting => None;
    late_response_without_any_confidence_is_escalated: 0, 2_100 ms, 200 ms, 0 waiting => Some(2);
    idle_engines_get_escalations_with_fair_confidence: 55, 50 ms, 200 ms, 0 waiting => Some(2);
    saturated_engines_get_no_escalations: 5, 50 ms, 1_600 ms, 8 waiting => None;
    busy_engines_get_escalations_with_the_lowest_confidence: 5, 50 ms, 1_000 ms, 1 waiting => Some(2);
    busy_engines_get_no_other_escalations: 55, 50 ms, 1_000 ms, 1 waiting => None;
}

#[test]
fn response_with_a_high_relative_price_is_escalated_at_lower_confidence() {
    let decision = |confidence, tokens| {
        let value = AnswerValue::default().of(tokens);
        let candidates = [0.02, 0.32].map(|cost| Candidate {
            price: price(cost, tokens) / value,
            timely: 1.0,
        });
        let answer = Answer {
            model: 0,
            confidence,
            is_timely: true,
        };
        escalation::decide(&Adequacy::new(2), answer, &candidates)
    };
    assert_eq!(decision(50, (628, 290)), Some(1));
    assert_eq!(decision(50, (2368, 23)), None);
    assert_eq!(decision(10, (2368, 23)), Some(1));
}

/// Three models with the same time to the first byte.
fn priced(prices: [f64; 3]) -> [Candidate; 3] {
    prices.map(|price| Candidate { price, timely: 1.0 })
}

/// What a node has learned when the smallest model answers a share of the requests with confidence and the middle one
/// improves a share of the others.
fn learned(confident: f64, improved: f64) -> Adequacy {
    let mut adequacy = Adequacy::new(3);
    for idx in 0..200 {
        let position = f64::from(idx) / 200.0;
        let confidence = if position < confident { 95 } else { 5 };
        adequacy.record_smallest(confidence);
        if position >= confident {
            let is_improved = (f64::from(idx) * 0.618).fract() < improved;
            adequacy.record_escalation((0, confidence), (1, if is_improved { 95 } else { 5 }));
            adequacy.record_escalation((0, confidence), (2, 95));
        }
    }
    adequacy
}

#[test]
fn small_model_that_is_often_good_enough_is_asked_first() {
    let first = escalation::first_model(&learned(0.6, 0.1), &priced([0.01, 0.05, 0.2]));
    assert_eq!(first, 0);
}

#[test]
fn middle_model_is_asked_first_where_the_smallest_is_seldom_kept() {
    let first = escalation::first_model(&learned(0.1, 0.95), &priced([0.03, 0.05, 0.4]));
    assert_eq!(first, 1);
}

#[test]
fn model_that_does_not_improve_answers_is_left_out() {
    let answer = Answer {
        model: 0,
        confidence: 5,
        is_timely: true,
    };
    let candidates = priced([0.01, 0.02, 0.2]);
    assert_eq!(
        escalation::decide(&learned(0.5, 0.0), answer, &candidates),
        Some(2)
    );
    assert_eq!(
        escalation::decide(&learned(0.5, 0.9), answer, &candidates),
        Some(1)
    );
}

#[test]
fn model_that_costs_more_than_its_answers_are_worth_is_not_asked() {
    let answer = Answer {
        model: 0,
        confidence: 0,
        is_timely: true,
    };
    let candidates = priced([0.01, 1.2, 1.5]);
    assert_eq!(escalation::decide(&Adequacy::new(3), answer, &candidates), None);
    assert_eq!(escalation::first_model(&Adequacy::new(3), &candidates), 0);
}

/// Replays a burst that fills the queues of the engines within a second and ends.
#[test]
fn price_follows_a_burst_and_its_end() {
    let mut congestion = Congestion::default();
    let at = |ms| Duration::from_millis(ms);
    (0..10).for_each(|it| congestion.record(0, at(it * 100)));
    let calm = congestion.price_factor(at(1000));
    (10..15).for_each(|it| congestion.record(8, at(it * 100)));
    let busy = congestion.price_factor(at(1500));
    (15..35).for_each(|it| congestion.record(0, at(it * 100)));
    let after = congestion.price_factor(at(3500));
    assert!((calm - 1.0).abs() < 1e-9);
    assert!(busy > 5.0, "{busy}");
    assert!(after < 1.6, "{after}");
}

/// Guards against a node that got no reports for a while and still counts engines as busy.
#[test]
fn congestion_without_news_expires() {
    let mut congestion = Congestion::default();
    (0..10).for_each(|_| congestion.record(8, GOAL));
    let excess = |now| congestion.price_factor(now) - 1.0;
    assert!(excess(GOAL * 3) < 0.1 * excess(GOAL));
}

#[test]
fn first_byte_times_scale_with_the_prompt() {
    let mut times = FirstByteTimes::default();
    let (route, model) = (Name::from("draft"), Name::from("large"));
    assert_eq!(times.expected(&route, Some(&model), 100), None);
    times.record(&route, Some(&model), 8_000, Duration::from_millis(500));
    let expected = |tokens| times.expected(&route, Some(&model), tokens);
    assert_eq!(expected(8_000), Some(Duration::from_millis(500)));
    assert!(expected(100) < expected(8_000));
    assert_eq!(times.expected(&route, None, 8_000), None);
}

#[test]
fn value_has_a_fixed_part_and_a_bound() {
    let mut value = AnswerValue::default();
    (0..1000).for_each(|_| value.record((1_000, 100)));
    let mean = value.of((1_000, 100));
    assert!(value.of((10, 1)) > 0.3 * mean);
    assert!(value.of((1_000_000, 100)) <= 4.01 * mean);
}

proptest! {
    /// Guards against estimates outside of 0 to 1, and against a larger model that counts as worse than the answer at
    /// hand.
    #[test]
    fn estimates_are_probabilities(
        records in prop::collection::vec((0_u8..=100, 0_u8..=100, 1_usize..3), 0..100),
        confidence in 0_u8..=100,
    ) {
        let mut adequacy = Adequacy::new(3);
        for (before, after, to) in records {
            adequacy.record_smallest(before);
            adequacy.record_escalation((0, before), (to, after));
        }
        for to in 1..3 {
            let it = adequacy.after(0, confidence, to);
            prop_assert!((adequacy::of_confidence(confidence)..=1.0).contains(&it));
        }
        let shares: f64 = adequacy.bands().map(|it| it.1).sum();
        prop_assert!((shares - 1.0).abs() < 1e-9);
    }

    /// Guards against a dearer, later or busier model that is chosen where it would not be otherwise.
    #[test]
    fn escalations_fall_with_price_and_lateness(
        confidence in 0_u8..=100, price in 0.0..2.0_f64, timely in 0.0..1.0_f64, more in 0.0..1.0_f64,
    ) {
        let adequacy = Adequacy::new(2);
        let decide = |price, timely| {
            let answer = Answer { model: 0, confidence, is_timely: true };
            let own = Candidate { price: 0.0, timely: 1.0 };
            escalation::decide(&adequacy, answer, &[own, Candidate { price, timely }]).is_some()
        };
        let escalates = decide(price, timely);
        prop_assert!(escalates || !decide(price + more, timely));
        prop_assert!(escalates || !decide(price, timely * more));
    }

    /// Guards against a model number that does not exist.
    #[test]
    fn first_model_exists(prices in prop::collection::vec((0.0..2.0_f64, 0.0..1.0_f64), 1..6)) {
        let candidates: Vec<_> = prices.iter().map(|it| Candidate { price: it.0, timely: it.1 }).collect();
        let first = escalation::first_model(&Adequacy::new(candidates.len()), &candidates);
        prop_assert!(first < candidates.len());
    }

    #[test]
    fn timeliness_falls_with_the_expected_time(expected in 0_u64..10_000, more in 0_u64..10_000, left in 0_u64..10_000) {
        let timely = |ms| first_byte::timely(Duration::from_millis(ms), Duration::from_millis(left));
        prop_assert!(timely(expected + more) <= timely(expected));
        prop_assert!((0.0..=1.0).contains(&timely(expected)));
    }
}
