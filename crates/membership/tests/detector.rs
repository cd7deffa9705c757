//! Guards against members that are not discovered, not declared dead after they stop, or not restored after a
//! false declaration of death.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use membership::{Event, Readiness, State};

const SECOND: Duration = Duration::from_secs(1);

fn formed_fleet(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, 3, seed);
    let time = fleet.run_until(SECOND * 120, Fleet::agrees);
    assert!(time.is_some(), "the fleet did not form");
    fleet
}

#[test]
fn fleet_forms_from_seeds() {
    for count in [1, 2, 8, 40] {
        formed_fleet(count, 1);
    }
}

#[test]
fn new_member_of_a_formed_fleet_learns_all_others() {
    // Guards against a new member that is told only about members with recent changes.
    let mut fleet = formed_fleet(40, 1);
    fleet.run(SECOND * 300);
    fleet.restart(4);
    let time = fleet.run_until(SECOND * 30, |it| it.nodes[4].table.live(it.now).len() == 40);
    assert!(time.is_some());
}

#[test]
fn killed_member_is_declared_dead_everywhere() {
    for (count, bound) in [(8, 10), (40, 20)] {
        for seed in 0..5 {
            let mut fleet = formed_fleet(count, seed);
            fleet.nodes[4].running = false;
            let time = fleet.run_until(SECOND * bound, |it| {
                (0..4).all(|node| it.state(node, 4) == Some(State::Dead))
            });
            assert!(time.is_some(), "{count} nodes, seed {seed}");
        }
    }
}

#[test]
fn paused_member_is_restored_by_refutation() {
    let mut fleet = formed_fleet(8, 1);
    fleet.nodes[4].paused_until = fleet.now + SECOND * 30;
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state(0, 4), Some(State::Dead));
    fleet.run(SECOND * 10);
    assert!(fleet.run_until(SECOND * 10, Fleet::agrees).is_some());
    let refutations = fleet.nodes[4].table.local().version.refutations();
    assert!(refutations > 0);
}

#[test]
fn paused_member_does_not_declare_others_dead() {
    // Guards against a node that suspects others because it missed their acknowledgements while it was
    // paused.
    let mut fleet = formed_fleet(8, 1);
    fleet.nodes[4].paused_until = fleet.now + SECOND * 30;
    fleet.run(SECOND * 31);
    let states: Vec<_> = (0..8)
        .filter(|it| *it != 4)
        .filter_map(|it| fleet.state(4, it))
        .collect();
    assert_eq!(states, [State::Alive; 7]);
}

#[test]
fn new_process_replaces_the_old_one() {
    let mut fleet = formed_fleet(8, 1);
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
fn partitioned_groups_rejoin() {
    let mut fleet = formed_fleet(8, 1);
    fleet.groups = (0..8).map(|it| (it, u8::from(it >= 5))).collect();
    // Longer than dead members are kept, so that the groups can rejoin through the seeds only.
    fleet.run(fleet.settings.dead_retention + SECOND * 60);
    assert_eq!(fleet.state(0, 6), None);
    fleet.groups.clear();
    assert!(fleet.run_until(SECOND * 30, Fleet::agrees).is_some());
}

#[test]
fn lossy_network_causes_no_false_deaths() {
    let mut fleet = formed_fleet(8, 1);
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
fn leaving_member_is_known_within_three_seconds() {
    let mut fleet = formed_fleet(8, 1);
    fleet.event(4, Event::Leave);
    let bound = fleet.run_until(SECOND * 5, |it| {
        (0..8)
            .filter(|node| *node != 4)
            .all(|node| it.state(node, 4) == Some(State::Leaving))
    });
    assert!(bound.is_some_and(|it| it <= SECOND * 3), "{bound:?}");
}

#[test]
fn readiness_is_disseminated() {
    let mut fleet = formed_fleet(8, 1);
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

/// Guards against a limit of the whole fleet that the rest of it spends as if the lost hosts sent nothing.
#[test]
fn lost_hosts_are_counted_until_they_return() {
    let lost = |fleet: &Fleet, node: usize| fleet.nodes[node].table.lost_hosts(SECOND * 60, fleet.now);
    let mut fleet = formed_fleet(8, 1);
    fleet.run(SECOND * 60);
    assert_eq!(lost(&fleet, 0), 0);
    fleet.nodes[4].running = false;
    fleet.nodes[5].running = false;
    let time = fleet.run_until(SECOND * 20, |it| (0..4).all(|node| lost(it, node) == 2));
    assert!(time.is_some());
    fleet.restart(4);
    let time = fleet.run_until(SECOND * 20, |it| (0..4).all(|node| lost(it, node) == 1));
    assert!(time.is_some());
    fleet.run(SECOND * 80);
    assert_eq!(lost(&fleet, 0), 0);
}

/// Guards against a node that starts while it is cut off and takes itself for the whole fleet.
#[test]
fn seeds_that_were_not_met_are_counted_as_lost() {
    let mut fleet = formed_fleet(8, 1);
    fleet.groups.insert(7, 1);
    fleet.restart(7);
    fleet.run(SECOND * 2);
    assert_eq!(fleet.nodes[7].table.lost_hosts(SECOND * 60, fleet.now), 3);
    fleet.groups.clear();
    let time = fleet.run_until(SECOND * 30, |it| {
        it.nodes[7].table.lost_hosts(SECOND * 60, it.now) == 0
    });
    assert!(time.is_some());
}
