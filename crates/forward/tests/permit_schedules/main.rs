//! Random schedules of nodes that are stopped, started and cut off while they use an engine with a request limit.
//!
//! Guards against a limit that is spent twice because two nodes issue permits, and against one that each part of a
//! split fleet spends as if it were alone, also while datagrams between nodes are delayed and lost, and against an
//! engine that is then left alone. Deliberate faults show that the checks detect these violations.

mod network;

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use forward::BootTime;
use forward::permit::{Fleet, Issuer, Permits};
use forward::request_limit::Rate;
use model::{Upstream, hash};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use network::{Event, Network, run_undisturbed, undisturbed};

const NODES: usize = 8;

/// Nodes that each node knows when it starts, though it has not reached them.
const SEEDS: std::ops::Range<usize> = 0..3;

/// Minimum number of schedules for each test.
const CASES: u32 = 1500;

/// Time between two requests of a node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Window over which the platform counts requests, its tolerance, and the time for which it does not count those
/// of a node that was stopped or cut off.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_EXCESS: f64 = 5.0;
const EXCUSED: Duration = Duration::from_secs(3);

/// Ranges of the time until a node knows that another one has started, and that it cannot be reached.
const JOIN_DELAY: std::ops::Range<u64> = 50..2500;
const LOSS_DELAY: std::ops::Range<u64> = 1500..4500;

/// Range of the time until a node that was declared dead has refuted that.
const REFUTATION_DELAY: std::ops::Range<u64> = 300..3000;

/// Time between two notices of a node to another one.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last step, in which all nodes learn the state of the fleet.
const FINAL_WAIT: Duration = Duration::from_secs(22);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Each node issues its own permits.
    IssuedByEachNode,
    /// A new issuer does not wait.
    NoTakeOver,
    /// A node goes on to issue permits after others took it for dead.
    IssuesAfterRefutation,
    /// A node issues all permits even if it cannot reach other nodes.
    NoShare,
    /// A permit is lost if its reply arrives after the request has gone on.
    LatePermitsDropped,
    /// A permit is kept however late its reply arrives.
    PermitsKept,
}

#[derive(Debug, PartialEq, Eq)]
enum Violation {
    /// Nodes that were in touch sent too many requests.
    Limit,
    /// An engine got less than the minimum share of its limit.
    Starved,
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    // Nodes are given by their rank as issuers.
    Stop(usize),
    Start(usize),
    /// Splits the nodes into two parts that cannot reach each other.
    Split(u8),
    Heal,
    /// All others take a node for dead until it refutes that.
    DeclareDead(usize),
    /// Datagrams of a node are delivered after some milliseconds.
    Stall(usize, u16),
}

#[derive(Debug, Clone)]
struct Node {
    running: bool,
    part: bool,
    issuer: Issuer,
    fleet: Fleet,
    permits: Permits,
    /// Queries for whose reply a request waits.
    waiting: HashSet<u64>,
    /// Until when datagrams of the node are delayed.
    stalled_until: BootTime,
    started_at: BootTime,
    /// Until when the others take it for dead although it runs.
    refuted_at: BootTime,
    /// Last stop, start or cut.
    disturbed_at: BootTime,
    /// Whether each other node is known to be present, and when that changes to what is true.
    present: [bool; NODES],
    known: [bool; NODES],
    changes_at: [Option<BootTime>; NODES],
}

#[derive(Debug)]
struct Simulation {
    fault: Option<Fault>,
    network: Network,
    rate: Rate,
    engine: Upstream,
    now: BootTime,
    nodes: Vec<Node>,
    requests: VecDeque<(BootTime, usize)>,
    /// Events by the time at which they are due.
    events: BTreeMap<(BootTime, u64), Event>,
    /// Numbers given to queries and events so far.
    numbers: u64,
    rng: StdRng,
}

impl Node {
    fn known_hosts(&self) -> usize {
        self.known.iter().filter(|it| **it).count()
    }
}

