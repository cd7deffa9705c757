//! Routers of a node: the policy and the baselines.

use std::time::Duration;

use model::object::service::Repeat;
use model::{Upstream, hash};
use policy::affinity;
use policy::limit::Load;
use policy::pool::{Action, Attempt, AttemptKind, Host, HostState, Outcome, Pool, Request, Settings, Ticket};
use policy::subsetting::DomainMember;
use rand::Rng;
use rand::rngs::SmallRng;

use super::engine::BLOCK_TOKENS;
use super::scenario::Scenario;
use super::traffic::{Arrival, organisation};

/// Failure domains of nodes and engines.
pub const DOMAINS: usize = 3;

/// How a node chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The policy crate.
    Policy,
    /// Each engine in turn, without admission.
    RoundRobin,
    /// Least loaded by the last report, without admission.
    LeastReported,
    /// Any engine, without admission.
    Random,
    /// Engine by the hash of the session, without admission.
    SessionHash,
    /// The less loaded of two random engines by report and own sends, without admission.
    BetterOfTwo,
}

impl Strategy {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least loaded by report",
            Self::Random => "random",
            Self::SessionHash => "session hash",
            Self::BetterOfTwo => "better of two",
        }
    }
}

/// A node.
#[derive(Debug)]
pub struct Node {
    strategy: Strategy,
    pool: Pool,
    names: Vec<Upstream>,
    reported: Vec<f64>,
    own: Vec<f64>,
    own_at_report: Vec<f64>,
    turn: usize,
}

/// Name of an engine.
pub fn engine_name(idx: usize) -> Upstream {
    format!("e{idx}").into()
}

/// Name of a failure domain.
pub fn domain(idx: usize) -> model::Domain {
    format!("d{}", idx % DOMAINS).into()
}

/// Hosts of the model, all live.
pub fn hosts(engines: usize) -> Vec<Host> {
    let host = |idx| Host {
        name: engine_name(idx),
        domain: domain(idx),
        state: HostState::Live,
    };
    (0..engines).map(host).collect()
}

/// Nodes of the model.
pub fn places(nodes: usize) -> Vec<DomainMember> {
    let place = |idx| DomainMember {
        name: format!("n{idx}").into(),
        domain: domain(idx),
    };
    (0..nodes).map(place).collect()
}

impl Node {
    /// A node that knows all engines.
    pub fn new(idx: usize, scenario: &Scenario, rng: &mut SmallRng) -> Self {
        let engines = scenario.engines;
        let places = places(scenario.nodes);
        let settings = Settings {
            initial_concurrency: scenario.concurrency,
            block_tokens: BLOCK_TOKENS,
            ..Settings::default()
        };
        let pool = Pool::new(settings, places[idx].clone());
        pool.update_hosts(&hosts(engines), &places, Duration::ZERO, rng);
        Self {
            strategy: scenario.strategy,
            pool,
            names: (0..engines).map(engine_name).collect(),
            reported: vec![0.0; engines],
            own: vec![0.0; engines],
            own_at_report: vec![0.0; engines],
            turn: idx,
        }
    }

    /// The policy's state.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Takes a request.
    pub fn submit(&mut self, ticket: Ticket, it: &Arrival, now: Duration, rng: &mut SmallRng) -> Vec<Action> {
        if self.strategy == Strategy::Policy {
            return self.pool.submit(request(ticket, it, now), now, rng);
        }
        let chosen = self.choose(it, rng);
        self.own[chosen] += 1.0;
        vec![Action::Send {
            attempt: Attempt { ticket, number: 0 },
            upstream: self.names[chosen].clone(),
            kind: AttemptKind::First,
        }]
    }

    /// Takes the first token of an attempt.
    pub fn started(&mut self, attempt: Attempt, now: Duration, rng: &mut SmallRng) -> Vec<Action> {
        match self.strategy {
            Strategy::Policy => self.pool.attempt_started(attempt, now, rng),
            _ => Vec::new(),
        }
    }

    /// Takes the end of an attempt.
    pub fn ended(
        &mut self,
        attempt: Attempt,
        engine: usize,
        outcome: Outcome,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Vec<Action> {
        if self.strategy == Strategy::Policy {
            return self.pool.attempt_ended(attempt, outcome, now, rng);
        }
        self.own[engine] -= 1.0;
        match outcome {
            Outcome::Done(_) => vec![Action::Finish { attempt }],
            _ => vec![Action::Refuse {
                ticket: attempt.ticket,
                refusal: model::Refusal::unknown(model::refusal::Reason::UpstreamFailed),
            }],
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, rng: &mut SmallRng) -> Vec<Action> {
        match self.strategy {
            Strategy::Policy => self.pool.tick(now, rng),
            _ => Vec::new(),
        }
    }

    /// Takes a load report.
    pub fn report(
        &mut self,
        engine: usize,
        load: Load,
        age: Duration,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Vec<Action> {
        self.reported[engine] = f64::from(load.running + load.waiting);
        self.own_at_report[engine] = self.own[engine];
        match self.strategy {
            Strategy::Policy => self.pool.report_load(&self.names[engine], load, age, now, rng),
            _ => Vec::new(),
        }
    }

    /// Takes cache events.
    pub fn cache_events(&mut self, engine: usize, events: &[affinity::Event]) {
        if self.strategy == Strategy::Policy {
            self.pool.apply_cache_events(&self.names[engine], events);
        }
    }

    fn choose(&mut self, it: &Arrival, rng: &mut SmallRng) -> usize {
        let engines = self.names.len();
        let mut any = || rng.random_range(0..engines);
        match self.strategy {
            Strategy::Policy | Strategy::Random => any(),
            Strategy::RoundRobin => {
                self.turn += 1;
                self.turn % engines
            }
            Strategy::LeastReported => (0..engines)
                .min_by(|a, b| self.reported[*a].total_cmp(&self.reported[*b]))
                .unwrap_or(0),
            Strategy::SessionHash => hash::stable(&it.session.to_le_bytes()) as usize % engines,
            Strategy::BetterOfTwo => {
                let (a, b) = (any(), any());
                let load = |it: usize| self.reported[it] + self.own[it] - self.own_at_report[it];
                if load(b) < load(a) { b } else { a }
            }
        }
    }
}

fn request(ticket: Ticket, it: &Arrival, now: Duration) -> Request {
    Request {
        ticket,
        organisation: organisation(it.organisation),
        weight: 1,
        class: it.class,
        deadline: now + it.within,
        repeat: Repeat::Idempotent,
        prompt: it.prompt,
        output: it.expected,
        blocks: it.blocks.clone(),
        session: (!it.blocks.is_empty()).then_some(it.session),
    }
}
