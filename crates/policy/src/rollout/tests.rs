//! Tests of evidence, sequential tests, exposure and decisions.

use std::time::Duration;

use model::object::rollout::State;
use model::object::{Rollout, version};
use model::{Host, Incarnation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::sequential::{SequentialTest, Tally};
use super::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn rollout(state: State) -> Rollout {
    Rollout {
        name: "rollout".into(),
        model: "model".into(),
        from: "old".into(),
        to: "new".into(),
        stages: vec![500, 1000],
        stage: 0,
        state,
        exposure_budget: 40,
    }
}

fn hosts() -> Vec<Host> {
    (0..4).map(|it| format!("host-{it}").into()).collect()
}

/// Controllers of the two trial nodes, the first evaluator first.
fn controllers() -> Vec<Controller> {
    let hosts = hosts();
    let rollout = rollout(State::Running);
    let trial = trial_nodes(&rollout, hosts.iter().map(|it| &**it));
    let controller = |(idx, host): (usize, &&str)| {
        let node = Node {
            host: (*host).into(),
            incarnation: Incarnation::from_bits(idx as u128),
        };
        let mut controller = Controller::new(node, rollout.clone(), 1, version::State::Live);
        controller.set_live_hosts(&hosts);
        controller
    };
    trial.iter().enumerate().map(controller).collect()
}

fn record(controller: &mut Controller, arm: Arm, event: Event, count: usize) {
    for _ in 0..count {
        controller.record(arm, event);
    }
}

const ANSWERED: Event = Event::Answered {
    latency: Duration::from_millis(1),
    slow: false,
};

fn answer(controller: &mut Controller, arm: Arm, rating: Event, count: usize) {
    for event in [Event::Started, ANSWERED, rating] {
        record(controller, arm, event, count);
    }
}

fn with_crossed_bound() -> (Controller, SmallRng) {
    let mut controller = controllers().remove(0);
    let mut rng = SmallRng::seed_from_u64(1);
    answer(&mut controller, Arm::Old, Event::Adequate, 300);
    answer(&mut controller, Arm::New, Event::Inadequate, 10);
    let halt = Decision::Halt {
        base: 1,
        cause: Cause::Ratings,
    };
    assert_eq!(controller.decide(&mut rng), halt);
    (controller, rng)
}

fn any_counter() -> impl Strategy<Value = Counter> {
    prop::array::uniform8(0..9u64).prop_map(|it| Counter {
        started: it[0],
        failed: it[1],
        answered: it[2],
        slow: it[3],
        latency_ms: it[4],
        adequate: it[5],
        inadequate: it[6],
        lost: it[7],
    })
}

fn any_entries() -> impl Strategy<Value = Vec<(bool, u128, Counter)>> {
    prop::collection::vec((any::<bool>(), 0..3u128, any_counter()), 0..6)
}

fn merged(entries: &[(bool, u128, Counter)]) -> Evidence {
    let mut evidence = Evidence::default();
    for (new, node, counter) in entries {
        let arm = if *new { Arm::New } else { Arm::Old };
        evidence.merge(arm, Incarnation::from_bits(*node), counter);
    }
    evidence
}

proptest! {
    #![proptest_config(config())]

    // Guards against evidence that depends on the order, grouping or repetition of exchanged messages.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in any_entries(), b in any_entries()) {
        let ab = merged(&[a.clone(), b.clone()].concat());
        prop_assert_eq!(&ab, &merged(&[b.clone(), a.clone()].concat()));
        prop_assert_eq!(&ab, &merged(&[a.clone(), b.clone(), a.clone(), b.clone()].concat()));
        let mut grouped = merged(&a);
        for (arm, incarnation, counter) in merged(&b).iter() {
            grouped.merge(arm, incarnation, &counter);
        }
        prop_assert_eq!(&ab, &grouped);
    }

    // Guards against more trial requests than the allowance or the budget permits, for any sequence of
    // outcomes, lost ratings and exchanges.
    #[test]
    fn exposure_never_exceeds_the_allowance(
        steps in prop::collection::vec((0..2usize, 0..6u8), 0..400),
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes = controllers();
        for node in &mut nodes {
            answer(node, Arm::Old, Event::Adequate, 100);
        }
        // Requests without an outcome at each node, and totals of both nodes.
        let mut open = [0u64; 2];
        let mut started = 0u64;
        let mut good = 0u64;
        let mut lost = 0u64;
        let mut known = 0u64;
        for (step, (idx, action)) in steps.into_iter().enumerate() {
            let node = &mut nodes[idx];
            let now = Duration::from_secs(10 * step as u64);
            match action {
                0 | 1 => if node.admit(now, &mut rng) == Admission::New {
                    open[idx] += 1;
                    started += 1;
                },
                5 => {
                    let records = node.export();
                    nodes[1 - idx].merge(&records);
                }
                _ if open[idx] == 0 => {}
                2 | 3 => {
                    record(node, Arm::New, ANSWERED, 1);
                    record(node, Arm::New, if action == 2 { Event::Adequate } else { Event::Inadequate }, 1);
                    good += u64::from(action == 2);
                    known += 1;
                    open[idx] -= 1;
                }
                _ => {
                    record(node, Arm::New, ANSWERED, 1);
                    record(node, Arm::New, Event::Lost, 1);
                    lost += 1;
                    open[idx] -= 1;
                }
            }
            nodes[idx].decide(&mut rng);
            // Two requests for each of the two nodes, and one more for every 16 good outcomes.
            let allowance = 2 * 2 + good / 16;
            prop_assert!(open.iter().sum::<u64>() <= allowance);
            prop_assert!(lost <= known + allowance);
            prop_assert!(started <= 40);
        }
    }

    // Guards against a crossed bound that is reset by later evidence, and against trial requests after it.
    #[test]
    fn halt_is_not_undone_without_a_configuration_change(
        actions in prop::collection::vec((0..4u8, 1..20usize), 0..40),
    ) {
        let (mut controller, mut rng) = with_crossed_bound();
        for (step, (action, count)) in actions.into_iter().enumerate() {
            match action {
                0 => answer(&mut controller, Arm::New, Event::Adequate, count * 10),
                1 => answer(&mut controller, Arm::Old, Event::Inadequate, count * 10),
                2 => controller.configure(rollout(State::Running), 1, version::State::Live),
                _ => controller.set_live_hosts(&hosts()),
            }
            let now = Duration::from_secs(100 * step as u64);
            let halted = matches!(controller.decide(&mut rng), Decision::Halt { base: 1, .. });
            prop_assert!(halted);
            prop_assert_eq!(controller.admit(now, &mut rng), Admission::Old);
        }
    }

    // Guards against a test that crosses its bound more often when it is evaluated more often. With a
    // probability of 0.05 each, the number of crossings in 400 runs exceeds 35 with a probability below 0.1%.
    #[test]
    fn equal_versions_rarely_cross_the_bound(seed in 0..8u64, blocks_per_update in 1..20u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let crossed = (0..400).filter(|_| {
            let mut test = SequentialTest::new(&[(0.1, 0.3), (0.22, 0.5), (0.6, 0.2)], 0.9);
            let mut old = Tally::default();
            let mut new = Tally::default();
            (0..200 / blocks_per_update).any(|_| {
                for idx in 0..blocks_per_update * 5 {
                    let success = u64::from(rng.random_bool(0.9));
                    let arm = if idx % 5 == 0 { &mut new } else { &mut old };
                    arm.successes += success;
                    arm.failures += 1 - success;
                }
                test.update(old, new, &mut rng);
                test.e_value() >= 20.0
            })
        });
        prop_assert!(crossed.count() <= 35);
    }
}

