//! Simulation in virtual time: nodes with the production holder, table and planner, a log and engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use lease::planner::{self, Reservation, Step};
use lease::{Holder, Intent, Planner, Table, Token, holder};
use model::{Incarnation, Name, Upstream};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

mod checks;
mod engines;
pub mod schedule;

use schedule::{Kind, Schedule};

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(250);

/// Duration of the faults, and of the fault-free period after it in which the state must converge.
const FAULT_PERIOD: Duration = Duration::from_secs(100);
const RECOVERY_PERIOD: Duration = Duration::from_secs(140);

/// Interval between changes of the wanted versions.
const WANTED_CHANGE_INTERVAL: Duration = Duration::from_secs(30);

/// Deliberate defect that one of the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// A node that held a lease once sends orders without checking it, with the newest token in the log.
    NewestToken,
    /// A node reuses a token for up to 20 s instead of checking its lease before each order.
    CachedToken,
    /// The holder does not stop early, and the successor does not wait for the delivery of old orders.
    NoMargins,
    /// The planner assumes that its orders are carried out instead of reading the state back.
    NoReadBack,
    /// Nodes do not request leases.
    NoRequests,
    /// The table treats a log truncated by retention as complete.
    TruncationIgnored,
}

/// Invariant that was violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An engine that checks tokens executed an order of an earlier lease after one of a later lease.
    Fencing,
    /// Two nodes held the lease at the same time.
    Exclusivity,
    /// An order delivered within the delivery timeout arrived while another node held the lease.
    Delivery,
    /// An engine stayed in a wrong state for too long.
    Repair,
    /// No node held the lease at the end.
    Liveness,
}

#[derive(Debug)]
struct Node {
    holder: Holder,
    table: Table,
    planner: Planner,
    running: bool,
    paused_since: Option<Duration>,
    /// Offset and rate of the node's clock.
    clock: (Duration, f64),
    cached: Option<(Token, Duration)>,
    /// Last order sent to each engine.
    ordered: BTreeMap<Upstream, BTreeSet<Name>>,
}

