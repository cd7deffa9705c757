//! Guards against a retry budget of nodes whose sum exceeds the limit of the fleet.
//!
//! A schedule moves callers between nodes, adds, kills, restarts, freezes and cuts off nodes, lets retries arrive late
//! or never, and lets nodes ask each other for retries. The sum is compared with the limit as the platform states it: in
//! each window, the retries of all nodes are at most the ratio of the requests of that window, of the one before it or
//! of the one half a window before it, whichever has most, plus the slack. Deliberate faults have to be caught.

mod arrivals;
mod mixed_builds;

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use forward::BootTime;
use forward::fleet_part::{FleetPart, Observation, Start};
use forward::retry_budget::{Part, Reservation, RetryBudget, RetryLimit, RetryReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use arrivals::Arrivals;

const WINDOW: Duration = Duration::from_secs(10);

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.9,
    slack: 54.0,
    window: WINDOW,
};

const STEP: Duration = Duration::from_millis(50);

/// Time within which nodes learn of each other.
const GOSSIP: Duration = Duration::from_secs(2);

/// Time from sending a retry until it arrives, at most.
const TRANSIT: Duration = Duration::from_millis(200);

/// Hosts that all settings name.
const SEEDS: Range<usize> = 0..1;

/// Retries that a node wants in a step, at most.
const MAX_WANTED: usize = 5;

const SCHEDULES: u64 = 1000;

/// A rule that a faulty node breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A node takes the ratio of its own last window at any moment.
    OwnWindow,
    /// A process uses its part of the slack from its start on.
    SlackAtStart,
    /// A node divides the slack by the hosts that it reaches.
    SlackOfReached,
    /// A retry is sent however old its reservation is.
    LateSend,
    /// A retry that another node asked for is not counted.
    FreeGrants,
}

/// A process of a host.
#[derive(Debug)]
struct Node {
    budget: RetryBudget,
    fleet: FleetPart,
    started_at: BootTime,
    /// Which part of a fleet that is cut it belongs to.
    side: usize,
    /// Hosts that it has met.
    met: BTreeSet<usize>,
    is_frozen: bool,
    /// Retries of the old rule.
    own: Vec<BootTime>,
    own_requests: Vec<BootTime>,
    /// Reservations that are not sent so far, with the node that counts them.
    reserved: Vec<(Reservation, usize)>,
}

impl Node {
    fn new(start: Start, now: BootTime) -> Self {
        Self {
            budget: RetryBudget::new(LIMIT),
            fleet: FleetPart::new(start, now),
            started_at: now,
            side: 0,
            met: BTreeSet::new(),
            is_frozen: false,
            own: vec![],
            own_requests: vec![],
            reserved: vec![],
        }
    }
}

/// A fleet under a schedule.
#[derive(Debug)]
struct Schedule {
    rng: SmallRng,
    fault: Fault,
    nodes: Vec<Node>,
    /// Weight of each node among the callers.
    weights: Vec<f64>,
    requests_per_s: f64,
    /// Retries wanted for each request.
    wanted: f64,
    /// Whether nothing is sent now.
    is_held_up: bool,
    arrivals: Arrivals,
    now: BootTime,
}

