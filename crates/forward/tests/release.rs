//! Guards against bad versions that reach many callers, sessions that change version, and releases that go back.

use std::time::Duration;

use forward::release::{Arm, Counters, Decision, Grade, Order, Release, Stage, Tally};
use model::{Incarnation, Name};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SESSION: Duration = Duration::from_secs(5);

const SECOND: Duration = Duration::from_secs(1);

fn order() -> Order {
    Order {
        service: "pool".into(),
        target: "v2".into(),
        duration: SECOND * 24,
        offset: 7,
    }
}

fn release() -> Release {
    Release::new(order(), SESSION, Duration::ZERO)
}

fn own() -> Incarnation {
    Incarnation::from_bits(1)
}

fn answer(release: &mut Release, arm: Arm, bad: bool, count: u32) {
    let route = Name::from("drafts");
    let grade = if bad { Grade::Bad } else { Grade::Good };
    (0..count).for_each(|_| release.answered(own(), &route, arm, grade));
}

/// Lets a driver record what it decides until `until`.
fn drive(release: &mut Release, until: Duration) -> Vec<Stage> {
    let mut stages = vec![];
    let mut now = Duration::ZERO;
    while now <= until {
        if let Decision::Record(stage) = release.decide(now) {
            let status = release.status(stage, now);
            release.recorded(&status, now);
            stages.push(stage);
        }
        now += Duration::from_millis(500);
    }
    stages
}

/// Share of sessions that begin at `now` and get the new version.
fn share(release: &mut Release, now: Duration) -> f64 {
    let mut begun = |it: u32| release.arm(format!("{it} at {now:?}").as_bytes(), now);
    let new = (0..2000).filter(|it| begun(*it) == Arm::New);
    new.count() as f64 / 2000.0
}

#[test]
fn good_version_is_complete_in_time() {
    let mut release = release();
    answer(&mut release, Arm::Old, false, 500);
    answer(&mut release, Arm::New, false, 30);
    let stages = drive(&mut release, order().duration);
    assert_eq!(stages.first(), Some(&Stage::Trial(0)));
    assert_eq!(stages.last(), Some(&Stage::Complete));
    assert!(release.has_ended());
}

/// Guards against a version that turns bad late and has reached many callers by then.
#[test]
fn version_that_turns_bad_late_has_reached_few() {
    const STEP: Duration = Duration::from_millis(500);
    let mut release = release();
    answer(&mut release, Arm::Old, false, 500);
    answer(&mut release, Arm::New, false, 30);
    let (mut now, mut exposed) = (Duration::ZERO, 0.0);
    while now < order().duration.mul_f64(0.8) {
        if let Decision::Record(stage) = release.decide(now) {
            let status = release.status(stage, now);
            release.recorded(&status, now);
        }
        exposed += share(&mut release, now) * STEP.as_secs_f64();
        now += STEP;
    }
    let part = exposed / order().duration.as_secs_f64();
    assert!(part < 0.15, "{part}");
}

#[test]
fn version_without_answers_gets_no_more_traffic() {
    let mut release = release();
    assert_eq!(drive(&mut release, order().duration), [Stage::Trial(0)]);
}

#[test]
fn version_that_fails_on_one_route_is_reverted() {
    let mut release = release();
    let good = Name::from("advice");
    (0..400).for_each(|_| release.answered(own(), &good, Arm::New, Grade::Good));
    answer(&mut release, Arm::Old, false, 200);
    answer(&mut release, Arm::New, true, 4);
    assert_eq!(release.arm(b"any", SECOND * 20), Arm::Old);
    assert_eq!(release.decide(SECOND), Decision::Record(Stage::Reverted));
}

#[test]
fn failures_that_the_old_version_has_too_do_not_count() {
    let mut release = release();
    // Failures come among good answers: many in a row after good ones are a version that turned bad.
    for arm in [Arm::Old, Arm::New] {
        for _ in 0..100 {
            answer(&mut release, arm, false, 7);
            answer(&mut release, arm, true, 3);
        }
    }
    assert!(!release.is_halted());
}

#[test]
fn evidence_of_other_nodes_counts() {
    let mut release = release();
    for bits in 2..6 {
        let tally = Tally {
            new: 1,
            new_bad: 1,
            ..Tally::default()
        };
        release.merge(
            Incarnation::from_bits(bits),
            Counters::from([("drafts".into(), tally)]),
        );
    }
    assert!(release.is_halted());
}

#[test]
fn repeated_notice_counts_once() {
    let mut release = release();
    let tally = Tally {
        new: 1,
        new_bad: 1,
        ..Tally::default()
    };
    let counters = Counters::from([("drafts".into(), tally)]);
    (0..10).for_each(|_| release.merge(Incarnation::from_bits(2), counters.clone()));
    assert!(!release.is_halted());
}

#[test]
fn sessions_under_way_stay_in_the_first_stage() {
    let mut release = release();
    let sessions: Vec<_> = (0..500_u32).map(u32::to_be_bytes).collect();
    let mut now = Duration::ZERO;
    // Each session sends a request every four seconds until the second stage.
    while now < SECOND * 12 {
        for session in &sessions {
            assert_eq!(release.arm(session, now), Arm::Old);
        }
        now += SECOND * 4;
    }
    assert!(
        share(&mut release, SECOND * 12) > 0.0,
        "new sessions take part in the trial"
    );
}

