//! Guards against stages that are left on responses of another stage, and against shares and alarms that hold for
//! one node or one route only.

use std::collections::BTreeMap;
use std::time::Duration;

use forward::relay::Position;
use forward::release::{
    Arm, Counters, Decision, Exposure, Release, ReleaseOrder, ResponseGrade, Stage, Subject, Tally,
};
use model::{Incarnation, Name};

const SECOND: Duration = Duration::from_secs(1);

const EXPOSURE: Exposure = Exposure {
    share: 0.15,
    slack: 30.0,
};

fn release() -> Release {
    release_known_since(Duration::ZERO)
}

fn release_known_since(time: Duration) -> Release {
    let order = ReleaseOrder {
        service: "pool".into(),
        target: "v2".into(),
        duration: SECOND * 15,
        position: Position { era: 0, offset: 7 },
    };
    Release::new(order, SECOND * 5, EXPOSURE, time)
}

fn own() -> Incarnation {
    Incarnation::from_bits(1)
}

fn move_to(release: &mut Release, stage: Stage, now: Duration) {
    let status = release.status_for(stage, now);
    release.apply_status(&status, now);
}

fn respond(release: &mut Release, route: &str, arm: Arm, grade: ResponseGrade, count: u32) {
    (0..count).for_each(|_| release.record_response(own(), &route.into(), arm, grade));
}

/// Share of the requests without a session that get the new version.
fn request_share(release: &mut Release, now: Duration) -> f64 {
    let mut assign = |it: u32| release.assign_arm(Subject::Request(format!("{it}").as_bytes()), now);
    let new = (0..2000).filter(|it| assign(*it) == Arm::New);
    new.count() as f64 / 2000.0
}

/// Guards against a driver that starts anew and takes the responses of earlier stages, which the other nodes send it
/// again, for responses of the current one.
#[test]
fn new_driver_does_not_complete_on_responses_of_earlier_stages() {
    let mut release = release();
    move_to(&mut release, Stage::Trial(0), Duration::ZERO);
    move_to(&mut release, Stage::Trial(2), SECOND * 11);
    // All of them were received in the first stage.
    let tally = Tally {
        old: 400,
        new: 40,
        ..Tally::default()
    };
    let counters: Counters = BTreeMap::from([(Name::from("drafts"), tally)]);
    release.merge_counters(Incarnation::from_bits(2), counters);
    let now = SECOND * 13;
    assert_eq!(release.active_stage(now), Stage::Trial(2));
    release.tick(1, now);
    assert_eq!(release.decide(now), Decision::Hold);
}

/// Guards against a stage that is left on responses from before it became active.
#[test]
fn responses_before_a_stage_is_active_are_no_evidence_of_it() {
    let mut release = release();
    move_to(&mut release, Stage::Trial(0), Duration::ZERO);
    respond(&mut release, "drafts", Arm::Old, ResponseGrade::Good, 100);
    let recorded_at = SECOND * 11;
    move_to(&mut release, Stage::Trial(2), recorded_at);
    assert_ne!(release.active_stage(recorded_at), Stage::Trial(2));
    respond(&mut release, "drafts", Arm::New, ResponseGrade::Good, 20);
    // The stage is active now, and no response has come since.
    let now = SECOND * 13;
    assert_eq!(release.active_stage(now), Stage::Trial(2));
    release.tick(1, now);
    assert_eq!(release.decide(now), Decision::Hold);
}

/// Guards against a bad version whose failures are spread over the routes of a service.
#[test]
fn failures_on_many_routes_halt_a_release() {
    let mut release = release();
    move_to(&mut release, Stage::Trial(0), Duration::ZERO);
    for route in 0..17 {
        let route = format!("route-{route}");
        respond(&mut release, &route, Arm::Old, ResponseGrade::Good, 30);
        respond(&mut release, &route, Arm::New, ResponseGrade::Bad, 3);
    }
    assert!(
        release.is_halted(),
        "all 51 responses of the new version are failures"
    );
}

/// Guards against a node that starts during a release, knows few responses since the order, and sends far more than the
/// permitted share to the new version.
#[test]
fn node_that_starts_during_a_release_keeps_to_the_permitted_share() {
    let now = SECOND * 6;
    let fill = |release: &mut Release, count| {
        release.tick(8, now);
        respond(release, "drafts", Arm::Old, ResponseGrade::Good, count);
    };
    // Each of 8 nodes gets 10 requests per second: 1200 in the duration, of which 210 are permitted.
    let mut old = release();
    fill(&mut old, 60);
    let usual = request_share(&mut old, now);
    assert!(usual < 0.175, "{usual}");
    let mut started = release_known_since(SECOND * 5);
    started.record_age(SECOND * 5, SECOND * 5);
    fill(&mut started, 4);
    let share = request_share(&mut started, now);
    assert!(share < 0.175, "{share}");
}

/// Guards against a verdict so late that the round after it is past the end of the duration.
#[test]
fn release_without_evidence_is_reverted_in_time_at_any_phase_of_the_rounds() {
    for phase_ms in (0..500).step_by(50) {
        let mut release = release();
        move_to(&mut release, Stage::Trial(0), Duration::ZERO);
        let mut now = Duration::from_millis(phase_ms);
        while release.decide(now) != Decision::Record(Stage::Reverted) {
            now += Duration::from_millis(500);
        }
        assert!(
            now < SECOND * 15,
            "rounds begin at {phase_ms} ms, reverted at {now:?}"
        );
    }
}

/// Guards against a bad version with few failures, none of which the old version has, that is taken for good.
#[test]
#[ignore = "KNOWN-RED.txt"]
fn version_with_some_failures_does_not_complete() {
    let mut release = release();
    let mut stages = vec![];
    let mut served = 0_u32;
    for round in 0..30 {
        let now = Duration::from_millis(500) * round;
        release.tick(1, now);
        respond(&mut release, "drafts", Arm::Old, ResponseGrade::Good, 40);
        for _ in 0..8 {
            served += 1;
            let is_failure = served.is_multiple_of(8);
            let grade = if is_failure {
                ResponseGrade::Bad
            } else {
                ResponseGrade::Good
            };
            respond(&mut release, "drafts", Arm::New, grade, 1);
        }
        if let Decision::Record(stage) = release.decide(now) {
            move_to(&mut release, stage, now);
            stages.push(stage);
        }
    }
    assert!(!stages.contains(&Stage::Complete), "{stages:?}");
}
