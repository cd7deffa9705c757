//! Guards against callers, copies and trial traffic that are assigned to the wrong members.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::Fleet;
use membership::{Event, ListedState, Readiness, Seed};
use model::Domain;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

fn formed_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 3, 1);
    assert!(fleet.run_until(SECOND * 60, Fleet::agrees).is_some());
    fleet.run(SECOND * 10);
    fleet
}

/// Counts how often each host came first in the entry lists of node 0.
fn first_entry_counts(fleet: &Fleet, domain: Option<&Domain>) -> BTreeMap<String, usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..2000 {
        let answer = fleet.nodes[0].table.entries(domain, &mut rng);
        assert!(answer.entries.len() <= fleet.settings.max_entries);
        let hosts: BTreeSet<_> = answer.entries.iter().map(|it| &it.host).collect();
        assert_eq!(hosts.len(), answer.entries.len());
        *counts.entry(answer.entries[0].host.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn entries_of_the_callers_domain_come_first() {
    let fleet = formed_fleet(8);
    let domain = fleet.nodes[1].table.local().domain.clone();
    let hosts: Vec<_> = first_entry_counts(&fleet, Some(&domain)).into_keys().collect();
    assert_eq!(hosts, ["entry-001", "entry-004", "entry-007"]);
    assert_eq!(first_entry_counts(&fleet, None).len(), 8);
}

#[test]
fn entries_are_weighted_by_spare_capacity() {
    let mut fleet = formed_fleet(8);
    fleet.nodes[4].status.load = 900;
    fleet.nodes[7].status.load = 1200;
    fleet.run(SECOND * 20);
    let domain = fleet.nodes[1].table.local().domain.clone();
    let counts = first_entry_counts(&fleet, Some(&domain));
    // Weights 600 and 100 give a share of one in seven; the overloaded member comes last.
    let share = counts["entry-004"] as f64 / 2000.0;
    assert!((share - 1.0 / 7.0).abs() < 0.03, "{share}");
    assert!(!counts.contains_key("entry-007"));
}

macro_rules! excluded {
    ($($name:ident: $change:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut fleet = formed_fleet(8);
            let change: fn(&mut Fleet) = $change;
            change(&mut fleet);
            fleet.run(SECOND * 12);
            let counts = first_entry_counts(&fleet, None);
            assert_eq!((counts.len(), counts.contains_key("entry-004")), (7, false), "{counts:?}");
        })*
    };
}

excluded! {
    leaving_member_is_excluded: |it| it.event(4, Event::Leave);
    dead_member_is_excluded: |it| it.nodes[4].running = false;
    member_that_is_not_ready_is_excluded: |it| it.nodes[4].status.readiness = Readiness::NotReady;
    member_listed_as_leaving_is_excluded: |it| {
        let local = it.nodes[4].table.local().clone();
        let seed = Seed {
            host: Some(local.host),
            gossip: local.addresses.gossip,
            listed: ListedState::Leaving,
        };
        it.event(0, Event::Hosts(vec![seed]));
    };
}

#[test]
fn copy_holders_are_in_other_domains() {
    let fleet = formed_fleet(8);
    for node in &fleet.nodes {
        let holders = node.table.copy_holders(2);
        let domains: BTreeSet<_> = holders.iter().map(|it| &it.domain).collect();
        assert_eq!(domains.len(), 2);
        assert!(!domains.contains(&node.table.local().domain));
    }
}

#[test]
fn copy_holders_are_selected_with_few_domains() {
    let mut fleet = Fleet::new(3, 1, 1);
    assert!(fleet.run_until(SECOND * 60, Fleet::agrees).is_some());
    assert_eq!(fleet.nodes[0].table.copy_holders(2).len(), 2);
    assert_eq!(Fleet::new(1, 1, 1).nodes[0].table.copy_holders(2).len(), 0);
}

#[test]
fn nodes_agree_on_trial_hosts_and_snapshot_writer() {
    let mut fleet = formed_fleet(8);
    for name in ["a", "b", "c"] {
        let choices: BTreeSet<_> = fleet
            .nodes
            .iter()
            .map(|it| it.table.trial_hosts(name, 2))
            .collect();
        assert_eq!(choices.len(), 1);
        assert_eq!(
            fleet
                .nodes
                .iter()
                .filter(|it| it.table.is_trial_host(name, 2))
                .count(),
            2
        );
    }
    for revision in 0..20 {
        assert_eq!(
            fleet
                .nodes
                .iter()
                .filter(|it| it.table.is_snapshot_writer(revision))
                .count(),
            1
        );
    }
    // A dead member is replaced, and the other selected host stays.
    let before = fleet.nodes[0].table.trial_hosts("a", 2);
    let lost = fleet
        .nodes
        .iter()
        .position(|it| it.table.local().host == before[0])
        .unwrap();
    fleet.nodes[lost].running = false;
    fleet.run(SECOND * 15);
    let other = (lost + 1) % 8;
    let after = fleet.nodes[other].table.trial_hosts("a", 2);
    assert!(after.contains(&before[1]) && !after.contains(&before[0]));
}
