//! Virtual-time simulation of one release.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use forward::release::{Arm, Exposure, ReleaseStatus, Stage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::baseline::{Baseline, Rule};
use super::node::Node;
use super::traffic::{Quality, Request, Response, Service, Sessions, exponential};

pub(super) const DURATION: Duration = Duration::from_secs(15);
pub(super) const SESSION_TIMEOUT: Duration = Duration::from_secs(5);
pub(super) const NODES: usize = 8;

/// Time before the order, in which nodes learn the usual times.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time after the deadline in which requests to a bad version still count.
const AFTERMATH: Duration = Duration::from_secs(10);

const ROUND: Duration = Duration::from_millis(500);
const LOST_NOTICES: f64 = 0.1;
/// Fraction of the duration after which a version is reverted if nothing is known about it.
const UNDECIDED: f64 = 0.9;

const EVALUATORS: usize = 3;
const TAKE_OVER_ROUNDS: usize = 2;

/// Time of an append to the store.
const STORE_TIME: Duration = Duration::from_millis(50);

/// Time until a node reads the order.
const ORDER_READ: Duration = Duration::from_millis(600);

/// Bad responses after which the bound begins.
const BOUND_RESPONSES: usize = 50;
const BOUND: Duration = Duration::from_secs(5);
pub(super) const EXPOSURE: Exposure = Exposure {
    share: 0.15,
    slack: 30.0,
};

/// Time at which half of the nodes read the order in [`Trouble::HalfBlind`].
const BLIND_TIME: Duration = Duration::from_secs(8);

/// Time between two restarts in [`Trouble::Restarts`].
const RESTART_INTERVAL: Duration = Duration::from_millis(1200);
const DOWN_TIME: Duration = Duration::from_millis(800);

/// What happens to the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    None,
    /// Half of the nodes cannot read the order at first.
    HalfBlind,
    /// Nodes restart in turn.
    Restarts,
}

impl Trouble {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::None => "calm",
            Self::HalfBlind => "half blind",
            Self::Restarts => "restarts",
        }
    }
}

/// A release to simulate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub service: Service,
    pub quality: Quality,
    /// Requests per second.
    pub rate: f64,
    pub trouble: Trouble,
    /// Rule that takes the place of the nodes' own, for comparison.
    pub baseline: Option<Rule>,
}

/// What happened in one release; times are since the order.
#[derive(Debug, Clone)]
pub(super) struct Outcome {
    /// Requests assigned to the new version after the bound.
    pub past_bound: u64,
    /// Requests assigned to the new version until the deadline.
    pub exposed: u64,
    /// Requests until the deadline.
    pub requests: u64,
    /// Time of the 50th bad response.
    pub bound_from: Option<Duration>,
    pub halted_at: Option<Duration>,
    pub completed_at: Option<Duration>,
    pub reverted_at: Option<Duration>,
}

impl Outcome {
    pub(super) fn is_over_exposed(&self) -> bool {
        self.exposed as f64 > EXPOSURE.share * self.requests as f64 + EXPOSURE.slack
    }

    pub(super) fn is_reverted_in_time(&self) -> bool {
        self.reverted_at.is_some_and(|it| it <= DURATION)
    }

    /// Whether the version was halted or reverted at any time.
    pub(super) fn is_halted(&self) -> bool {
        self.halted_at.is_some() || self.reverted_at.is_some()
    }

    pub(super) fn is_late(&self) -> bool {
        self.completed_at.is_none_or(|it| it > DURATION)
    }
}

#[derive(Debug)]
enum Step {
    Arrival,
    Response(usize, u64, Box<(Request, Arm, Response)>),
    Round(usize),
    Recorded(usize, Stage),
    Open(usize),
    Stop(usize),
    Start(usize),
}

/// Step with its time and a number that keeps the order of steps at the same time.
struct Timed(Duration, u64, Step);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Simulation {
    trial: Trial,
    seed: u64,
    rng: SmallRng,
    steps: BinaryHeap<Reverse<Timed>>,
    step_count: u64,
    nodes: Vec<Node>,
    is_up: Vec<bool>,
    /// Number of starts of each node.
    starts: Vec<u64>,
    due_rounds: Vec<usize>,
    is_recording: Vec<bool>,
    /// Newest status in the store.
    recorded: Option<ReleaseStatus>,
    baseline: Option<Baseline>,
    sessions: Sessions,
    request_count: u64,
    bad: usize,
    outcome: Outcome,
}

