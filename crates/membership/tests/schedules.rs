//! Checks the invariants of membership under random interleavings of lost, delayed, duplicated and reordered
//! datagrams, partitions, pauses, kills, replaced processes and planned stops.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::Fleet;
use membership::{Event, Readiness, Settings, State};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

/// Number of schedules per test.
const CASES: u32 = 1000;

/// Duration of the faults; a fault-free period follows, after which all nodes must agree.
const FAULT_PERIOD: Duration = Duration::from_secs(60);
const RECOVERY_PERIOD: Duration = Duration::from_secs(45);

/// Time within which every reachable node learns of a planned stop.
const LEAVE_BOUND: Duration = Duration::from_secs(6);

/// Time within which a killed node is declared dead by every other node.
const DEATH_BOUND: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    nodes: usize,
    faults: Vec<Fault>,
}

#[derive(Debug, Clone, Copy)]
struct Fault {
    /// In tenths of a second.
    start: u32,
    /// In tenths of a second.
    length: u32,
    node: usize,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Loss,
    Slow,
    Partition,
    Pause,
    Replace,
    Kill,
    Leave,
    NotReady,
}

const KINDS: [Kind; 8] = [
    Kind::Loss,
    Kind::Slow,
    Kind::Partition,
    Kind::Pause,
    Kind::Replace,
    Kind::Kill,
    Kind::Leave,
    Kind::NotReady,
];

/// Deliberate defect that one of the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A leaving node does not announce that it stops.
    SilentLeave,
    /// Nodes do not ping dead members or listed hosts to rejoin them.
    NoReconnection,
    /// Suspected members are not declared dead.
    NoDetection,
    /// Entry lists contain members regardless of their state.
    UnfilteredEntries,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Violation {
    /// An entry list contained a leaving member after its bound, or a member known to be unavailable.
    Entries,
    /// A killed member was not declared dead within its bound.
    Detection,
    /// After the recovery period a running node did not see all running nodes in their announced states, so a
    /// false declaration of death had a lasting effect.
    Agreement,
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let fault = (
        0..600_u32,
        5..300_u32,
        0..5_usize,
        prop::sample::select(&KINDS[..]),
    );
    let fault = fault.prop_map(|(start, length, node, kind)| Fault {
        start,
        length,
        node,
        kind,
    });
    let faults = prop::collection::vec(fault, 0..8);
    (any::<u64>(), 2..6_usize, faults).prop_map(|(seed, nodes, faults)| Schedule { seed, nodes, faults })
}

struct Run {
    fleet: Fleet,
    schedule: Schedule,
    mutant: Mutant,
    leave_times: Vec<Option<Duration>>,
    kill_times: Vec<Option<Duration>>,
    /// Time since which all nodes communicate without loss, delay or partition.
    undisturbed_since: Duration,
}

fn run(schedule: Schedule, mutant: Mutant) -> Result<(), Violation> {
    let nodes = schedule.nodes;
    let mut settings = Settings::default();
    match mutant {
        Mutant::NoReconnection => settings.reconnect_interval = FAULT_PERIOD * 10,
        Mutant::NoDetection => settings.suspicion_timeout = FAULT_PERIOD * 10,
        _ => {}
    }
    let fleet = Fleet::with_settings(nodes, 3, 3, schedule.seed, settings);
    let mut run = Run {
        fleet,
        schedule,
        mutant,
        leave_times: vec![None; nodes],
        kill_times: vec![None; nodes],
        undisturbed_since: Duration::ZERO,
    };
    while run.fleet.now < FAULT_PERIOD + RECOVERY_PERIOD {
        run.apply_faults();
        run.fleet.run(fleet::TICK);
        run.check()?;
    }
    run.check_agreement()
}

impl Run {
    fn apply_faults(&mut self) {
        let now = (self.fleet.now.as_millis() / 100) as u32;
        let recovering = self.fleet.now >= FAULT_PERIOD;
        let active = |kind: Kind| {
            let faults = self
                .schedule
                .faults
                .iter()
                .filter(move |it| it.kind == kind && !recovering);
            faults
                .filter(move |it| (it.start..it.start + it.length).contains(&now))
                .copied()
        };
        let loss = active(Kind::Loss).count() > 0;
        let slow = active(Kind::Slow).count() > 0;
        let partitioned: Vec<_> = active(Kind::Partition)
            .map(|it| it.node % self.schedule.nodes)
            .collect();
        let starting: Vec<_> = self
            .schedule
            .faults
            .iter()
            .filter(|it| it.start == now)
            .copied()
            .collect();
        self.fleet.loss = if loss { 0.4 } else { 0.0 };
        self.fleet.duplication = if slow { 0.3 } else { 0.0 };
        self.fleet.jitter = Duration::from_millis(if slow { 1500 } else { 2 });
        self.fleet.groups = partitioned.iter().map(|it| (*it, 1 + *it as u8)).collect();
        if loss || slow || !partitioned.is_empty() {
            self.undisturbed_since = self.undisturbed_since.max(self.fleet.now);
        }
        for fault in starting {
            self.start(fault);
        }
        for index in 0..self.schedule.nodes {
            let not_ready = active_on(&self.schedule, Kind::NotReady, index, now) && !recovering;
            let readiness = if not_ready {
                Readiness::NotReady
            } else {
                Readiness::Ready
            };
            self.fleet.nodes[index].status.readiness = readiness;
        }
    }

