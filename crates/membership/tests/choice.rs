//! Guards against callers, copies and trial traffic that are sent to the wrong members.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::Fleet;
use membership::{Event, Listed, Readiness, Seed};
use model::Domain;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

fn settled(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 3, 1);
    assert!(fleet.run_until(SECOND * 60, Fleet::agrees).is_some());
    fleet.run(SECOND * 10);
    fleet
}

/// How often each host came first in the answers of node 0.
fn firsts(fleet: &Fleet, domain: Option<&Domain>) -> BTreeMap<String, usize> {
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
fn callers_domain_comes_first() {
    let fleet = settled(8);
    let domain = fleet.nodes[1].table.local().domain.clone();
    let hosts: Vec<_> = firsts(&fleet, Some(&domain)).into_keys().collect();
    assert_eq!(hosts, ["entry-001", "entry-004", "entry-007"]);
    assert_eq!(firsts(&fleet, None).len(), 8);
}

#[test]
fn spare_capacity_weighs() {
    let mut fleet = settled(8);
    fleet.nodes[4].status.load = 900;
    fleet.nodes[7].status.load = 1200;
    fleet.run(SECOND * 20);
    let domain = fleet.nodes[1].table.local().domain.clone();
    let firsts = firsts(&fleet, Some(&domain));
    // Weights 600 and 100, so one in seven; the overloaded member comes last.
    let share = firsts["entry-004"] as f64 / 2000.0;
    assert!((share - 1.0 / 7.0).abs() < 0.03, "{share}");
    assert!(!firsts.contains_key("entry-007"));
}

macro_rules! left_out {
    ($($name:ident: $change:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut fleet = settled(8);
            let change: fn(&mut Fleet) = $change;
            change(&mut fleet);
            fleet.run(SECOND * 12);
            let firsts = firsts(&fleet, None);
            assert_eq!((firsts.len(), firsts.contains_key("entry-004")), (7, false), "{firsts:?}");
        })*
    };
}

left_out! {
    leaving_member: |it| it.event(4, Event::Leave);
    dead_member: |it| it.nodes[4].running = false;
    member_that_is_not_ready: |it| it.nodes[4].status.readiness = Readiness::NotReady;
    listed_as_leaving: |it| {
        let local = it.nodes[4].table.local().clone();
        let seed = Seed { host: Some(local.host), gossip: local.addresses.gossip, listed: Listed::Leaving };
        it.event(0, Event::Hosts(vec![seed]));
    };
}

#[test]
fn holders_are_in_other_domains() {
    let fleet = settled(8);
    for node in &fleet.nodes {
        let holders = node.table.holders(2);
        let domains: BTreeSet<_> = holders.iter().map(|it| &it.domain).collect();
        assert_eq!(domains.len(), 2);
        assert!(!domains.contains(&node.table.local().domain));
    }
}

#[test]
fn few_domains_still_give_holders() {
    let mut fleet = Fleet::new(3, 1, 1);
    assert!(fleet.run_until(SECOND * 60, Fleet::agrees).is_some());
    assert_eq!(fleet.nodes[0].table.holders(2).len(), 2);
    assert_eq!(Fleet::new(1, 1, 1).nodes[0].table.holders(2).len(), 0);
}

#[test]
fn nodes_agree_on_trial_hosts_and_writer() {
    let mut fleet = settled(8);
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
    // A dead member is replaced, and the other choice stays.
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