// Guards against an advance by another node that restarts trial traffic to a version that crossed a bound.
#[test]
fn resume_resets_a_crossed_bound_and_advance_does_not() {
    let (mut controller, mut rng) = with_crossed_bound();
    let next = Rollout {
        stage: 1,
        ..rollout(State::Running)
    };
    controller.configure(next, 2, version::State::Live);
    assert!(matches!(
        controller.decide(&mut rng),
        Decision::Halt { base: 2, .. }
    ));
    controller.configure(rollout(State::Halted), 3, version::State::Live);
    assert_eq!(controller.decide(&mut rng), Decision::Hold(Reason::NotRunning));
    controller.configure(rollout(State::Running), 4, version::State::Live);
    assert_eq!(controller.decide(&mut rng), Decision::Hold(Reason::Evidence));
}

// Guards against new requests to a withdrawn version (I2) while its roll-out is still running.
#[test]
fn withdrawn_version_gets_no_requests() {
    let mut controller = controllers().remove(0);
    let mut rng = SmallRng::seed_from_u64(1);
    answer(&mut controller, Arm::Old, Event::Adequate, 100);
    controller.configure(rollout(State::Running), 1, version::State::Withdrawn);
    let admitted = (0..100).map(|it| controller.admit(Duration::from_secs(it), &mut rng));
    assert!(admitted.into_iter().all(|it| it == Admission::Old));
}

// Guards against a roll-out that makes no progress after the first evaluator dies: the second one proposes
// the advance, based on the merged evidence.
#[test]
fn second_evaluator_proposes_when_the_first_is_gone() {
    let mut nodes = controllers();
    let mut rng = SmallRng::seed_from_u64(1);
    answer(&mut nodes[0], Arm::Old, Event::Adequate, 1000);
    answer(&mut nodes[0], Arm::New, Event::Adequate, 400);
    let records = nodes[0].export();
    nodes[1].merge(&records);
    let advance = Decision::Advance {
        base: 1,
        next: Next::Stage(1),
    };
    assert_eq!(nodes[0].decide(&mut rng), advance);
    assert_eq!(nodes[1].decide(&mut rng), Decision::Hold(Reason::NotDriving));
    let live: Vec<_> = hosts()
        .into_iter()
        .filter(|it| *it != nodes[0].node().host)
        .collect();
    nodes[1].set_live_hosts(&live);
    assert_eq!(nodes[1].decide(&mut rng), advance);
}

// Guards against trial traffic that continues at other nodes until the halt has passed through the
// configuration log.
#[test]
fn stop_by_another_node_takes_effect_at_once() {
    let (controller, mut rng) = with_crossed_bound();
    let mut other = controllers().remove(1);
    answer(&mut other, Arm::Old, Event::Adequate, 100);
    other.stop_trial(&controller.rollout_revision(), Cause::Ratings);
    assert_eq!(other.admit(Duration::ZERO, &mut rng), Admission::Old);
    assert!(matches!(other.decide(&mut rng), Decision::Halt { base: 1, .. }));
}
