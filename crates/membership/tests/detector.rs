//! Guards against members that are missed, kept after their death, or lost for good after a false death.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use membership::{Event, Readiness, State};

const SECOND: Duration = Duration::from_secs(1);

fn settled(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, 3, seed);
    let time = fleet.run_until(SECOND * 120, Fleet::agrees);
    assert!(time.is_some(), "the fleet did not form");
    fleet
}

#[test]
fn fleet_forms_from_seeds() {
    for count in [1, 2, 8, 40] {
        settled(count, 1);
    }
}

#[test]
fn new_member_of_a_settled_fleet_learns_all_others() {
    // Guards against members that are introduced only while there is news about them.
    let mut fleet = settled(40, 1);
    fleet.run(SECOND * 300);
    fleet.restart(4);
    let time = fleet.run_until(SECOND * 30, |it| it.nodes[4].table.live(it.now).len() == 40);
    assert!(time.is_some());
}

#[test]
fn killed_member_is_declared_dead_everywhere() {
    for (count, bound) in [(8, 10), (40, 20)] {
        for seed in 0..5 {
            let mut fleet = settled(count, seed);
            fleet.nodes[4].running = false;
            let time = fleet.run_until(SECOND * bound, |it| {
                (0..4).all(|node| it.state(node, 4) == Some(State::Dead))
            });
            assert!(time.is_some(), "{count} nodes, seed {seed}");
        }
    }
}

#[test]
fn paused_member_returns_by_refutation() {
    let mut fleet = settled(8, 1);
    fleet.nodes[4].paused_until = fleet.now + SECOND * 30;
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state(0, 4), Some(State::Dead));
    fleet.run(SECOND * 10);
    assert!(fleet.run_until(SECOND * 10, Fleet::agrees).is_some());
    let refutations = fleet.nodes[4].table.local().version.refutations();
    assert!(refutations > 0);
}

#[test]
fn pause_does_not_kill_the_others() {
    // Guards against a node that blames others for the acknowledgements that it missed while it was paused.
    let mut fleet = settled(8, 1);
    fleet.nodes[4].paused_until = fleet.now + SECOND * 30;
    fleet.run(SECOND * 31);
    let states: Vec<_> = (0..8)
        .filter(|it| *it != 4)
        .filter_map(|it| fleet.state(4, it))
        .collect();
    assert_eq!(states, [State::Alive; 7]);
}

#[test]
fn replaced_process_succeeds_the_old_one() {
    let mut fleet = settled(8, 1);
    let old = fleet::incarnation(&fleet.nodes[4]);
    fleet.restart(4);
    assert!(fleet.run_until(SECOND * 10, Fleet::agrees).is_some());
    let now = fleet.now;
    let states: Vec<_> = fleet
        .nodes
        .iter()
        .filter_map(|it| it.table.member(old, now))
        .map(|it| it.state)
        .collect();
    assert!(states.iter().all(|it| *it == State::Dead), "{states:?}");
}

#[test]
fn separated_groups_find_each_other_again() {
    let mut fleet = settled(8, 1);
    fleet.groups = (0..8).map(|it| (it, u8::from(it >= 5))).collect();
    // Longer than dead members are remembered, so that only the seeds are left.
    fleet.run(fleet.settings.dead_retention + SECOND * 60);
    assert_eq!(fleet.state(0, 6), None);
    fleet.groups.clear();
    assert!(fleet.run_until(SECOND * 30, Fleet::agrees).is_some());
}

#[test]
fn lossy_network_kills_nobody() {
    let mut fleet = settled(8, 1);
    fleet.loss = 0.05;
    fleet.duplication = 0.1;
    fleet.jitter = Duration::from_millis(150);
    for _ in 0..120 {
        fleet.run(SECOND);
        let dead = (0..8).flat_map(|it| (0..8).map(move |other| (it, other)));
        let dead: Vec<_> = dead
            .filter(|it| fleet.state(it.0, it.1) == Some(State::Dead))
            .collect();
        assert_eq!(dead, [], "at {:?}", fleet.now);
    }
}

#[test]
fn leaving_member_is_left_out_at_once() {
    let mut fleet = settled(8, 1);
    fleet.event(4, Event::Leave);
    let bound = fleet.run_until(SECOND * 5, |it| {
        (0..8)
            .filter(|node| *node != 4)
            .all(|node| it.state(node, 4) == Some(State::Leaving))
    });
    assert!(bound.is_some_and(|it| it <= SECOND * 3), "{bound:?}");
}

#[test]
fn readiness_spreads() {
    let mut fleet = settled(8, 1);
    fleet.nodes[4].status.readiness = Readiness::NotReady;
    let incarnation = fleet::incarnation(&fleet.nodes[4]);
    let bound = fleet.run_until(SECOND * 8, |it| {
        let views = it
            .nodes
            .iter()
            .filter_map(|node| node.table.member(incarnation, it.now));
        views
            .filter(|member| member.readiness == Readiness::NotReady)
            .count()
            == 7
    });
    assert!(bound.is_some());
}
