//! Requests, nodes and the datagrams between them in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use forward::BootTime;
use forward::directory;
use forward::permit::{Decision, Permits};
use forward::retry::Failure;
use forward::statement::Access;
use forward::warm_up::{Outcomes, Phase, Report};
use model::{Name, hash};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::engine::{Arrival, Engine, FIRST_EVENT, Return, log_normal};
use super::event::Event;
use super::node::{Issued, Node};
use super::outcome::Outcome;

/// When the first engine returns, and the time in which the others do.
const RETURN: Duration = Duration::from_secs(15);
const RETURN_SPREAD: f64 = 0.5;
pub(super) const DURATION: Duration = Duration::from_secs(34);

/// Requests per second at a mean engine.
pub(super) const RATE: f64 = 6.3;

/// Part of the engines that return, about one failure domain.
const RETURNING: f64 = 0.33;

/// Engines among which a request chooses the one with the fewest requests, and the age of the reports of these.
const CHOICES: usize = 3;
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Random engines that are looked at until as many are usable.
const MAX_DRAWS: usize = CHOICES * 8;

/// Spread of the logarithm of the service time.
const SPREAD: f64 = 0.35;

/// Time between two writes of a registry entry, and the longest one until a node reads it.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const MAX_READ_DELAY: f64 = 1.2;

/// Nodes that read the registry and tell the others what is new.
const READERS: usize = 2;

/// Maximum time in seconds that a datagram takes, and the part of them that is lost.
const MAX_DELAY: f64 = 0.006;
const LOSS: f64 = 0.01;

/// As in `entry::selection`, `entry::permit`, `entry::statement` and `entry::warm_up`.
const SHORT_WAIT: Duration = Duration::from_millis(20);
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
const REPEATED_ENGINES: usize = 4;

/// How engines that return are spared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Limit {
    None,
    /// Each node raises its share of requests to the engine evenly.
    Ramp,
    Product,
}

/// A fleet and what happens to it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub nodes: usize,
    pub engines: usize,
    /// Requests as a multiple of the usual ones.
    pub load: f64,
    pub kind: Return,
    pub limit: Limit,
}

struct World {
    trial: Trial,
    rng: SmallRng,
    now: BootTime,
    events: BTreeMap<(BootTime, u64), Event>,
    numbers: u64,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    names: Vec<String>,
    reported: Vec<usize>,
    outcome: Outcome,
}

/// Runs a trial.
pub(super) fn run(trial: Trial, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let returning = (trial.engines as f64 * RETURNING) as usize;
    let engines: Vec<_> = (0..trial.engines)
        .map(|it| {
            let spread = Duration::from_secs_f64(rng.random_range(0.0..RETURN_SPREAD));
            Engine::new(it, trial.kind, (it < returning).then_some(RETURN + spread))
        })
        .collect();
    let mut world = World {
        trial,
        rng,
        now: BootTime::ZERO,
        events: BTreeMap::new(),
        numbers: 0,
        nodes: (0..trial.nodes).map(|_| Node::new(trial.limit)).collect(),
        names: (0..trial.nodes).map(|it| format!("node-{it}")).collect(),
        reported: vec![0; trial.engines],
        outcome: Outcome::new(RATE * trial.load),
        engines,
    };
    world.begin();
    while let Some(((at, _), event)) = world.events.pop_first().filter(|it| it.0.0 < DURATION) {
        world.now = at;
        world.handle(event);
    }
    world.outcome.crashes = world.engines.iter().map(|it| it.crashes).sum();
    world.outcome
}