#[derive(Debug)]
struct Engine {
    name: Upstream,
    checks_tokens: bool,
    newest_token: Token,
    versions: BTreeSet<Name>,
    /// Lease of the order that was executed last.
    executed_lease: Token,
    /// Time since which the state is wrong while a node holds the lease and no late order is in flight.
    wrong_since: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Order {
    node: usize,
    engine: usize,
    /// Lease under which the sender acted.
    lease: Token,
    /// Token that the sender sent.
    token: Token,
    versions: BTreeSet<Name>,
    late: bool,
}

#[derive(Debug)]
pub struct World {
    now: Duration,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    log: Vec<(SystemTime, Vec<u8>)>,
    /// Offset of the first retained record.
    first: u64,
    log_clock: Duration,
    orders: BTreeMap<(Duration, u64), Order>,
    appends: BTreeMap<(Duration, u64), Vec<u8>>,
    serial: u64,
    rng: SmallRng,
    schedule: Schedule,
    mutant: Mutant,
}

/// Runs a schedule and returns the first violated invariant.
pub fn run(schedule: Schedule, mutant: Mutant) -> Result<(), Violation> {
    let mut world = World::new(schedule, mutant);
    while world.now < FAULT_PERIOD + RECOVERY_PERIOD {
        world.step()?;
    }
    world.check_converged()
}

impl World {
    fn new(schedule: Schedule, mutant: Mutant) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            engines: Vec::new(),
            log: Vec::new(),
            first: 0,
            log_clock: Duration::from_secs(1_000_000),
            orders: BTreeMap::new(),
            appends: BTreeMap::new(),
            serial: 0,
            rng: SmallRng::seed_from_u64(schedule.seed),
            mutant,
            schedule,
        };
        for _ in 0..world.schedule.nodes {
            let node = world.start();
            world.nodes.push(node);
        }
        world.engines = (0..4).map(engines::engine).collect();
        world
    }

    fn start(&mut self) -> Node {
        let incarnation = Incarnation::from_bits(self.rng.random());
        let mut settings = holder::Settings::default();
        if self.mutant == Mutant::NoMargins {
            settings.safety_margin = Duration::ZERO;
            settings.delivery_timeout = Duration::ZERO;
        }
        let planner = planner::Settings {
            completion_timeout: Duration::from_secs(10),
            reservation_interval: Duration::from_millis(250),
            ..planner::Settings::default()
        };
        let start = Duration::from_millis(self.rng.random_range(0..1_000_000));
        Node {
            holder: Holder::new(settings, "gpu".into(), incarnation, "host".into()),
            table: self.table(),
            planner: Planner::new(planner),
            running: true,
            paused_since: None,
            clock: (start, self.rng.random_range(0.999..1.001)),
            cached: None,
            ordered: BTreeMap::new(),
        }
    }

    /// Creates the table of a node that reads the log from its first retained record on.
    fn table(&self) -> Table {
        if self.mutant != Mutant::TruncationIgnored {
            return Table::new(self.first);
        }
        let mut table = Table::new(0);
        for offset in 0..self.first {
            table.apply(offset, SystemTime::UNIX_EPOCH, b"", Duration::ZERO);
        }
        table
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.now += STEP;
        self.change_processes();
        self.change_log();
        self.complete_appends();
        for index in 0..self.nodes.len() {
            if self.nodes[index].running && self.nodes[index].paused_since.is_none() {
                self.run_node(index);
            }
        }
        self.check_exclusivity()?;
        self.deliver_orders()?;
        self.check_repair()
    }

    fn active(&self, kind: Kind, node: Option<usize>) -> bool {
        let time = self.now.as_millis() as u64;
        self.schedule.faults.iter().any(|it| {
            let matches = it.kind == kind && node.is_none_or(|node| it.node % self.nodes.len() == node);
            matches && (it.start..it.start + it.length).contains(&time)
        })
    }

    fn starts(&self, kind: Kind, node: Option<usize>) -> bool {
        let (time, step) = (self.now.as_millis() as u64, STEP.as_millis() as u64);
        self.schedule.faults.iter().any(|it| {
            let matches = it.kind == kind && node.is_none_or(|node| it.node % self.nodes.len() == node);
            matches && (it.start..it.start + step).contains(&time)
        })
    }

    fn change_processes(&mut self) {
        for index in 0..self.nodes.len() {
            if self.starts(Kind::Replace, Some(index)) {
                self.nodes[index] = self.start();
            }
            let paused = self.active(Kind::Pause, Some(index));
            let node = &mut self.nodes[index];
            node.paused_since = paused.then(|| node.paused_since.unwrap_or(self.now));
        }
    }

    fn change_log(&mut self) {
        self.log_clock += STEP;
        if self.starts(Kind::ClockStep, None) {
            self.log_clock += Duration::from_secs(20);
        }
        if self.starts(Kind::Retention, None) {
            self.first = self.log.len() as u64;
        }
    }

    fn complete_appends(&mut self) {
        let later = self.appends.split_off(&(self.now, u64::MAX));
        let completed = std::mem::replace(&mut self.appends, later);
        let time = SystemTime::UNIX_EPOCH + self.log_clock;
        self.log.extend(completed.into_values().map(|it| (time, it)));
    }

    fn local_time(&self, index: usize) -> Duration {
        let (start, rate) = self.nodes[index].clock;
        start + self.now.mul_f64(rate)
    }

    /// The first node that is not considered dead should hold the lease.
    fn intent(&self, index: usize) -> Intent {
        let dead = |it: &Node| {
            it.paused_since
                .is_some_and(|it| self.now > it + Duration::from_secs(4))
        };
        let chosen = self.nodes.iter().position(|it| it.running && !dead(it));
        if chosen == Some(index) || self.active(Kind::Split, Some(index)) {
            return Intent::Hold;
        }
        Intent::Release
    }

    fn run_node(&mut self, index: usize) {
        let now = self.local_time(index);
        if !self.active(Kind::Outage, None) {
            self.read_log(index, now);
        }
        let intent = self.intent(index);
        let node = &mut self.nodes[index];
        let payload = node.holder.tick(now, intent, &node.table);
        if let Some(payload) = payload.filter(|_| self.mutant != Mutant::NoRequests) {
            self.append(payload);
        }
        let Some(token) = self.token(index) else {
            return;
        };
        self.plan(index, token, now);
    }

    fn read_log(&mut self, index: usize, now: Duration) {
        if self.nodes[index].table.next_offset() < self.first {
            self.nodes[index].table = self.table();
        }
        let node = &mut self.nodes[index];
        let from = node.table.next_offset();
        for (offset, (time, payload)) in (0..).zip(&self.log).skip(from as usize) {
            let outcome = node.table.apply(offset, *time, payload, now);
            node.holder.record_applied(&outcome);
        }
    }

    fn append(&mut self, payload: Vec<u8>) {
        if self.active(Kind::Outage, None) {
            return;
        }
        self.serial += 1;
        let mut at = self.now + STEP;
        if self.active(Kind::LateAppends, None) {
            if self.rng.random_bool(0.3) {
                return;
            }
            at += Duration::from_millis(self.rng.random_range(0..20_000));
        }
        self.appends.insert((at, self.serial), payload);
    }

    /// Token under which the node would send an order now.
    fn token(&mut self, index: usize) -> Option<Token> {
        let now = self.local_time(index);
        let node = &mut self.nodes[index];
        let token = node.holder.token(now);
        if let Some(token) = token {
            node.cached = Some((token, now));
        }
        match self.mutant {
            Mutant::CachedToken => node
                .cached
                .filter(|it| now < it.1 + Duration::from_secs(20))
                .map(|it| it.0),
            Mutant::NewestToken => node.cached.map(|it| it.0),
            _ => token,
        }
    }

    fn plan(&mut self, index: usize, token: Token, now: Duration) {
        let wanted = self.wanted();
        let engines: Vec<_> = self
            .engines
            .iter()
            .map(|it| (it.name.clone(), it.versions.clone()))
            .collect();
        let node = &mut self.nodes[index];
        node.planner
            .set_wanted(engines.iter().map(|it| (it.0.clone(), wanted.clone())).collect());
        for (name, versions) in engines {
            let assumed = node
                .ordered
                .get(&name)
                .filter(|_| self.mutant == Mutant::NoReadBack);
            node.planner
                .observe(&name, assumed.cloned().unwrap_or(versions), now);
        }
        for step in node.planner.steps(now) {
            match step {
                Step::Reserve { engine, version } => {
                    self.nodes[index].planner.reservation_finished(
                        &engine,
                        &version,
                        Reservation::Granted,
                        now,
                    );
                }
                Step::Order { engine, versions } => self.send(index, &engine, token, versions),
            }
        }
    }
}