impl Trial {
    /// Whether the plot shows it.
    pub(super) fn is_plotted(self) -> bool {
        self.service == Service::Plain && self.rate == 30.0 && self.trouble == Trouble::None
    }

    pub(super) fn run(self, seed: u64) -> Outcome {
        Simulation::new(self, seed).run()
    }
}

impl Simulation {
    fn new(trial: Trial, seed: u64) -> Self {
        let node = |it| Node::new(it as u128 + 1, trial.service.routes());
        Self {
            trial,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            step_count: 0,
            nodes: (0..NODES).map(node).collect(),
            is_up: vec![true; NODES],
            starts: vec![0; NODES],
            due_rounds: vec![0; NODES],
            is_recording: vec![false; NODES],
            recorded: None,
            baseline: trial
                .baseline
                .map(|it| Baseline::new(it, trial.service.routes().len(), DURATION, seed)),
            sessions: Sessions::new(trial.rate),
            request_count: 0,
            bad: 0,
            outcome: Outcome {
                past_bound: 0,
                exposed: 0,
                requests: 0,
                bound_from: None,
                halted_at: None,
                completed_at: None,
                reverted_at: None,
            },
        }
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.step_count += 1;
        self.steps.push(Reverse(Timed(at, self.step_count, step)));
    }

    fn run(mut self) -> Outcome {
        self.push(Duration::ZERO, Step::Arrival);
        for node in 0..NODES {
            let phase = ROUND.mul_f64(self.rng.random());
            self.push(WARM_UP + phase, Step::Round(node));
            let is_blind = self.trial.trouble == Trouble::HalfBlind && node % 2 == 0;
            let read = ORDER_READ.mul_f64(self.rng.random());
            let read = if is_blind { BLIND_TIME + read } else { read };
            self.push(WARM_UP + read, Step::Open(node));
            if self.trial.trouble == Trouble::Restarts {
                let stop = WARM_UP + RESTART_INTERVAL * (node as u32 + 1);
                self.push(stop, Step::Stop(node));
                self.push(stop + DOWN_TIME, Step::Start(node));
            }
        }
        let end = WARM_UP + DURATION + AFTERMATH;
        while let Some(Reverse(Timed(now, _, step))) = self.steps.pop() {
            if now > end {
                break;
            }
            self.handle(step, now);
        }
        self.outcome
    }

