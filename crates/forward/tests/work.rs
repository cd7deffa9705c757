//! Guards against short requests that wait behind long ones, and against idle engines.

use forward::work::WorkDistribution;
use proptest::collection::vec;
use proptest::prelude::*;

#[test]
fn rare_long_requests_get_their_own_engines() {
    let mut distribution = WorkDistribution::new();
    // 99 short requests for each long one, which accounts for half of the work.
    for idx in 0..5000 {
        distribution.record(if idx % 100 == 0 { 99_000.0 } else { 1_000.0 });
    }
    assert!(distribution.position(1_000.0) < 0.2);
    assert!(distribution.position(99_000.0) > 0.5);
}

#[test]
fn positions_follow_a_change_of_sizes() {
    let mut distribution = WorkDistribution::new();
    (0..5000).for_each(|_| distribution.record(50_000.0));
    (0..20_000).for_each(|_| distribution.record(100.0));
    assert!(distribution.position(50_000.0) > 0.9);
    assert!(distribution.mean() < 200.0);
}

proptest! {
    /// Guards against positions outside of 0 to 1, and against a longer request before a shorter one.
    #[test]
    fn positions_are_ordered(sizes in vec(1.0..1e8_f64, 0..200), a in 0.0..1e9_f64, b in 0.0..1e9_f64) {
        let mut distribution = WorkDistribution::new();
        sizes.into_iter().for_each(|it| distribution.record(it));
        let (low, high) = (distribution.position(a.min(b)), distribution.position(a.max(b)));
        prop_assert!((0.0..=1.0).contains(&low) && (0.0..=1.0).contains(&high));
        prop_assert!(low <= high);
    }
}
