//! Guards against short requests that wait behind long ones, and against engines without work.

use forward::lane::Lanes;
use proptest::prelude::*;

#[test]
fn rare_long_requests_have_engines_of_their_own() {
    let mut lanes = Lanes::new();
    // Ninety-nine short requests for each long one, which brings half of the work.
    for idx in 0..5000 {
        lanes.note(if idx % 100 == 0 { 99_000.0 } else { 1_000.0 });
    }
    assert!(lanes.position(1_000.0) < 0.2);
    assert!(lanes.position(99_000.0) > 0.5);
}

#[test]
fn bounds_follow_a_change_of_the_mix() {
    let mut lanes = Lanes::new();
    (0..5000).for_each(|_| lanes.note(50_000.0));
    (0..20_000).for_each(|_| lanes.note(100.0));
    assert!(lanes.position(50_000.0) > 0.9);
    assert!(lanes.mean() < 200.0);
}

proptest! {
    /// Guards against places outside of the domain, and against a longer request before a shorter one.
    #[test]
    fn places_are_in_order(sizes in prop::collection::vec(1.0..1e8_f64, 0..200), a in 0.0..1e9_f64, b in 0.0..1e9_f64) {
        let mut lanes = Lanes::new();
        sizes.into_iter().for_each(|it| lanes.note(it));
        let (low, high) = (lanes.position(a.min(b)), lanes.position(a.max(b)));
        prop_assert!((0.0..=1.0).contains(&low) && (0.0..=1.0).contains(&high));
        prop_assert!(low <= high);
    }
}