impl Simulation {
    fn new(fault: Option<Fault>, network: Network, rate: Rate, seed: u64) -> Self {
        let node = Node {
            running: true,
            part: false,
            issuer: Issuer::new(BootTime::ZERO),
            fleet: Fleet::default(),
            permits: Permits::default(),
            waiting: HashSet::new(),
            stalled_until: BootTime::ZERO,
            started_at: BootTime::ZERO,
            refuted_at: BootTime::ZERO,
            disturbed_at: BootTime::ZERO,
            present: [true; NODES],
            known: [true; NODES],
            changes_at: [None; NODES],
        };
        Self {
            fault,
            network,
            rate,
            engine: format!("engine-{seed}").into(),
            now: Duration::from_secs(60),
            nodes: vec![node; NODES],
            requests: VecDeque::new(),
            events: BTreeMap::new(),
            numbers: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, steps: &[Step]) -> Result<(), Violation> {
        for step in steps {
            match *step {
                Step::Wait(millis) => self.wait(Duration::from_millis(millis.into()))?,
                Step::Stop(rank) => {
                    let node = self.ranked(rank);
                    self.nodes[node].running = false;
                    self.disturb(&[node]);
                }
                Step::Start(rank) => self.start(self.ranked(rank)),
                Step::Split(mask) => {
                    (0..NODES).for_each(|it| self.nodes[it].part = mask >> it & 1 == 1);
                    self.disturb(&(0..NODES).collect::<Vec<_>>());
                }
                Step::DeclareDead(rank) => {
                    let node = self.ranked(rank);
                    let delay = Duration::from_millis(self.rng.random_range(REFUTATION_DELAY));
                    self.nodes[node].refuted_at = self.now + delay;
                }
                Step::Stall(rank, millis) => {
                    let node = self.ranked(rank);
                    self.nodes[node].stalled_until = self.now + Duration::from_millis(millis.into());
                }
                Step::Heal => {
                    self.nodes.iter_mut().for_each(|it| it.part = false);
                    self.disturb(&(0..NODES).collect::<Vec<_>>());
                }
            }
        }
        self.wait(FINAL_WAIT)
    }

    /// The node that issues the permits if all nodes before it are lost.
    fn ranked(&self, rank: usize) -> usize {
        let names = names();
        let ranked = hash::highest(&self.engine, names.iter().map(|it| &**it), NODES);
        names
            .iter()
            .position(|it| *it == ranked[rank])
            .unwrap_or_default()
    }

    /// Starts a process on a host; one that runs is replaced.
    fn start(&mut self, node: usize) {
        let part = self.nodes[node].part;
        let started_at = match self.fault {
            Some(Fault::NoTakeOver) => BootTime::ZERO,
            _ => self.now,
        };
        let mut alone = [false; NODES];
        alone[node] = true;
        let mut known = alone;
        known[SEEDS].fill(true);
        self.nodes[node] = Node {
            running: true,
            part,
            issuer: Issuer::new(started_at),
            fleet: Fleet::default(),
            permits: Permits::default(),
            waiting: HashSet::new(),
            stalled_until: BootTime::ZERO,
            started_at: self.now,
            refuted_at: BootTime::ZERO,
            disturbed_at: self.now,
            present: alone,
            known,
            changes_at: [None; NODES],
        };
        self.disturb(&[node]);
    }

    fn disturb(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.nodes[*node].disturbed_at = self.now;
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        from.running && to.running && from.part == to.part
    }

    /// Whether a node is in the smaller part of a split fleet.
    fn is_cut_off(&self, node: usize) -> bool {
        let part = self.nodes.iter().filter(|it| it.part == self.nodes[node].part);
        part.count() * 2 < NODES
    }

    /// Nodes that were taken for dead learn that when they refute it, and begin again as issuers.
    fn notice_refutations(&mut self) {
        let (now, forgets) = (self.now, self.fault != Some(Fault::IssuesAfterRefutation));
        for node in &mut self.nodes {
            let is_refuted = node.refuted_at <= now && now < node.refuted_at + REQUEST_INTERVAL;
            if is_refuted && forgets {
                node.issuer.retain(|_| false);
            }
        }
    }

    /// Each node notices what has changed, after a delay.
    fn update_views(&mut self) {
        for node in 0..NODES {
            for other in (0..NODES).filter(|it| *it != node) {
                let now = self.now;
                let is_declared_dead = now < self.nodes[other].refuted_at;
                let reaches = self.reaches(node, other) && !is_declared_dead;
                let view = &mut self.nodes[node];
                if view.present[other] == reaches {
                    view.changes_at[other] = None;
                    continue;
                }
                let delay = match reaches {
                    true => JOIN_DELAY,
                    false => LOSS_DELAY,
                };
                let delay = match is_declared_dead {
                    true => Duration::ZERO,
                    false => Duration::from_millis(self.rng.random_range(delay)),
                };
                let at = *view.changes_at[other].get_or_insert(now + delay);
                if now >= at {
                    view.present[other] = reaches;
                    view.known[other] |= reaches;
                    view.changes_at[other] = None;
                }
            }
        }
    }

    /// Nodes forget what they no longer issue, and tell each other how many hosts they know.
    fn exchange_notices(&mut self) {
        for node in 0..NODES {
            let share = REQUEST_INTERVAL.as_secs_f64() / NOTICE_INTERVAL.as_secs_f64();
            if !self.rng.random_bool(share) {
                continue;
            }
            let is_issuer = self.issuer_of(node) == node;
            self.nodes[node].issuer.retain(|_| is_issuer);
            let other = self.rng.random_range(0..NODES);
            if self.nodes[node].present[other] && self.reaches(node, other) {
                let known = self.nodes[node].known_hosts();
                self.nodes[other].fleet.record(known, self.now);
            }
        }
    }

    fn issuer_of(&self, node: usize) -> usize {
        if self.fault == Some(Fault::IssuedByEachNode) {
            return node;
        }
        let names = names();
        let present = (0..NODES).filter(|it| self.nodes[node].present[*it]);
        let chosen = hash::highest(&self.engine, present.map(|it| &*names[it]), 1);
        names.iter().position(|it| *it == chosen[0]).unwrap_or(node)
    }

    fn wait(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now + time;
        while self.now < end {
            self.now += REQUEST_INTERVAL;
            self.notice_refutations();
            self.update_views();
            self.exchange_notices();
            self.deliver();
            let first = self.rng.random_range(0..NODES);
            for node in (0..NODES).map(|it| (first + it) % NODES) {
                if self.nodes[node].running && self.may_send(node) {
                    self.requests.push_back((self.now, node));
                    self.check()?;
                }
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), Violation> {
        while self.requests.front().is_some_and(|it| it.0 + WINDOW < self.now) {
            self.requests.pop_front();
        }
        let allowed = TOLERATED_FACTOR * self.rate * WINDOW.as_secs_f64() + TOLERATED_EXCESS;
        let in_touch = |node: usize| {
            let undisturbed = self.nodes[node].disturbed_at + EXCUSED <= self.now;
            undisturbed && !self.is_cut_off(node)
        };
        let counted = self.requests.iter().filter(|it| in_touch(it.1)).count();
        if counted as f64 > allowed {
            return Err(Violation::Limit);
        }
        Ok(())
    }
}

fn names() -> Vec<String> {
    (0..NODES).map(|it| format!("node-{it}")).collect()
}

/// Ranks of nodes; most schedules concern the issuer and the next one.
fn rank() -> impl Strategy<Value = usize> {
    prop_oneof![2 => Just(0), 2 => Just(1), 3 => 0..NODES]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4000_u16).prop_map(Step::Wait),
        2 => rank().prop_map(Step::Stop),
        3 => rank().prop_map(Step::Start),
        1 => any::<u8>().prop_map(Step::Split),
        1 => Just(Step::Heal),
        2 => rank().prop_map(Step::DeclareDead),
    ]
}

/// Steps while datagrams are delayed.
fn impaired_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        13 => step(),
        1 => (rank(), 0..10_000_u16).prop_map(|(rank, millis)| Step::Stall(rank, millis)),
    ]
}

