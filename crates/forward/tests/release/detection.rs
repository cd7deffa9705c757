//! Guards against good versions that are halted, and bad ones that are not, by chance.

use forward::release::{Arm, Release, ResponseGrade};
use model::Name;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{own, release};

/// Records responses of which a random share is bad, until the release is halted; returns the number of bad
/// ones. The fixed seed makes runs reproducible.
fn record_mixed(
    release: &mut Release,
    arm: Arm,
    (grade, share): (ResponseGrade, f64),
    seed: u64,
    count: u32,
) -> u32 {
    let route = Name::from("drafts");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut bad_responses = 0;
    for _ in 0..count {
        if release.is_halted() {
            break;
        }
        let bad = rng.random_bool(share);
        bad_responses += u32::from(bad);
        release.record_response(own(), &route, arm, if bad { grade } else { ResponseGrade::Good });
    }
    bad_responses
}

/// Guards against a good version that is reverted because one of many nodes had a chance run of slow
/// responses.
#[test]
fn good_version_is_not_halted_by_any_node_of_a_large_fleet() {
    for node in 0..300 {
        let mut release = release();
        record_mixed(&mut release, Arm::Old, (ResponseGrade::Slow, 0.05), node, 300);
        record_mixed(
            &mut release,
            Arm::New,
            (ResponseGrade::Slow, 0.08),
            node + 1000,
            300,
        );
        assert!(!release.is_halted(), "node {node}");
    }
}

macro_rules! bad_versions {
    ($($name:ident: $grade:ident in $share:literal after $good:literal responses;)*) => {
        $(#[test]
        fn $name() {
            // The users tolerate 50 bad responses before they measure the time to stop a bad version.
            for seed in 0..50 {
                let mut release = release();
                record_mixed(&mut release, Arm::Old, (ResponseGrade::$grade, 0.02), seed, 2000);
                record_mixed(&mut release, Arm::New, (ResponseGrade::$grade, 0.02), seed + 100, $good);
                let grade = ResponseGrade::$grade;
                let bad = record_mixed(&mut release, Arm::New, (grade, $share), seed + 200, 1000);
                assert!(release.is_halted() && bad < 50, "{bad} bad responses with seed {seed}");
            }
        })*
    };
}

bad_versions! {
    version_with_half_failures_is_halted: Bad in 0.5 after 0 responses;
    version_with_30_percent_failures_is_halted: Bad in 0.3 after 0 responses;
    version_with_half_slow_responses_is_halted: Slow in 0.5 after 0 responses;
    // Many good responses must not mask later bad ones.
    version_that_begins_to_fail_late_is_halted: Bad in 0.5 after 2000 responses;
    version_that_slows_down_late_is_halted: Slow in 0.5 after 2000 responses;
}
