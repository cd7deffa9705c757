//! Guards against more retries than a node's part of the budget, and against a budget that leaves none for failures.

use std::time::Duration;

use forward::BootTime;
use forward::retry_budget::{
    EARLIER_WEIGHT, Inquiry, Part, Reservation, RetryBudget, RetryLimit, RetryReason,
};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.9,
    slack: 56.0,
    window: WINDOW,
};

/// Part of one of eight nodes.
const EIGHTH: Part = Part {
    slack: 1.0 / 8.0,
    ratio: 1.0,
};

fn seconds(it: f64) -> BootTime {
    Duration::from_secs_f64(it)
}

/// A budget with 10 requests a second between two times.
fn budget_with_requests(from: f64, to: f64) -> RetryBudget {
    let mut budget = RetryBudget::new(LIMIT);
    for index in 0..((to - from) * 10.0) as usize {
        let at = seconds(from + index as f64 * 0.1);
        budget.record_request(at, at);
    }
    budget
}

fn reserve_all(budget: &mut RetryBudget, reason: RetryReason, now: BootTime) -> usize {
    (0..1000)
        .take_while(|_| budget.try_reserve(reason, EIGHTH, now).is_ok())
        .count()
}

#[test]
fn quality_retries_leave_budget_for_failures() {
    let mut budget = budget_with_requests(100.0, 120.0);
    let now = seconds(120.0);
    reserve_all(&mut budget, RetryReason::Quality, now);
    assert!(budget.try_reserve(RetryReason::Failure, EIGHTH, now).is_ok());
}

#[test]
fn retries_of_other_nodes_leave_budget_for_own_requests() {
    let mut budget = budget_with_requests(100.0, 120.0);
    let now = seconds(120.0);
    assert!(reserve_all(&mut budget, RetryReason::Peer, now) > 0);
    assert!(budget.try_reserve(RetryReason::Failure, EIGHTH, now).is_ok());
}

#[test]
fn unused_budget_expires() {
    let mut budget = budget_with_requests(0.0, 100.0);
    let acquired = reserve_all(&mut budget, RetryReason::Failure, seconds(121.0));
    assert!(acquired <= 56 / 8, "{acquired} retries");
}

/// Guards against requests that fail together, although few have failed before, and can't be sent again.
#[test]
fn part_of_the_budget_may_be_used_at_once() {
    let mut budget = budget_with_requests(100.0, 120.0);
    let acquired = reserve_all(&mut budget, RetryReason::Failure, seconds(120.0));
    let saved = LIMIT.ratio * EARLIER_WEIGHT * 40.0;
    assert!(acquired as f64 >= saved, "{acquired} retries");
}

#[test]
fn steady_retries_use_the_whole_ratio() {
    let mut budget = RetryBudget::new(LIMIT);
    let mut acquired = 0;
    for index in 0..1000 {
        let at = seconds(100.0 + f64::from(index) * 0.1);
        budget.record_request(at, at);
        let is_last_window = index >= 900;
        let granted = budget.try_reserve(RetryReason::Failure, EIGHTH, at);
        acquired += usize::from(granted.is_ok() && is_last_window);
    }
    assert!(acquired >= 85, "{acquired} retries for 100 requests");
}

#[test]
fn returned_reservation_may_be_used_again() {
    let mut budget = budget_with_requests(100.0, 120.0);
    let now = seconds(120.0);
    let reservation = budget.try_reserve(RetryReason::Failure, EIGHTH, now).unwrap();
    reserve_all(&mut budget, RetryReason::Failure, now);
    budget.release(&reservation);
    assert_eq!(reserve_all(&mut budget, RetryReason::Failure, now), 1);
}

#[test]
fn reservation_expires() {
    let mut budget = budget_with_requests(100.0, 120.0);
    let now = seconds(120.0);
    let reservation = budget.try_reserve(RetryReason::Failure, EIGHTH, now).unwrap();
    assert!(reservation.is_valid(now + Reservation::VALIDITY));
    assert!(!reservation.is_valid(now + Reservation::VALIDITY + Duration::from_millis(1)));
}

/// Guards against counts that a return after two windows makes wrong.
#[test]
fn late_return_of_a_reservation_changes_nothing() {
    let mut budget = budget_with_requests(100.0, 120.0);
    let reservation = budget
        .try_reserve(RetryReason::Failure, EIGHTH, seconds(120.0))
        .unwrap();
    let later = seconds(200.0);
    let expected = reserve_all(&mut budget.clone(), RetryReason::Failure, later);
    budget.release(&reservation);
    assert_eq!(reserve_all(&mut budget, RetryReason::Failure, later), expected);
}

/// Guards against BUDGET while a fleet is upgraded: nodes of the older build spend the ratio of their last window, and any
/// number of callers may be at them.
#[test]
fn parts_beside_older_nodes_leave_room_for_them() {
    for older in 0..200_u32 {
        for newer in 0..200_u32 {
            let (older, newer) = (f64::from(older), f64::from(newer));
            let older_part = 0.9 * 0.9 * older;
            let newer_part = LIMIT.ratio * newer * Part::RATIO_BESIDE_OLDER;
            let most = newer.max(older);
            assert!(
                older_part + newer_part <= LIMIT.ratio * most + 1e-9,
                "{older} and {newer} requests"
            );
        }
    }
}

proptest! {
    /// Guards against more retries of all nodes together than the limit in any window.
    #[test]
    fn fleet_stays_within_the_limit(
        nodes in 1_usize..9,
        events in prop::collection::vec((0_usize..8, 0_u64..40, any::<bool>()), 1..600),
    ) {
        let mut fleet = vec![RetryBudget::new(LIMIT); nodes];
        let part = Part { slack: 1.0 / nodes as f64, ratio: 1.0 };
        let mut now = Duration::ZERO;
        let (mut requests, mut retries) = (vec![], vec![]);
        for (node, pause, is_retry) in events {
            now += Duration::from_millis(pause);
            let budget = &mut fleet[node % nodes];
            if !is_retry {
                budget.record_request(now, now);
                requests.push(now);
            } else if budget.try_reserve(RetryReason::Failure, part, now).is_ok() {
                retries.push(now);
            }
            let recent = |it: &&Duration| now - **it <= WINDOW;
            let limit = LIMIT.ratio * requests.iter().filter(recent).count() as f64 + LIMIT.slack;
            prop_assert!(retries.iter().filter(recent).count() as f64 <= limit);
        }
    }
}

/// Guards against a node that asks no other node any more, because its questions have not ended.
#[test]
fn questions_that_end_make_room_for_others() {
    let mut rng = rand::rng();
    let mut inquiry = Inquiry::default();
    let now = seconds(100.0);
    let open = (0..100).take_while(|_| inquiry.try_begin(now)).count();
    assert!((1..100).contains(&open), "{open}");
    inquiry.end(true, now, &mut rng);
    assert!(inquiry.try_begin(now));
    inquiry.end(false, now, &mut rng);
    assert!(!inquiry.try_begin(now), "asked again at once after a denial");
    assert!(inquiry.try_begin(now + Duration::from_secs(1)));
}