    fn start(&mut self, fault: Fault) {
        let index = fault.node % self.schedule.nodes;
        let now = self.fleet.now;
        let node = &self.fleet.nodes[index];
        let inactive = !node.running || now < node.paused_until;
        if inactive && matches!(fault.kind, Kind::Pause | Kind::Leave) {
            return;
        }
        match fault.kind {
            Kind::Pause => {
                let end = now + SECOND * fault.length / 10;
                self.fleet.nodes[index].paused_until = end.min(FAULT_PERIOD);
                // A paused process takes no part in the protocol, so the bounds count from the end of the
                // pause.
                self.undisturbed_since = self.undisturbed_since.max(end.min(FAULT_PERIOD));
            }
            Kind::Replace => {
                self.fleet.restart(index);
                (self.leave_times[index], self.kill_times[index]) = (None, None);
                self.undisturbed_since = self.undisturbed_since.max(now + SECOND);
            }
            Kind::Kill => {
                self.fleet.nodes[index].running = false;
                self.kill_times[index].get_or_insert(now);
            }
            Kind::Leave => {
                if self.mutant != Mutant::SilentLeave {
                    self.fleet.event(index, Event::Leave);
                }
                self.leave_times[index].get_or_insert(now);
            }
            Kind::Loss | Kind::Slow | Kind::Partition | Kind::NotReady => {}
        }
    }

    fn check(&self) -> Result<(), Violation> {
        let now = self.fleet.now;
        let due = |since: Option<Duration>, bound| {
            since.is_some_and(|it| now > it.max(self.undisturbed_since) + bound)
        };
        for node in self
            .fleet
            .nodes
            .iter()
            .filter(|it| it.running && now >= it.paused_until)
        {
            let entries = self.entries(node);
            for (index, other) in self.fleet.nodes.iter().enumerate() {
                let incarnation = fleet::incarnation(other);
                if due(self.leave_times[index], LEAVE_BOUND) && entries.contains(&incarnation) {
                    return Err(Violation::Entries);
                }
                let state = node.table.member(incarnation, now).map(|it| it.state);
                if due(self.kill_times[index], DEATH_BOUND) && state.is_some_and(|it| it != State::Dead) {
                    return Err(Violation::Detection);
                }
            }
            let available = node
                .table
                .members()
                .filter(|it| it.is_available())
                .map(|it| it.incarnation);
            let available: BTreeSet<_> = available.chain([fleet::incarnation(node)]).collect();
            if !entries.is_subset(&available) {
                return Err(Violation::Entries);
            }
        }
        Ok(())
    }

    fn entries(&self, node: &fleet::Node) -> BTreeSet<model::Incarnation> {
        if self.mutant == Mutant::UnfilteredEntries {
            return node.table.members().map(|it| it.incarnation).collect();
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let answer = node.table.entries(None, &mut rng);
        answer.entries.into_iter().map(|it| it.incarnation).collect()
    }

    /// Checks that all running nodes see each other in the state that each announced, despite false
    /// declarations of death.
    fn check_agreement(&self) -> Result<(), Violation> {
        let now = self.fleet.now;
        let running = || self.fleet.nodes.iter().enumerate().filter(|it| it.1.running);
        for (_, node) in running() {
            let views: BTreeSet<_> = node
                .table
                .live(now)
                .iter()
                .map(|it| (it.incarnation, it.state))
                .collect();
            let expected: BTreeSet<_> = running()
                .map(|(_, it)| (fleet::incarnation(it), it.table.local().state))
                .collect();
            if views != expected {
                return Err(Violation::Agreement);
            }
        }
        Ok(())
    }
}

fn active_on(schedule: &Schedule, kind: Kind, index: usize, now: u32) -> bool {
    let matches = |it: &&Fault| it.kind == kind && it.node % schedule.nodes == index;
    let mut faults = schedule.faults.iter().filter(matches);
    faults.any(|it| (it.start..it.start + it.length).contains(&now))
}

#[test]
fn invariants_hold() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| run(it, Mutant::None));
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            schedule::assert_fault_detected(CASES, &schedules(), &Violation::$violation, |it| run(it, Mutant::$mutant));
        })*
    };
}

mutants! {
    missing_leave_announcement_is_detected: SilentLeave => Entries;
    unfiltered_entries_are_detected: UnfilteredEntries => Entries;
    missing_failure_detection_is_detected: NoDetection => Detection;
    missing_reconnection_is_detected: NoReconnection => Agreement;
}
