//! Engines, nodes and the datagrams between them in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::load::{LoadReport, Loads};
use forward::load_exchange::{self, Exchange, HEADER_BYTES, Pace, Report};
use rand::rngs::SmallRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};

const ENGINES: usize = 90;

/// Mean requests at an engine, and the mean time in seconds for which one stays.
const MEAN_REQUESTS: f64 = 11.5;
const MEAN_STAY: f64 = 1.6;

/// Part of its stay after which an engine begins to respond to a request, and reports its load.
const HEAD_FRACTION: f64 = 0.25;

const DURATION: Duration = Duration::from_secs(40);
const WARM_UP: Duration = Duration::from_secs(10);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(333);

/// Nodes whose estimates are compared with the loads.
const SAMPLED_NODES: usize = 12;

/// Maximum time in seconds that a datagram takes, and the part of them that is lost.
const MAX_DELAY: f64 = 0.006;
const LOSS: f64 = 0.01;

/// A fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub nodes: usize,
    /// Whether engines state a work factor, which is what makes nodes exchange reports.
    pub exchange: bool,
}

/// Figures of a trial.
#[derive(Debug)]
pub(super) struct Outcome {
    /// Correlation of estimate and load over all sampled nodes, engines and times.
    pub correlation: f64,
    /// Part of the samples for which the node has no report.
    pub without_report: f64,
    /// Bytes that a node sends in a second, with the headers of its datagrams.
    pub bytes: f64,
    /// Ages of reports, in order.
    ages: Vec<Duration>,
}

impl Outcome {
    /// A quantile of the reports' ages.
    pub(super) fn age(&self, quantile: f64) -> Duration {
        let index = (quantile * self.ages.len() as f64) as usize;
        self.ages.get(index).copied().unwrap_or(Duration::MAX)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Head { node: usize, engine: usize },
    End { node: usize, engine: usize },
    Round { node: usize },
    Delivery { node: usize, message: usize },
    Sample,
}

#[derive(Debug, Default)]
struct Node {
    loads: Loads,
    exchange: Exchange,
}

struct World {
    trial: Trial,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(BootTime, Event)>>,
    engines: Vec<Arc<Engine>>,
    requests: Vec<u32>,
    nodes: Vec<Node>,
    messages: Vec<Vec<Report>>,
    bytes: usize,
    /// Pairs of estimate and load.
    pairs: Vec<(f64, f64)>,
    ages: Vec<Duration>,
}

/// Runs a trial.
pub(super) fn run(trial: Trial, seed: u64) -> Outcome {
    let engines: Vec<_> = (0..ENGINES).map(engine).collect();
    let mut world = World {
        trial,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        requests: vec![0; ENGINES],
        nodes: (0..trial.nodes).map(|_| Node::default()).collect(),
        messages: vec![],
        bytes: 0,
        pairs: vec![],
        ages: vec![],
        engines,
    };
    for node in &mut world.nodes {
        node.exchange.follow(world.engines.iter());
    }
    world.begin();
    while let Some(Reverse((now, event))) = world.events.pop().filter(|it| it.0.0 < DURATION) {
        world.handle(event, now);
    }
    world.outcome()
}

fn engine(index: usize) -> Arc<Engine> {
    Arc::new(Engine {
        id: format!("engine-{index}").into(),
        started_ms: 1,
        service: "pool".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 64,
        draining: false,
    })
}

impl World {
    fn begin(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        self.schedule(WARM_UP, Event::Sample);
        let Trial { nodes, exchange } = self.trial;
        for node in (0..nodes).filter(|_| exchange) {
            let at = Pace::of(nodes).interval.mul_f64(self.rng.random());
            self.schedule(at, Event::Round { node });
        }
    }

    fn schedule(&mut self, at: BootTime, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// A random time with an exponential distribution.
    fn random_time(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn handle(&mut self, event: Event, now: BootTime) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Head { node, engine } => self.respond(node, engine, now),
            Event::End { node, engine } => {
                self.requests[engine] -= 1;
                self.nodes[node].loads.record_end(&self.engines[engine]);
            }
            Event::Round { node } => self.send(node, now),
            Event::Delivery { node, message } => {
                let Node { loads, exchange } = &mut self.nodes[node];
                for report in &self.messages[message] {
                    if let Ok((engine, observation)) = exchange.apply(report, now) {
                        loads.apply_observation(&engine, observation, now);
                    }
                }
            }
            Event::Sample => self.sample(now),
        }
    }