impl Schedule {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = rng.random_range(1..9);
        let now = Duration::from_secs(100);
        Self {
            fault,
            nodes: (0..nodes).map(|_| Node::new(Start::Fleet, now)).collect(),
            weights: vec![1.0; nodes],
            requests_per_s: rng.random_range(2.0..80.0),
            wanted: 0.2,
            is_held_up: false,
            arrivals: Arrivals::default(),
            now,
            rng,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.learn();
            if self.rng.random_bool(0.02) {
                self.disturb();
            }
            self.serve();
            self.send();
        }
    }

    /// Nodes observe each other, with a delay after a start.
    fn learn(&mut self) {
        let now = self.now;
        let known = |it: &Node| now.saturating_sub(it.started_at) >= GOSSIP;
        for index in 0..self.nodes.len() {
            let side = self.nodes[index].side;
            let is_reached =
                |it: &usize| *it == index || self.nodes[*it].side == side && known(&self.nodes[*it]);
            let reached: BTreeSet<_> = (0..self.nodes.len()).filter(is_reached).collect();
            let others = reached.iter().filter(|it| **it != index);
            let told = others.map(|it| self.nodes[*it].fleet.observed()).collect();
            let node = &mut self.nodes[index];
            node.met.extend(&reached);
            node.met.extend(SEEDS);
            let observation = Observation {
                reachable: reached.len(),
                known: node.met.len(),
                told,
                older: 0,
            };
            node.fleet.observe(&observation, now);
        }
    }

    fn disturb(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..10) {
            // Callers move.
            0..=2 => {
                for weight in &mut self.weights {
                    *weight = [0.0, 0.1, 1.0, 5.0][self.rng.random_range(0..4)];
                }
                self.weights[index] = 10.0;
            }
            3 => self.wanted = [0.0, 0.2, 1.0, 3.0, 20.0][self.rng.random_range(0..5)],
            4 => self.requests_per_s = [0.5, 5.0, 40.0, 150.0][self.rng.random_range(0..4)],
            // Processes are killed, and others start. The processes of a part that was cut off can't know the rest if
            // all of them have just started.
            5 if self.nodes.iter().all(|it| it.side == self.nodes[0].side) => {
                let all = self.rng.random_bool(0.5);
                let killed = if all {
                    0..self.nodes.len()
                } else {
                    index..index + 1
                };
                for index in killed {
                    let side = self.nodes[index].side;
                    self.nodes[index] = Node::new(Start::Process, self.now);
                    self.nodes[index].side = side;
                }
            }
            6 if self.nodes.len() < 12 => {
                self.nodes.push(Node::new(Start::Process, self.now));
                self.weights.push(5.0);
            }
            7 => self.is_held_up = !self.is_held_up,
            // Nodes are cut off, and the cuts end.
            8 if self.rng.random_bool(0.5) => self.nodes.iter_mut().for_each(|it| it.side = 0),
            8 => self.nodes[index].side = 1,
            9 => self.nodes[index].is_frozen = !self.nodes[index].is_frozen,
            _ => {}
        }
    }

    fn serve(&mut self) {
        let total: f64 = self.weights.iter().sum();
        for index in 0..self.nodes.len() {
            let requests = self.requests_per_s * STEP.as_secs_f64() * self.weights[index] / total.max(1e-9);
            let requests = requests.floor() + f64::from(self.rng.random_bool(requests.fract()));
            if self.nodes[index].is_frozen {
                continue;
            }
            for _ in 0..requests as usize {
                self.nodes[index].budget.record_request(self.now, self.now);
                self.nodes[index].own_requests.push(self.now);
                self.arrivals.requests.push(self.now);
            }
            let wanted = requests * self.wanted;
            let wanted = wanted.floor() + f64::from(self.rng.random_bool(wanted.fract()));
            for _ in 0..(wanted as usize).min(MAX_WANTED) {
                self.reserve(index);
            }
        }
    }

    /// Reserves a retry at the node itself, or at another one.
    fn reserve(&mut self, index: usize) {
        if let Some(reservation) = self.try_reserve(index, RetryReason::Failure) {
            self.nodes[index].reserved.push((reservation, index));
            return;
        }
        let other = self.rng.random_range(0..self.nodes.len());
        if other == index || self.nodes[other].side != self.nodes[index].side || self.nodes[other].is_frozen {
            return;
        }
        if self.fault == Fault::FreeGrants || self.try_reserve(other, RetryReason::Peer).is_some() {
            let granted = Reservation::granted(self.now);
            self.nodes[index].reserved.push((granted, other));
        }
    }

    fn try_reserve(&mut self, index: usize, reason: RetryReason) -> Option<Reservation> {
        let (now, fault) = (self.now, self.fault);
        let side = self.nodes[index].side;
        let reached = self.nodes.iter().filter(|it| it.side == side).count();
        let hosts = self.nodes.len();
        let node = &mut self.nodes[index];
        let slack = match fault {
            Fault::SlackAtStart => 1.0 / hosts as f64,
            Fault::SlackOfReached => 1.0 / reached as f64,
            _ => node.fleet.part(WINDOW, now),
        };
        if fault == Fault::OwnWindow {
            let recent = |it: &&BootTime| now.saturating_sub(**it) <= WINDOW;
            let requests = node.own_requests.iter().filter(recent).count() as f64;
            let spent = node.own.iter().filter(recent).count() as f64;
            return (spent + 1.0 <= LIMIT.ratio * requests + LIMIT.slack * slack).then(|| {
                node.own.push(now);
                Reservation::granted(now)
            });
        }
        let part = Part { slack, ratio: 1.0 };
        node.budget.try_reserve(reason, part, now).ok()
    }

    /// Sends retries that were reserved, later or never.
    fn send(&mut self) {
        let (now, fault) = (self.now, self.fault);
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_frozen || self.is_held_up {
                continue;
            }
            for (reservation, owner) in std::mem::take(&mut self.nodes[index].reserved) {
                let is_valid = reservation.is_valid(now) || fault == Fault::LateSend;
                let is_own = owner == index && fault != Fault::OwnWindow;
                match self.rng.random_range(0..10) {
                    0..=5 if is_valid => {
                        let transit = TRANSIT.mul_f64(self.rng.random());
                        self.arrivals.retries.push(now + transit);
                        if is_own && fault != Fault::LateSend {
                            self.nodes[index].budget.record_sent(&reservation, now);
                        }
                    }
                    6 if is_own => self.nodes[index].budget.release(&reservation),
                    // Never sent, and never returned.
                    7 => {}
                    _ if is_valid => self.nodes[index].reserved.push((reservation, owner)),
                    _ if is_own => self.nodes[index].budget.release(&reservation),
                    _ => {}
                }
            }
        }
    }
}