impl World {
    fn begin(&mut self) {
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.is_up(BootTime::ZERO) {
                continue;
            }
            let entry = engine.entry(BootTime::ZERO);
            for node in &mut self.nodes {
                node.listed.insert(index, (entry.clone(), BootTime::ZERO));
            }
        }
        self.schedule(Duration::ZERO, Event::Request);
        self.schedule(Duration::ZERO, Event::Reports);
        for node in 0..self.nodes.len() {
            let after = ROUND_INTERVAL.mul_f64(self.rng.random());
            self.schedule(after, Event::Round(node));
        }
        for index in 0..self.engines.len() {
            if let Some(at) = self.engines[index].returns_at {
                self.schedule(at, Event::Return(index));
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.numbers += 1;
        self.events.insert((self.now + after, self.numbers), event);
    }

    /// Sends a datagram; returns whether it arrives.
    fn send(&mut self, event: Event) -> bool {
        let delay = Duration::from_secs_f64(self.rng.random_range(0.0..MAX_DELAY));
        let arrives = !self.rng.random_bool(LOSS);
        if arrives {
            self.schedule(delay, event);
        }
        arrives
    }

    fn announce(&mut self, from: usize, report: Option<Report>) {
        let Some(report) = report else { return };
        for to in (0..self.nodes.len()).filter(|it| *it != from) {
            self.send(Event::Notice(to, report.clone()));
        }
    }

    fn issuer(&self, engine: &str) -> usize {
        let names = self.names.iter().map(String::as_str);
        let first = hash::highest(engine, names, 1);
        self.names
            .iter()
            .position(|it| *it == first[0])
            .unwrap_or_default()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Request => {
                let node = self.rng.random_range(0..self.nodes.len());
                self.nodes[node]
                    .statements
                    .warm_ups
                    .record_request(&service(), now);
                self.choose(node, true);
                let rate = RATE * self.trial.load * self.engines.len() as f64;
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                self.schedule(Duration::from_secs_f64(gap), Event::Request);
            }
            Event::Reports => {
                self.reported = self.engines.iter().map(|it| it.requests(now)).collect();
                self.schedule(REPORT_INTERVAL, Event::Reports);
            }
            Event::Return(engine) => {
                let is_new = !self.engines[engine].is_up(now);
                self.engines[engine].come_back(now);
                self.outcome.record_return(engine, now);
                // An engine that runs on writes its entry at its next heartbeat.
                let after = if is_new { 0.0 } else { self.rng.random() };
                self.schedule(HEARTBEAT.mul_f64(after), Event::Heartbeat(engine));
            }
            Event::Heartbeat(engine) if self.engines[engine].is_up(now) => {
                let entry = self.engines[engine].entry(now);
                for node in 0..self.nodes.len() {
                    let delay = Duration::from_secs_f64(self.rng.random_range(0.0..MAX_READ_DELAY));
                    self.schedule(delay, Event::Listed(node, engine, entry.clone()));
                }
                self.schedule(HEARTBEAT, Event::Heartbeat(engine));
            }
            Event::Heartbeat(_) => {}
            Event::Round(node) => self.round(node),
            Event::Listed(node, engine, entry) => self.list(node, engine, entry),
            Event::Notice(node, report) => {
                self.nodes[node].statements.warm_ups.apply(&report, now);
            }
            Event::Outcomes(node, engine, run, outcomes) => {
                let id = self.engines[engine].entry(now).id;
                let warm_ups = &mut self.nodes[node].statements.warm_ups;
                warm_ups.apply_outcomes(&id, run, outcomes, now);
            }
            Event::Query(node, engine, asked_at, report) => {
                let issued = self.issue(&report);
                let issuer = self.issuer(&report.engine);
                let known = self.nodes[issuer].statements.warm_ups.report(&report.engine, now);
                if !self.send(Event::Reply(node, engine, asked_at, issued, known)) {
                    self.schedule(REPLY_TIMEOUT, Event::NoReply(node, engine));
                }
            }
            Event::Reply(node, engine, asked_at, issued, known) => {
                self.take_reply(node, engine, asked_at, issued, known.as_ref());
            }
            Event::NoReply(node, engine) => {
                let Node {
                    statements, listed, ..
                } = &mut self.nodes[node];
                if let Some(permits) = statements.permits(&listed[&engine].0, now) {
                    permits.record_silence(now);
                }
                self.choose(node, false);
            }
            Event::Send(node, engine) => self.arrive(node, engine),
            Event::Head(node, engine, run, sent_at) => self.respond(node, engine, run, sent_at),
        }
    }

    fn round(&mut self, node: usize) {
        let now = self.now;
        let names = &self.names;
        let is_issuer = |engine: &str| {
            let first = hash::highest(engine, names.iter().map(String::as_str), 1);
            first[0] == names[node]
        };
        let it = &mut self.nodes[node];
        it.prepare(is_issuer, now);
        it.statements.expire(now);
        let reports = it.statements.warm_ups.reports(now).into_iter();
        let mut reports: Vec<_> = reports.filter(|it| it.phase == Phase::Cold).collect();
        // The order of a map differs from run to run.
        reports.sort_by(|a, b| a.engine.cmp(&b.engine));
        let repeated: Vec<_> = reports
            .choose_multiple(&mut self.rng, REPEATED_ENGINES)
            .cloned()
            .collect();
        let to = self.rng.random_range(0..self.nodes.len());
        for report in repeated {
            self.send(Event::Notice(to, report));
        }
        self.schedule(ROUND_INTERVAL, Event::Round(node));
    }

    fn list(&mut self, node: usize, engine: usize, entry: directory::Engine) {
        let now = self.now;
        let it = &mut self.nodes[node];
        let known = it.listed.get(&engine);
        let is_start = known.is_none_or(|it| it.0.started_ms < entry.started_ms);
        if known.is_some_and(|it| entry.started_ms < it.0.started_ms) {
            return;
        }
        let report = it.statements.warm_ups.record_listed(&entry, is_start, now);
        let since = known.filter(|_| !is_start).map_or(now, |it| it.1);
        it.listed.insert(engine, (entry, since));
        if node < READERS {
            self.announce(node, report);
        }
    }