    fn handle(&mut self, step: Step, now: Duration) {
        match step {
            Step::Arrival => self.arrive(now),
            Step::Response(node, start, exchange) => self.record(node, start, *exchange, now),
            Step::Round(node) => self.round(node, now),
            Step::Recorded(node, stage) => self.append(node, stage, now),
            Step::Open(node) => {
                let offset = self.seed;
                self.nodes[node].open(offset, DURATION, now);
                // A node reads the recorded status along with the order.
                if let Some(status) = self.recorded.clone() {
                    self.nodes[node].apply_status(&status, now);
                }
            }
            Step::Stop(node) => self.is_up[node] = false,
            Step::Start(node) => {
                self.starts[node] += 1;
                let incarnation = (u128::from(self.starts[node]) << 32) + node as u128 + 1;
                self.nodes[node] = Node::new(incarnation, self.trial.service.routes());
                self.is_up[node] = true;
                self.due_rounds[node] = 0;
                let read = ORDER_READ.mul_f64(self.rng.random());
                self.push(now + read, Step::Open(node));
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        let gap = exponential(1.0 / self.trial.rate, &mut self.rng);
        self.push(now + Duration::from_secs_f64(gap), Step::Arrival);
        let up: Vec<_> = (0..NODES).filter(|it| self.is_up[*it]).collect();
        let node = up[self.rng.random_range(0..up.len())];
        self.request_count += 1;
        let request = self
            .trial
            .service
            .request(self.request_count, &mut self.sessions, &mut self.rng);
        let is_ordered = now >= WARM_UP;
        let arm = match &self.baseline {
            _ if !is_ordered => Arm::Old,
            Some(baseline) => baseline.assign(&request),
            None => self.nodes[node].assign(&request, now),
        };
        let since_order = now.saturating_sub(WARM_UP);
        if is_ordered {
            let is_new = u64::from(arm == Arm::New);
            if since_order <= DURATION {
                self.outcome.requests += 1;
                self.outcome.exposed += is_new;
            }
            if self.outcome.bound_from.is_some_and(|it| since_order > it + BOUND) {
                self.outcome.past_bound += is_new;
            }
        }
        self.nodes[node].record_sent(&request, arm, now);
        let quality = self.trial.quality;
        let response = self
            .trial
            .service
            .respond(&request, arm, quality, since_order, &mut self.rng);
        let exchange = Box::new((request, arm, response));
        self.push(
            now + response.time,
            Step::Response(node, self.starts[node], exchange),
        );
    }

    fn record(&mut self, node: usize, start: u64, exchange: (Request, Arm, Response), now: Duration) {
        let (request, arm, response) = exchange;
        let since_order = now.saturating_sub(WARM_UP);
        if arm == Arm::New && (response.failed || response.slowed) {
            self.bad += 1;
            if self.bad == BOUND_RESPONSES {
                self.outcome.bound_from = Some(since_order);
            }
        }
        if self.starts[node] != start || !self.is_up[node] {
            return;
        }
        let grade = self.nodes[node].record_response(&request, arm, response, now);
        match &mut self.baseline {
            Some(baseline) => baseline.record(request.route, arm, grade),
            None => self.note_halt(node, since_order),
        }
    }

    fn note_halt(&mut self, node: usize, since_order: Duration) {
        if self.outcome.halted_at.is_none() && self.nodes[node].is_halted() {
            self.outcome.halted_at = Some(since_order);
        }
    }

    /// Sends a node's notice, and decides if the node is an evaluator.
    fn round(&mut self, node: usize, now: Duration) {
        self.push(now + ROUND, Step::Round(node));
        if let Some(baseline) = &mut self.baseline {
            let since_order = now.saturating_sub(WARM_UP);
            if let Some(stage) = baseline.decide(since_order) {
                self.end(stage, since_order);
            }
            return;
        }
        if !self.is_up[node] {
            return;
        }
        self.nodes[node].tick(now);
        let up: Vec<_> = (0..NODES).filter(|it| self.is_up[*it]).collect();
        let evaluators = &up[..EVALUATORS.min(up.len())];
        let rank = up.iter().position(|it| *it == node);
        if let Some(notice) = self.nodes[node].notice(now) {
            for to in 0..NODES {
                let is_receiver =
                    to != node && self.is_up[to] && (evaluators.contains(&node) || evaluators.contains(&to));
                if is_receiver && self.rng.random::<f64>() >= LOST_NOTICES {
                    self.nodes[to].apply(&notice, now);
                    self.note_halt(to, now.saturating_sub(WARM_UP));
                }
            }
        }
        let due = self.nodes[node].due(now);
        self.due_rounds[node] = due.map_or(0, |_| self.due_rounds[node] + 1);
        if let (Some(stage), Some(rank)) = (due, rank)
            && self.due_rounds[node] > rank * TAKE_OVER_ROUNDS
            && !self.is_recording[node]
        {
            self.is_recording[node] = true;
            self.push(now + STORE_TIME, Step::Recorded(node, stage));
        }
    }

    /// Appends a status to the store, if it is newer than what the store has.
    fn append(&mut self, node: usize, stage: Stage, now: Duration) {
        self.is_recording[node] = false;
        if let Some(status) = self.recorded.clone() {
            self.nodes[node].apply_status(&status, now);
        }
        // The status just read may have ended the release or be a later stage.
        if self.nodes[node].due(now) != Some(stage) {
            return;
        }
        let Some(status) = self.nodes[node].status_for(stage, now) else {
            return;
        };
        self.nodes[node].apply_status(&status, now);
        self.recorded = Some(status);
        self.end(stage, now.saturating_sub(WARM_UP));
    }

    /// Notes a recorded end.
    fn end(&mut self, stage: Stage, since_order: Duration) {
        let end = match stage {
            Stage::Complete => &mut self.outcome.completed_at,
            Stage::Reverted => {
                // Near the end, a version is reverted because nothing is known.
                if since_order < DURATION.mul_f64(UNDECIDED) {
                    self.outcome.halted_at.get_or_insert(since_order);
                }
                &mut self.outcome.reverted_at
            }
            Stage::Trial(_) => return,
        };
        end.get_or_insert(since_order);
    }
}