/// What the schedule with a seed violates.
fn violation(seed: u64, fault: Fault) -> Option<String> {
    let mut schedule = Schedule::new(seed, fault);
    schedule.run(Duration::from_secs(45));
    let result = schedule.arrivals.check();
    result.err().map(|it| format!("seed {seed}: {it}"))
}

#[test]
fn sum_over_nodes_stays_within_the_limit() {
    let violations: Vec<_> = (0..SCHEDULES)
        .filter_map(|it| violation(it, Fault::None))
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a check that finds nothing.
macro_rules! faults {
    ($($name:ident: $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!((0..SCHEDULES).any(|it| violation(it, $fault).is_some()));
            }
        )*
    };
}

faults! {
    own_window_is_found: Fault::OwnWindow;
    slack_at_start_is_found: Fault::SlackAtStart;
    slack_of_reached_hosts_is_found: Fault::SlackOfReached;
    late_sending_is_found: Fault::LateSend;
    grants_that_are_not_counted_are_found: Fault::FreeGrants;
}

/// Guards against BUDGET on talisay-turnwood: each node took the ratio of its own last window, and callers that
/// moved from one node to another had justified the retries of both.
#[test]
fn callers_that_move_justify_retries_once() {
    let part = Part {
        slack: 0.5,
        ratio: 1.0,
    };
    let mut arrivals = Arrivals::default();
    let mut nodes = vec![RetryBudget::new(LIMIT); 2];
    for (node, first) in [(0, 100.0), (1, 110.0)] {
        for index in 0..500 {
            let at = Duration::from_secs_f64(first + f64::from(index) * 0.01);
            nodes[node].record_request(at, at);
            arrivals.requests.push(at);
        }
        let at = Duration::from_secs_f64(first + 9.9);
        while nodes[node].try_reserve(RetryReason::Failure, part, at).is_ok() {
            arrivals.retries.push(at);
        }
    }
    assert_eq!(arrivals.check(), Ok(()));
}
