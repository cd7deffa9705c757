//! Guards against more repeated arrivals than the fleet may cause, and against none for failures.

use std::time::Duration;

use forward::allowance::{Allowance, Bound, Need};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

const BOUND: Bound = Bound {
    ratio: 0.9,
    slack: 56.0,
    window: WINDOW,
};

#[test]
fn better_answers_leave_room_for_failures() {
    let mut allowance = Allowance::new(BOUND);
    (0..100).for_each(|_| allowance.request(Duration::ZERO));
    while allowance.take(Need::Quality, 8, Duration::ZERO) {}
    assert!(allowance.take(Need::Failure, 8, Duration::ZERO));
}

#[test]
fn unused_allowance_expires() {
    let mut allowance = Allowance::new(BOUND);
    (0..1000).for_each(|_| allowance.request(Duration::ZERO));
    let later = WINDOW * 2;
    let taken = (0..100)
        .filter(|_| allowance.take(Need::Failure, 8, later))
        .count();
    assert!(taken <= 56 / 8, "{taken}");
}

proptest! {
    /// Guards against a sum over all nodes above the bound in any window.
    #[test]
    fn fleet_keeps_the_bound(
        nodes in 1_usize..9,
        events in prop::collection::vec((0_usize..8, 0_u64..40, any::<bool>()), 1..600),
    ) {
        let mut fleet = vec![Allowance::new(BOUND); nodes];
        let mut now = Duration::ZERO;
        let (mut requests, mut extra) = (vec![], vec![]);
        for (node, pause, repeat) in events {
            now += Duration::from_millis(pause);
            let allowance = &mut fleet[node % nodes];
            if !repeat {
                allowance.request(now);
                requests.push(now);
            } else if allowance.take(Need::Failure, nodes, now) {
                extra.push(now);
            }
            let recent = |it: &&Duration| now - **it <= WINDOW;
            let most = BOUND.ratio * requests.iter().filter(recent).count() as f64 + BOUND.slack;
            prop_assert!(extra.iter().filter(recent).count() as f64 <= most);
        }
    }
}
