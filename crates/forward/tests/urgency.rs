//! Guards against short requests that wait behind long prompts at an engine, and against ignored priorities.

use forward::urgency::urgency;
use forward::work::WorkDistribution;
use proptest::prelude::*;

/// Work of 40 requests that arrive at an engine at the same moment: one long prompt on a large model to each nine short
/// ones.
fn burst() -> Vec<f64> {
    (0..40)
        .map(|it| if it % 10 == 0 { 50_000.0 } else { 800.0 })
        .collect()
}

/// Number of requests of which the engine has begun to read the prompt after `elapsed` work.
fn begun(order: &[f64], elapsed: f64) -> usize {
    let mut done = 0.0;
    let started = order.iter().take_while(|work| {
        let starts = done < elapsed;
        done += **work;
        starts
    });
    started.count()
}

/// Replays a burst of unlike requests at one engine, which serves the most urgent first and equal ones in the order of
/// their arrival.
#[test]
fn short_requests_of_a_burst_do_not_wait_for_long_ones() {
    let mut distribution = WorkDistribution::new();
    for _ in 0..50 {
        burst().into_iter().for_each(|it| distribution.record(it));
    }
    let mut order = burst();
    let in_order_of_arrival = begun(&order, 60_000.0);
    order.sort_by_key(|work| urgency(distribution.position(*work), 1));
    assert!(in_order_of_arrival <= 12);
    assert!(begun(&order, 60_000.0) >= 36);
}

#[test]
fn priority_decides_between_requests_of_one_size() {
    assert!(urgency(0.5, 0) < urgency(0.5, 1));
    assert!(urgency(0.0, 2) < urgency(1.0, 0));
}

proptest! {
    /// Guards against urgencies that engines do not accept, and against a longer request before a shorter one.
    #[test]
    fn urgencies_are_ordered_and_valid(a in -0.5..1.5_f64, b in -0.5..1.5_f64, priority: u8) {
        prop_assert!(urgency(a.min(b), priority) <= urgency(a.max(b), priority));
        prop_assert!(urgency(a, priority) <= 9);
    }
}