    fn arrive(&mut self, now: BootTime) {
        let node = self.rng.random_range(0..self.trial.nodes);
        let engine = self.rng.random_range(0..ENGINES);
        let stay = self.random_time(MEAN_STAY);
        self.requests[engine] += 1;
        self.nodes[node]
            .loads
            .record_sent(&self.engines[engine], 0.0, now);
        self.schedule(now + stay.mul_f64(HEAD_FRACTION), Event::Head { node, engine });
        self.schedule(now + stay, Event::End { node, engine });
        let gap = self.random_time(MEAN_STAY / (MEAN_REQUESTS * ENGINES as f64));
        self.schedule(now + gap, Event::Arrival);
    }

    fn respond(&mut self, node: usize, engine: usize, now: BootTime) {
        let report = LoadReport {
            running: self.requests[engine],
            waiting: 0,
            slots: 64,
            work_factor: self.trial.exchange.then_some(1.0),
        };
        let Node { loads, exchange } = &mut self.nodes[node];
        let observation = loads.record_report(&self.engines[engine], report, now);
        exchange.record(&self.engines[engine], observation);
    }

    fn send(&mut self, node: usize, now: BootTime) {
        let pace = Pace::of(self.trial.nodes);
        let next = now + pace.interval.mul_f64(self.rng.random_range(0.8..1.2));
        self.schedule(next, Event::Round { node });
        let reports = self.nodes[node].exchange.choose(&pace, now);
        if reports.is_empty() {
            return;
        }
        let bytes = load_exchange::message_bytes(&reports) + HEADER_BYTES;
        self.messages.push(reports);
        let others = self.trial.nodes - 1;
        let count = pace.receivers.min(others);
        for receiver in index::sample(&mut self.rng, others, count) {
            self.bytes += bytes;
            if self.rng.random_bool(LOSS) {
                continue;
            }
            let receiver = receiver + usize::from(receiver >= node);
            let delay = Duration::from_secs_f64(self.rng.random_range(0.0..MAX_DELAY));
            let message = self.messages.len() - 1;
            self.schedule(
                now + delay,
                Event::Delivery {
                    node: receiver,
                    message,
                },
            );
        }
    }

    fn sample(&mut self, now: BootTime) {
        for node in self.nodes.iter().take(SAMPLED_NODES) {
            for (engine, requests) in self.engines.iter().zip(&self.requests) {
                let load = node.loads.get(engine);
                let estimate = load.map_or(0.0, |it| it.estimated_requests(now));
                self.pairs.push((estimate, f64::from(*requests)));
                self.ages.extend(load.and_then(|it| it.report_age(now)));
            }
        }
        self.schedule(now + SAMPLE_INTERVAL, Event::Sample);
    }

    fn outcome(mut self) -> Outcome {
        self.ages.sort_unstable();
        let samples = self.pairs.len() as f64;
        Outcome {
            correlation: correlation(&self.pairs),
            without_report: 1.0 - self.ages.len() as f64 / samples,
            bytes: self.bytes as f64 / self.trial.nodes as f64 / DURATION.as_secs_f64(),
            ages: self.ages,
        }
    }
}

/// Correlation coefficient of the two figures of each pair.
fn correlation(pairs: &[(f64, f64)]) -> f64 {
    let count = pairs.len() as f64;
    let (sum_x, sum_y) = pairs
        .iter()
        .fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let products = pairs.iter().map(|it| {
        let (x, y) = (it.0 - mean_x, it.1 - mean_y);
        (x * y, x * x, y * y)
    });
    let (xy, xx, yy) = products.fold((0.0, 0.0, 0.0), |sum, it| {
        (sum.0 + it.0, sum.1 + it.1, sum.2 + it.2)
    });
    xy / (xx * yy).sqrt()
}
