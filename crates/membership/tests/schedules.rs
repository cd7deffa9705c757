//! Guards the rules of membership against any interleaving of losses, delays, repeated and reordered datagrams,
//! separations, pauses, kills, replacements and planned stops.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::Fleet;
use membership::{Event, Readiness, Settings, State};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

/// Schedules of each test.
const CASES: u32 = 1000;

/// Time of the faults; a quiet time follows, after which all nodes must agree.
const ACTIVE: Duration = Duration::from_secs(60);
const QUIET: Duration = Duration::from_secs(45);

/// Time within which a planned stop is known to every node that is reached.
const LEAVE_BOUND: Duration = Duration::from_secs(6);

/// Time within which a node that no datagram reaches any more is left out of entry answers.
const DEATH_BOUND: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    nodes: usize,
    faults: Vec<Fault>,
}

#[derive(Debug, Clone, Copy)]
struct Fault {
    /// In tenths of a second, as is the length.
    start: u32,
    length: u32,
    node: usize,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Loss,
    Slow,
    Separate,
    Pause,
    Replace,
    Kill,
    Leave,
    NotReady,
}

const KINDS: [Kind; 8] = [
    Kind::Loss,
    Kind::Slow,
    Kind::Separate,
    Kind::Pause,
    Kind::Replace,
    Kind::Kill,
    Kind::Leave,
    Kind::NotReady,
];

/// A deliberate fault that one of the checks has to notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A node that stops does not announce it.
    SilentLeave,
    /// Nodes do not look for those that they lost.
    NoReconnection,
    /// Suspected members are not declared dead.
    NoDetection,
    /// Nodes answer with members whose state they do not look at.
    AnyEntry,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Violation {
    /// A leaving or dead member appeared in entry answers after its bound, or one that is known as unavailable.
    Entries,
    /// A killed member stayed.
    Detection,
    /// After the faults a running node was missing somewhere: a false death took more than capacity.
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
    left: Vec<Option<Duration>>,
    killed: Vec<Option<Duration>>,
    /// Since when each node hears all others without loss, delay or separation.
    clear: Duration,
}

fn run(schedule: Schedule, mutant: Mutant) -> Result<(), Violation> {
    let nodes = schedule.nodes;
    let mut settings = Settings::default();
    match mutant {
        Mutant::NoReconnection => settings.reconnect_interval = ACTIVE * 10,
        Mutant::NoDetection => settings.suspicion = ACTIVE * 10,
        _ => {}
    }
    let fleet = Fleet::with_settings(nodes, 3, 3, schedule.seed, settings);
    let mut run = Run {
        fleet,
        schedule,
        mutant,
        left: vec![None; nodes],
        killed: vec![None; nodes],
        clear: Duration::ZERO,
    };
    while run.fleet.now < ACTIVE + QUIET {
        run.apply_faults();
        run.fleet.run(fleet::TICK);
        run.check()?;
    }
    run.check_agreement()
}

impl Run {
    fn apply_faults(&mut self) {
        let now = (self.fleet.now.as_millis() / 100) as u32;
        let quiet = self.fleet.now >= ACTIVE;
        let active = |kind: Kind| {
            let faults = self
                .schedule
                .faults
                .iter()
                .filter(move |it| it.kind == kind && !quiet);
            faults
                .filter(move |it| (it.start..it.start + it.length).contains(&now))
                .copied()
        };
        let loss = active(Kind::Loss).count() > 0;
        let slow = active(Kind::Slow).count() > 0;
        let separated: Vec<_> = active(Kind::Separate)
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
        self.fleet.groups = separated.iter().map(|it| (*it, 1 + *it as u8)).collect();
        if loss || slow || !separated.is_empty() {
            self.clear = self.clear.max(self.fleet.now);
        }
        for fault in starting {
            self.start(fault);
        }
        for index in 0..self.schedule.nodes {
            let unready = active_on(&self.schedule, Kind::NotReady, index, now) && !quiet;
            let readiness = if unready {
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
        let stands_still = !node.running || now < node.paused_until;
        if stands_still && matches!(fault.kind, Kind::Pause | Kind::Leave) {
            return;
        }
        match fault.kind {
            Kind::Pause => {
                let end = now + SECOND * fault.length / 10;
                self.fleet.nodes[index].paused_until = end.min(ACTIVE);
                // A paused process cannot take part, so the bounds of the others count from its end.
                self.clear = self.clear.max(end.min(ACTIVE));
            }
            Kind::Replace => {
                self.fleet.restart(index);
                (self.left[index], self.killed[index]) = (None, None);
                self.clear = self.clear.max(now + SECOND);
            }
            Kind::Kill => {
                self.fleet.nodes[index].running = false;
                self.killed[index].get_or_insert(now);
            }
            Kind::Leave => {
                if self.mutant != Mutant::SilentLeave {
                    self.fleet.event(index, Event::Leave);
                }
                self.left[index].get_or_insert(now);
            }
            Kind::Loss | Kind::Slow | Kind::Separate | Kind::NotReady => {}
        }
    }

    fn check(&self) -> Result<(), Violation> {
        let now = self.fleet.now;
        let due = |since: Option<Duration>, bound| since.is_some_and(|it| now > it.max(self.clear) + bound);
        for node in self
            .fleet
            .nodes
            .iter()
            .filter(|it| it.running && now >= it.paused_until)
        {
            let entries = self.entries(node);
            for (index, other) in self.fleet.nodes.iter().enumerate() {
                let incarnation = fleet::incarnation(other);
                if due(self.left[index], LEAVE_BOUND) && entries.contains(&incarnation) {
                    return Err(Violation::Entries);
                }
                let state = node.table.member(incarnation, now).map(|it| it.state);
                if due(self.killed[index], DEATH_BOUND) && state.is_some_and(|it| it != State::Dead) {
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
        if self.mutant == Mutant::AnyEntry {
            return node.table.members().map(|it| it.incarnation).collect();
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let answer = node.table.entries(None, &mut rng);
        answer.entries.into_iter().map(|it| it.incarnation).collect()
    }

    /// All running nodes see each other, in the state that each announced, whatever was falsely declared dead.
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
            let truth: BTreeSet<_> = running()
                .map(|(_, it)| (fleet::incarnation(it), it.table.local().state))
                .collect();
            if views != truth {
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
fn rules_hold() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| run(it, Mutant::None));
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            schedule::assert_fault_detected(CASES, &schedules(), &Violation::$violation, |it| {
                run(it, Mutant::$mutant)
            });
        })*
    };
}

mutants! {
    silent_leave_is_noticed: SilentLeave => Entries;
    unchecked_entries_are_noticed: AnyEntry => Entries;
    missing_detection_is_noticed: NoDetection => Detection;
    missing_reconnection_is_noticed: NoReconnection => Agreement;
}
