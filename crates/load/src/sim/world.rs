//! Event loop of the model.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::Usage;
use policy::affinity;
use policy::limit::Load;
use policy::pool::{Action, Attempt, Cause, Outcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::engine::{Engine, Fault, Job, Milestone, Work};
use super::node::{Node, Strategy};
use super::scenario::{End, Record, Results, Scenario};

/// One way between nodes and engines.
const NETWORK: Duration = Duration::from_millis(1);

/// Period of load reports and of batches of cache events.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Age of reports and cache events on arrival.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// Period of [`Node::tick`].
const TICK: Duration = Duration::from_millis(10);

/// Time after which a connection attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a first token, or without a further one, after which an attempt counts as silent.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Wake(usize, u64),
    Push(usize, Box<Work>),
    Cancel(usize, Job),
    Started(Job),
    Ended(Job, Outcome),
    Silence(Job),
    Report(usize),
    Reported(usize, Load),
    Cached(usize, Vec<affinity::Event>),
    Fault(usize, Fault),
    Tick(usize),
    Sample,
}

/// Runs a scenario until `grace` after the last arrival.
pub fn run(scenario: Scenario, grace: Duration) -> Results {
    World::new(scenario).run(grace)
}

struct World {
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: HashMap<u64, Event>,
    next: u64,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    places: HashMap<Job, Place>,
    results: Results,
    rng: SmallRng,
    scenario: Scenario,
}

#[derive(Debug, Clone, Copy)]
struct Place {
    engine: usize,
    started: bool,
}