    /// Chooses an engine for a request, which may ask for a permit if `may_ask`.
    fn choose(&mut self, node: usize, may_ask: bool) {
        let (now, trial) = (self.now, self.trial);
        let mut found: Vec<usize> = vec![];
        for _ in 0..MAX_DRAWS {
            let engine = self.rng.random_range(0..self.engines.len());
            let it = &self.nodes[node];
            let is_usable = it.is_usable(engine, may_ask, now);
            let share = match trial.limit {
                Limit::Ramp => it.ramp(engine, now),
                Limit::None | Limit::Product => 1.0,
            };
            if is_usable && self.rng.random_bool(share) {
                found.push(engine);
            }
            if found.len() == CHOICES {
                break;
            }
        }
        let best = found.into_iter().min_by_key(|it| self.reported[*it]);
        let Some(engine) = best else {
            self.outcome.unserved += 1;
            return;
        };
        let Node {
            statements, listed, ..
        } = &mut self.nodes[node];
        let entry = listed[&engine].0.clone();
        if statements.access(&entry, now) == Access::Open {
            return self.arrive(node, engine);
        }
        let permits = statements.permits(&entry, now);
        if let Some(wait) = permits.and_then(|it| it.take(SHORT_WAIT, now)) {
            return self.schedule(wait, Event::Send(node, engine));
        }
        self.ask(node, engine, &entry);
    }

    fn ask(&mut self, node: usize, engine: usize, entry: &directory::Engine) {
        let now = self.now;
        let warm_ups = &mut self.nodes[node].statements.warm_ups;
        let Some(report) = warm_ups.report(&entry.id, now) else {
            return self.arrive(node, engine);
        };
        let issuer = self.issuer(&entry.id);
        if issuer == node {
            let issued = self.issue(&report);
            return self.take_reply(node, engine, now, issued, None);
        }
        if !self.send(Event::Query(node, engine, now, report)) {
            self.schedule(REPLY_TIMEOUT, Event::NoReply(node, engine));
        }
    }

    fn issue(&mut self, report: &Report) -> Issued {
        let (now, trial) = (self.now, self.trial);
        let issuer = self.issuer(&report.engine);
        let it = &mut self.nodes[issuer];
        it.statements.warm_ups.apply(report, now);
        it.issue(&report.engine, SHORT_WAIT, &trial, now)
    }

    fn take_reply(
        &mut self,
        node: usize,
        engine: usize,
        asked_at: BootTime,
        issued: Issued,
        known: Option<&Report>,
    ) {
        let (now, nodes) = (self.now, self.trial.nodes);
        let Node {
            statements, listed, ..
        } = &mut self.nodes[node];
        let entry = listed[&engine].0.clone();
        known.into_iter().for_each(|it| {
            statements.warm_ups.apply(it, now);
        });
        if issued.is_over {
            statements.warm_ups.record_over(&entry.id, entry.started_ms, now);
        }
        match issued.decision {
            Decision::Granted(wait) if now < asked_at + wait + Permits::RETENTION => {
                self.schedule(wait, Event::Send(node, engine));
            }
            Decision::Granted(_) => self.choose(node, false),
            Decision::Denied(wait) => {
                let rate = issued.rate.or_else(|| statements.rate(&entry, now));
                if let Some(permits) = statements.permits(&entry, now) {
                    permits.record_denial(wait, rate.unwrap_or_default(), nodes, now, &mut self.rng);
                }
                self.choose(node, false);
            }
        }
    }

    /// A request reaches an engine.
    fn arrive(&mut self, node: usize, engine: usize) {
        let now = self.now;
        let size = log_normal(SPREAD, &mut self.rng);
        let run = self.engines[engine].run;
        let was_cold = self.engines[engine].is_cold(now);
        let arrival = self.engines[engine].accept(size, now);
        match arrival {
            Arrival::Unreachable => {
                let Node {
                    statements, listed, ..
                } = &mut self.nodes[node];
                let failure = Failure::Unreachable;
                let entry = &listed[&engine].0;
                statements.warm_ups.record_failure(entry, failure, now, now);
                self.choose(node, false);
            }
            Arrival::Crash => {
                self.outcome.record_arrival(engine, was_cold, now);
                let after = self.engines[engine].crash();
                self.schedule(after, Event::Return(engine));
                self.schedule(Duration::ZERO, Event::Head(node, engine, run, now));
            }
            Arrival::Response(at) => {
                self.outcome.record_arrival(engine, was_cold, now);
                self.schedule(at - now, Event::Head(node, engine, run, now));
            }
        }
    }

    fn respond(&mut self, node: usize, engine: usize, run: u64, sent_at: BootTime) {
        let now = self.now;
        let is_lost = self.engines[engine].run != run || !self.engines[engine].is_up(now);
        let Node {
            statements, listed, ..
        } = &mut self.nodes[node];
        let entry = directory::Engine {
            started_ms: run,
            ..listed[&engine].0.clone()
        };
        let warm_ups = &mut statements.warm_ups;
        if is_lost {
            return warm_ups.record_failure(&entry, Failure::Lost, sent_at, now);
        }
        let time = now - sent_at;
        self.outcome.record_response(engine, time, now);
        let report = warm_ups.record_response(&entry, None, now);
        let ratio = time.as_secs_f64() / FIRST_EVENT.as_secs_f64();
        let outcomes = Outcomes::of_response(ratio, time);
        if warm_ups.phase(&entry, now) == Some(Phase::Warming) {
            let issuer = self.issuer(&entry.id);
            self.send(Event::Outcomes(issuer, engine, run, outcomes));
        }
        self.announce(node, report);
    }
}

fn service() -> Name {
    "pool".into()
}
