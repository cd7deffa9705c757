//! Virtual-time simulation of one roll-out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use model::object::rollout::State;
use model::object::{Rollout, version};
use model::{Host, Incarnation};
use policy::rollout::{Admission, Arm, Controller, Decision, Event, Next, Node, evaluators, observers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);
const CONFIG_DELAY: Duration = Duration::from_secs(1);
const DETECTION_DELAY: Duration = Duration::from_secs(3);
const LATENCY: Duration = Duration::from_secs(1);
const SLOW_LATENCY: Duration = Duration::from_secs(3);
const FAILURE_DELAY: Duration = Duration::from_millis(50);
const RATING_LAG_MIN: Duration = Duration::from_secs(4);
const RATING_LAG_SPREAD: f64 = 2.0;
const RATING_TIMEOUT: Duration = Duration::from_secs(10);
/// A run that has not ended by then counts as neither halted nor finished.
const END: Duration = Duration::from_secs(1200);
/// Requests on the new version after which the driver dies in that scenario.
const DRIVER_DIES_AFTER: u64 = 15;
const EXPOSURE_BUDGET: u32 = 1000;

/// Size and traffic.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub nodes: usize,
    /// Requests per second of the model over all nodes.
    pub rate: f64,
}

impl Fleet {
    pub const SMALL: Self = Self { nodes: 8, rate: 28.5 };
    pub const LARGE: Self = Self {
        nodes: 340,
        rate: 9700.0,
    };
}

/// Probabilities of the old and the new version.
#[derive(Debug, Clone, Copy)]
pub struct Quality {
    pub adequate: (f64, f64),
    pub failed: (f64, f64),
    pub slow: (f64, f64),
}

impl Quality {
    pub const EQUAL: Self = Self {
        adequate: (0.9, 0.9),
        failed: (0.01, 0.01),
        slow: (0.05, 0.05),
    };
    pub const WORSE: Self = Self {
        adequate: (0.9, 0.7),
        ..Self::EQUAL
    };
    pub const FAILING: Self = Self {
        failed: (0.01, 1.0),
        ..Self::EQUAL
    };
    pub const INADEQUATE: Self = Self {
        adequate: (0.9, 0.0),
        ..Self::EQUAL
    };
    pub const SLOW: Self = Self {
        slow: (0.05, 0.6),
        ..Self::EQUAL
    };
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Halted,
    Finished,
    Undecided,
}

#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub end: End,
    /// Requests started on the new version.
    pub exposure: u64,
    pub time: Duration,
}