#[test]
fn session_that_another_node_holds_stays() {
    let now = SECOND * 8;
    let mut moved = (0..500_u32).filter(|it| release().arm(&it.to_be_bytes(), now) == Arm::New);
    let session = moved.next().unwrap_or_default().to_be_bytes();
    let mut elsewhere = release();
    elsewhere.arm(&session, SECOND * 5);
    let mut here = release();
    for (held, age) in elsewhere.held(now) {
        here.hold(held, age, now);
    }
    assert_eq!(here.arm(&session, now), Arm::Old);
}

#[test]
fn stage_is_in_force_on_all_nodes_at_the_same_time() {
    let (mut driver, mut other) = (release(), release());
    let decided = SECOND * 13;
    let status = driver.status(Stage::Trial(2), decided);
    driver.recorded(&status, decided);
    let heard = decided + SECOND;
    assert_eq!(driver.active_stage(heard), Stage::Trial(0));
    other.recorded(&status, heard);
    for now in [heard, decided + SECOND * 2] {
        assert_eq!(driver.active_stage(now), other.active_stage(now));
    }
    assert_eq!(share(&mut other, decided + SECOND * 2), 1.0);
}

#[test]
fn end_is_final() {
    let mut release = release();
    release.recorded(&release.status(Stage::Reverted, SECOND), SECOND);
    release.recorded(&release.status(Stage::Trial(3), SECOND * 2), SECOND * 2);
    assert_eq!(release.stage(), Stage::Reverted);
    assert_eq!(release.decide(SECOND * 20), Decision::Hold);
}

#[test]
fn state_of_an_earlier_order_has_no_effect() {
    let mut release = release();
    let mut status = release.status(Stage::Complete, SECOND);
    status.order = 3;
    release.recorded(&status, SECOND);
    assert_eq!(release.stage(), Stage::Trial(0));
}

#[test]
fn new_driver_knows_when_the_release_began() {
    let mut release = Release::new(order(), SESSION, SECOND * 100);
    let mut status = release.status(Stage::Trial(1), SECOND * 100);
    status.elapsed = SECOND * 15;
    release.recorded(&status, SECOND * 100);
    assert_eq!(release.elapsed(SECOND * 101), SECOND * 16);
}

/// Guards against sessions that change version because an answer took longer than the time between their requests.
#[test]
fn session_stays_on_its_version_after_a_long_answer() {
    let mut release = release();
    let now = SECOND * 6;
    let long: Vec<String> = (0..400).map(|it| format!("s{it}")).collect();
    long.iter()
        .for_each(|it| assert_eq!(release.arm(it.as_bytes(), now), Arm::Old));
    let end = SECOND * 9;
    long.iter().for_each(|it| release.ended(it.as_bytes(), end));
    let next = SECOND * 13;
    assert!(long.iter().all(|it| release.arm(it.as_bytes(), next) == Arm::Old));
}

/// Guards against sessions that are taken for new because their request began before the order was known.
#[test]
fn session_whose_request_began_before_the_order_stays() {
    let mut release = release();
    let sessions = || (0..400).map(|it| format!("s{it}"));
    sessions().for_each(|it| release.ended(it.as_bytes(), SECOND * 6));
    assert!(sessions().all(|it| release.arm(it.as_bytes(), SECOND * 10) == Arm::Old));
    assert!(share(&mut release, SECOND * 10) > 0.0);
}

/// Answers of a version of which a part is bad, the same in each run.
fn mixed(release: &mut Release, arm: Arm, (grade, share): (Grade, f64), seed: u64, count: u32) -> u32 {
    let route = Name::from("drafts");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut bad_answers = 0;
    for _ in 0..count {
        if release.is_halted() {
            break;
        }
        let bad = rng.random_bool(share);
        bad_answers += u32::from(bad);
        release.answered(own(), &route, arm, if bad { grade } else { Grade::Good });
    }
    bad_answers
}

/// Guards against a good version that is reverted because one of many nodes had a run of bad luck.
#[test]
fn good_version_is_halted_by_no_node_of_a_large_fleet() {
    for node in 0..300 {
        let mut release = release();
        mixed(&mut release, Arm::Old, (Grade::Slow, 0.05), node, 300);
        mixed(&mut release, Arm::New, (Grade::Slow, 0.08), node + 1000, 300);
        assert!(!release.is_halted(), "node {node}");
    }
}

macro_rules! bad_versions {
    ($($name:ident: $grade:ident in $share:literal after $good:literal answers;)*) => {
        $(#[test]
        fn $name() {
            // The users allow 50 bad answers before they count the time until a bad version is stopped.
            for seed in 0..50 {
                let mut release = release();
                mixed(&mut release, Arm::Old, (Grade::$grade, 0.02), seed, 2000);
                mixed(&mut release, Arm::New, (Grade::$grade, 0.02), seed + 100, $good);
                let bad = mixed(&mut release, Arm::New, (Grade::$grade, $share), seed + 200, 1000);
                assert!(release.is_halted() && bad < 50, "{bad} bad answers with seed {seed}");
            }
        })*
    };
}

bad_versions! {
    version_that_fails_half_is_halted: Bad in 0.5 after 0 answers;
    version_that_fails_three_in_ten_is_halted: Bad in 0.3 after 0 answers;
    version_that_is_slow_half_the_time_is_halted: Slow in 0.5 after 0 answers;
    // Many good answers must not hide what follows.
    version_that_begins_to_fail_late_is_halted: Bad in 0.5 after 2000 answers;
    version_that_slows_down_late_is_halted: Slow in 0.5 after 2000 answers;
}