impl World {
    fn new(mut scenario: Scenario) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let arrivals = std::mem::take(&mut scenario.arrivals);
        let record = Record {
            end: End::Open,
            cached: 0,
            attempts: 0,
        };
        let node = |idx| Node::new(idx, &scenario, &mut rng);
        Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            next: 0,
            engines: (0..scenario.engines)
                .map(|_| Engine::new(scenario.spec))
                .collect(),
            nodes: (0..scenario.nodes).map(node).collect(),
            places: HashMap::new(),
            results: Results {
                records: vec![record; arrivals.len()],
                arrivals,
                limits: Vec::new(),
            },
            rng,
            scenario,
        }
    }

    fn run(mut self, grace: Duration) -> Results {
        let end = self.results.arrivals.last().map_or(Duration::ZERO, |it| it.at) + grace;
        self.prepare();
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.payloads.remove(&id) {
                self.handle(event);
            }
        }
        self.results
    }

    fn prepare(&mut self) {
        for idx in 0..self.engines.len() {
            let offset = REPORT_PERIOD.mul_f64(self.rng.random());
            self.schedule(offset, Event::Report(idx));
        }
        for idx in 0..self.nodes.len() {
            let offset = TICK.mul_f64(self.rng.random());
            self.schedule(offset, Event::Tick(idx));
        }
        for (at, engine, fault) in std::mem::take(&mut self.scenario.faults) {
            self.schedule(at, Event::Fault(engine, fault));
        }
        self.schedule(Duration::from_secs(1), Event::Sample);
        if let Some(first) = self.results.arrivals.first() {
            self.schedule(first.at, Event::Arrive(0));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.payloads.insert(self.next, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(idx) => self.arrive(idx),
            Event::Wake(engine, version) => self.wake(engine, version),
            Event::Push(engine, work) => self.push(engine, *work),
            Event::Cancel(engine, job) => {
                self.engines[engine].cancel(job, self.now);
                self.rewake(engine);
            }
            Event::Started(job) => self.started(job),
            Event::Ended(job, outcome) => self.ended(job, outcome),
            Event::Silence(job) => self.silence(job),
            Event::Report(engine) => self.report(engine),
            Event::Reported(engine, load) => {
                for node in 0..self.nodes.len() {
                    let actions = self.nodes[node].report(engine, load, REPORT_LAG, self.now, &mut self.rng);
                    self.act(actions);
                }
            }
            Event::Cached(engine, events) => {
                for node in &mut self.nodes {
                    node.cache_events(engine, &events);
                }
            }
            Event::Fault(engine, fault) => self.fault(engine, fault),
            Event::Tick(node) => {
                let actions = self.nodes[node].tick(self.now, &mut self.rng);
                self.act(actions);
                self.after(TICK, Event::Tick(node));
            }
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self, idx: usize) {
        if let Some(next) = self.results.arrivals.get(idx + 1) {
            self.schedule(next.at, Event::Arrive(idx + 1));
        }
        let it = &self.results.arrivals[idx];
        let actions = self.nodes[it.node].submit(idx as u64, it, self.now, &mut self.rng);
        let refused = |it: &Action| matches!(it, Action::Refuse { ticket, .. } if *ticket == idx as u64);
        let at_once = actions.iter().any(refused);
        self.act(actions);
        if at_once {
            self.results.records[idx].end = End::RefusedAtOnce;
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    attempt, upstream, ..
                } => self.send(attempt, engine_index(&upstream)),
                Action::Cancel { attempt, .. } => {
                    if let Some(place) = self.places.remove(&job(attempt)) {
                        self.after(NETWORK, Event::Cancel(place.engine, job(attempt)));
                    }
                }
                Action::Finish { attempt } => {
                    self.results.records[attempt.ticket as usize].end = End::Done(self.now);
                }
                Action::Refuse { ticket, .. } => {
                    self.results.records[ticket as usize].end = End::RefusedLater;
                }
            }
        }
    }

    fn send(&mut self, attempt: Attempt, engine: usize) {
        let it = &self.results.arrivals[attempt.ticket as usize];
        let work = Work {
            job: job(attempt),
            priority: it.class.index(),
            prompt: it.prompt,
            output: it.output,
            blocks: it.blocks.clone(),
        };
        self.results.records[attempt.ticket as usize].attempts += 1;
        let place = Place {
            engine,
            started: false,
        };
        self.places.insert(work.job, place);
        if self.scenario.strategy == Strategy::Policy {
            self.after(PROGRESS_TIMEOUT, Event::Silence(work.job));
        }
        self.after(NETWORK, Event::Push(engine, Box::new(work)));
    }

    fn push(&mut self, engine: usize, work: Work) {
        match self.engines[engine].fault {
            Fault::Refusing => self.after(NETWORK, Event::Ended(work.job, Outcome::NotStarted(Cause::Other))),
            Fault::Lost => {
                let outcome = Outcome::NotStarted(Cause::Connect);
                self.after(CONNECT_TIMEOUT, Event::Ended(work.job, outcome));
            }
            Fault::None | Fault::Slow(_) | Fault::Silent => {
                self.engines[engine].push(work, self.now);
                self.rewake(engine);
            }
        }
    }

    fn rewake(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next() {
            let version = self.engines[engine].version;
            self.schedule(at.max(self.now), Event::Wake(engine, version));
        }
    }

    fn wake(&mut self, engine: usize, version: u64) {
        if self.engines[engine].version != version {
            return;
        }
        for (job, milestone, cached) in self.engines[engine].reached(self.now) {
            match milestone {
                Milestone::First => self.after(NETWORK, Event::Started(job)),
                Milestone::Done => {
                    let it = &self.results.arrivals[(job / ATTEMPTS) as usize];
                    let usage = Usage {
                        input: it.prompt,
                        cached,
                        output: it.output,
                    };
                    self.after(NETWORK, Event::Ended(job, Outcome::Done(usage)));
                }
            }
        }
        self.rewake(engine);
    }

    fn started(&mut self, job: Job) {
        let Some(place) = self.places.get_mut(&job) else {
            return;
        };
        place.started = true;
        let node = self.results.arrivals[(job / ATTEMPTS) as usize].node;
        let actions = self.nodes[node].started(attempt(job), self.now, &mut self.rng);
        self.act(actions);
    }

    fn ended(&mut self, job: Job, outcome: Outcome) {
        let Some(place) = self.places.remove(&job) else {
            return;
        };
        let idx = (job / ATTEMPTS) as usize;
        if let Outcome::Done(usage) = &outcome {
            self.results.records[idx].cached = usage.cached;
        }
        let node = self.results.arrivals[idx].node;
        let actions = self.nodes[node].ended(attempt(job), place.engine, outcome, self.now, &mut self.rng);
        self.act(actions);
    }

    /// Ends an attempt that did not start in time.
    fn silence(&mut self, job: Job) {
        if let Some(place) = self.places.get(&job).copied()
            && !place.started
        {
            self.after(NETWORK, Event::Cancel(place.engine, job));
            self.ended(job, Outcome::Silent);
        }
    }

    fn report(&mut self, engine: usize) {
        let events = std::mem::take(&mut self.engines[engine].events);
        let fault = self.engines[engine].fault;
        if !matches!(fault, Fault::Silent | Fault::Lost) {
            let load = self.engines[engine].load();
            self.after(REPORT_LAG, Event::Reported(engine, load));
            if !events.is_empty() && !self.rng.random_bool(self.scenario.lost_events) {
                self.after(REPORT_LAG, Event::Cached(engine, events));
            }
        }
        self.after(REPORT_PERIOD, Event::Report(engine));
    }

    fn fault(&mut self, engine: usize, fault: Fault) {
        self.engines[engine].set_fault(fault, self.now);
        self.rewake(engine);
        if matches!(fault, Fault::Silent | Fault::Lost) {
            for job in self.engines[engine].jobs() {
                self.after(PROGRESS_TIMEOUT, Event::Ended(job, Outcome::Silent));
            }
        }
    }

    fn sample(&mut self) {
        let limits = |it: &Node| it.pool().status(self.now).engines.into_iter().map(|it| it.limit);
        self.results
            .limits
            .push(self.nodes.iter().flat_map(limits).collect());
        self.after(Duration::from_secs(1), Event::Sample);
    }
}

/// Attempts of one request that a job number can tell apart.
const ATTEMPTS: u64 = 16;

fn job(attempt: Attempt) -> Job {
    attempt.ticket * ATTEMPTS + u64::from(attempt.number)
}

fn attempt(job: Job) -> Attempt {
    Attempt {
        ticket: job / ATTEMPTS,
        number: (job % ATTEMPTS) as u16,
    }
}

fn engine_index(upstream: &model::Upstream) -> usize {
    upstream[1..].parse().unwrap_or(0)
}