/// One scenario.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    pub fleet: Fleet,
    pub quality: Quality,
    pub missing: f64,
    pub driver_dies: bool,
    pub stages: &'static [u16],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival(usize),
    Outcome(usize, Record),
    Exchange,
    Configure,
    Removal(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Record {
    revision: u64,
    new: bool,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Failed,
    Answered { slow: bool },
    Rated { adequate: bool },
    Lost,
}

struct Simulation {
    trial: Trial,
    rng: SmallRng,
    hosts: Vec<Host>,
    dead: Vec<usize>,
    rollout: Rollout,
    revision: u64,
    proposal: Option<Rollout>,
    /// Index of the host and its controller; hosts that record nothing are left out.
    nodes: Vec<(usize, Controller)>,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    exposure: u64,
}

impl Trial {
    /// A roll-out of one stage of 5%.
    pub fn new(fleet: Fleet, quality: Quality) -> Self {
        Self {
            fleet,
            quality,
            missing: 0.0,
            driver_dies: false,
            stages: &[50],
        }
    }

    pub fn run(self, seed: u64) -> Outcome {
        Simulation::new(self, seed).run()
    }
}

impl Simulation {
    fn new(trial: Trial, seed: u64) -> Self {
        let rollout = Rollout {
            name: format!("rollout-{seed}").into(),
            model: "model".into(),
            from: "old".into(),
            to: "new".into(),
            stages: trial.stages.to_vec(),
            stage: 0,
            state: State::Running,
            exposure_budget: EXPOSURE_BUDGET,
        };
        Self {
            trial,
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..trial.fleet.nodes)
                .map(|it| format!("host-{it}").into())
                .collect(),
            dead: vec![],
            rollout,
            revision: 1,
            proposal: None,
            nodes: vec![],
            steps: BinaryHeap::new(),
            exposure: 0,
        }
    }

    fn run(mut self) -> Outcome {
        self.join(Duration::ZERO);
        self.steps.push(Reverse((EXCHANGE_PERIOD, Step::Exchange)));
        let mut end = End::Undecided;
        let mut time = END;
        while let Some(Reverse((now, step))) = self.steps.pop() {
            if now > END {
                break;
            }
            self.handle(step, now);
            end = match self.rollout.state {
                State::Running => continue,
                State::Halted => End::Halted,
                State::Finished => End::Finished,
            };
            time = now;
            break;
        }
        Outcome {
            end,
            exposure: self.exposure,
            time,
        }
    }

    /// Starts traffic on hosts that have become observers.
    fn join(&mut self, now: Duration) {
        let observers = observers(&self.rollout, self.hosts.iter().map(|it| &**it));
        let joining: Vec<_> = observers
            .iter()
            .filter_map(|it| it.strip_prefix("host-")?.parse().ok())
            .collect();
        for host in joining {
            if self.nodes.iter().any(|it| it.0 == host) {
                continue;
            }
            let node = Node {
                host: format!("host-{host}").into(),
                incarnation: Incarnation::from_bits(host as u128 + 1),
            };
            let live = version::State::Live;
            let mut controller = Controller::new(node, self.rollout.clone(), self.revision, live);
            controller.set_live_hosts(&self.hosts);
            self.nodes.push((host, controller));
            self.next_arrival(self.nodes.len() - 1, now);
        }
    }

    fn next_arrival(&mut self, node: usize, now: Duration) {
        let rate = self.trial.fleet.rate / self.trial.fleet.nodes as f64;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let at = now + Duration::from_secs_f64(gap);
        self.steps.push(Reverse((at, Step::Arrival(node))));
    }

    fn handle(&mut self, step: Step, now: Duration) {
        match step {
            Step::Arrival(node) => self.arrive(node, now),
            Step::Outcome(node, record) => self.record(node, record, now),
            Step::Exchange => self.exchange(now),
            Step::Configure => self.configure(now),
            Step::Removal(host) => {
                let name = format!("host-{host}");
                self.hosts.retain(|it| **it != *name);
                for (_, controller) in &mut self.nodes {
                    controller.set_live_hosts(&self.hosts);
                }
                self.join(now);
            }
        }
    }

    fn arrive(&mut self, node: usize, now: Duration) {
        if self.dead.contains(&node) {
            return;
        }
        self.next_arrival(node, now);
        let controller = &mut self.nodes[node].1;
        let new = controller.admit(now, &mut self.rng) == Admission::New;
        if !new {
            controller.record(Arm::Old, Event::Started);
        }
        self.exposure += u64::from(new);
        if self.trial.driver_dies && self.dead.is_empty() && self.exposure == DRIVER_DIES_AFTER {
            let driver = evaluators(&self.rollout, self.hosts.iter().map(|it| &**it))[0].to_owned();
            let idx = self
                .nodes
                .iter()
                .position(|it| format!("host-{}", it.0) == driver);
            let idx = idx.expect("the driver is a trial node");
            self.dead.push(idx);
            let removal = Step::Removal(self.nodes[idx].0);
            self.steps.push(Reverse((now + DETECTION_DELAY, removal)));
        }
        self.serve(node, new, now);
    }

    /// Schedules everything that will be known about a request.
    fn serve(&mut self, node: usize, new: bool, now: Duration) {
        let pick = |pair: (f64, f64)| if new { pair.1 } else { pair.0 };
        let quality = self.trial.quality;
        let [fails, slow, adequate, missing, lag]: [f64; 5] = std::array::from_fn(|_| self.rng.random());
        let revision = self.revision;
        let mut push = |at, kind| {
            let record = Record { revision, new, kind };
            self.steps.push(Reverse((at, Step::Outcome(node, record))));
        };
        if fails < pick(quality.failed) {
            push(now + FAILURE_DELAY, Kind::Failed);
            return;
        }
        let slow = slow < pick(quality.slow);
        let answered = now + if slow { SLOW_LATENCY } else { LATENCY };
        push(answered, Kind::Answered { slow });
        if missing < self.trial.missing {
            push(answered + RATING_TIMEOUT, Kind::Lost);
            return;
        }
        let adequate = adequate < pick(quality.adequate);
        let lag = RATING_LAG_MIN + Duration::from_secs_f64(lag * RATING_LAG_SPREAD);
        push(answered + lag, Kind::Rated { adequate });
    }

    fn record(&mut self, node: usize, record: Record, now: Duration) {
        // Outcomes of requests of an earlier stage do not count for the current one.
        if self.dead.contains(&node) || record.revision != self.revision {
            return;
        }
        let event = match record.kind {
            Kind::Failed => Event::Failed,
            Kind::Answered { slow } => Event::Answered {
                latency: LATENCY,
                slow,
            },
            Kind::Rated { adequate: true } => Event::Adequate,
            Kind::Rated { adequate: false } => Event::Inadequate,
            Kind::Lost => Event::Lost,
        };
        let arm = if record.new { Arm::New } else { Arm::Old };
        self.nodes[node].1.record(arm, event);
        self.decide(node, now);
    }

    fn exchange(&mut self, now: Duration) {
        self.steps.push(Reverse((now + EXCHANGE_PERIOD, Step::Exchange)));
        let exports: Vec<_> = self.nodes.iter().map(|it| it.1.export()).collect();
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|it| !self.dead.contains(it))
            .collect();
        for &to in &live {
            for &from in live.iter().filter(|it| **it != to) {
                self.nodes[to].1.merge(&exports[from]);
                if let Some(cause) = self.nodes[from].1.crossed_bound() {
                    let run = self.nodes[from].1.rollout_revision();
                    self.nodes[to].1.stop_trial(&run, cause);
                }
            }
            self.decide(to, now);
        }
    }

    fn decide(&mut self, node: usize, now: Duration) {
        let decision = self.nodes[node].1.decide(&mut self.rng);
        if self.proposal.is_some() {
            return;
        }
        let mut next = self.rollout.clone();
        match decision {
            Decision::Hold(_) => return,
            Decision::Halt { .. } => next.state = State::Halted,
            Decision::Advance {
                next: Next::Finished, ..
            } => next.state = State::Finished,
            Decision::Advance {
                next: Next::Stage(stage),
                ..
            } => next.stage = stage,
        }
        self.proposal = Some(next);
        self.steps.push(Reverse((now + CONFIG_DELAY, Step::Configure)));
    }

    fn configure(&mut self, now: Duration) {
        let Some(next) = self.proposal.take() else {
            return;
        };
        self.rollout = next;
        self.revision += 1;
        for (_, controller) in &mut self.nodes {
            controller.configure(self.rollout.clone(), self.revision, version::State::Live);
        }
        self.join(now);
    }
}