type Schedule = (usize, u64, Vec<Step>);

/// Limits in requests per second.
const RATES: [Rate; 4] = [0.5, 2.1, 20.0, 60.0];

fn schedules(network: Network) -> impl Strategy<Value = Schedule> {
    let step = match network {
        Network::Immediate => step().boxed(),
        Network::Impaired => impaired_step().boxed(),
    };
    let steps = prop::collection::vec(step, 1..24);
    (0..RATES.len(), any::<u64>(), steps)
}

fn run(network: Network, fault: Option<Fault>, (rate, seed, steps): &Schedule) -> Result<(), Violation> {
    Simulation::new(fault, network, RATES[*rate], *seed).run(steps)
}

#[test]
fn nodes_keep_a_limit_together() {
    let network = Network::Immediate;
    schedule::assert_rules_hold(CASES, &schedules(network), |it| run(network, None, &it));
}

#[test]
fn nodes_keep_a_limit_together_while_datagrams_are_delayed() {
    let network = Network::Impaired;
    schedule::assert_rules_hold(CASES, &schedules(network), |it| run(network, None, &it));
}

#[test]
fn engine_gets_what_it_takes_while_datagrams_are_delayed() {
    schedule::assert_rules_hold(CASES, &undisturbed(), |it| run_undisturbed(None, it));
}

#[test]
fn permits_that_are_lost_with_their_request_are_detected() {
    let fault = Some(Fault::LatePermitsDropped);
    let run = |it| run_undisturbed(fault, it);
    schedule::assert_fault_detected(CASES, &undisturbed(), &Violation::Starved, run);
}

macro_rules! faults {
    ($($name:ident: $fault:ident in $network:ident;)*) => {
        $(#[test]
        fn $name() {
            let network = Network::$network;
            let run = |it| run(network, Some(Fault::$fault), &it);
            schedule::assert_fault_detected(CASES, &schedules(network), &Violation::Limit, run);
        })*
    };
}

faults! {
    permits_issued_by_each_node_are_detected: IssuedByEachNode in Immediate;
    issuer_that_does_not_wait_is_detected: NoTakeOver in Immediate;
    issuer_that_was_taken_for_dead_is_detected: IssuesAfterRefutation in Immediate;
    issuer_of_a_part_that_issues_for_all_is_detected: NoShare in Immediate;
    permits_that_are_kept_are_detected: PermitsKept in Impaired;
}
