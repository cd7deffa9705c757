use super::simulation::{Trial, Trouble};
use super::traffic::{Quality, Service};
use super::{empty, measure, simulate};

const SEEDS: u64 = 6;

fn trial(quality: Quality) -> Trial {
    Trial {
        service: Service::Plain,
        quality,
        rate: 300.0,
        trouble: Trouble::None,
        baseline: None,
    }
}

/// Fails if the simulation gives the nodes no evidence, or loses it on the way to the driver.
#[test]
fn half_of_the_responses_failing_is_reverted() {
    let outcomes = simulate(trial(Quality::Failing(0.5)), 1, SEEDS);
    assert!(
        outcomes
            .iter()
            .all(|it| it.is_reverted_in_time() && it.past_bound == 0)
    );
}

/// Fails if the simulation shows a fault of its own as one of a good version.
#[test]
fn good_version_is_complete() {
    let outcomes = simulate(trial(Quality::Good), 1, SEEDS);
    assert!(outcomes.iter().all(|it| !it.is_halted() && !it.is_late()));
}

/// Fails if figures depend on threads, hash seeds or the clock.
#[test]
fn a_seed_has_the_same_figures() {
    let rows = || {
        let mut report = empty(1);
        measure(&mut report, trial(Quality::Slow(4.0)), SEEDS);
        report.table.rows
    };
    assert_eq!(rows(), rows());
}
