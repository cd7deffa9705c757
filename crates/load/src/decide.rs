//! Time of one decision at today's size and at the target size, by the wall clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use model::object::service::Repeat;
use model::{Class, Usage};
use policy::pool::{Action, Attempt, Outcome, Pool, Request, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::report::{Report, Series, Table, Target};
use crate::sim::node::{hosts, places};
use crate::sim::traffic::organisation;

/// Rounds of each size, in turn; the best round counts, because other work on the machine only adds time.
const ROUNDS: usize = 11;

/// Decisions in a round.
const DECISIONS: u64 = 30_000;

/// Period of [`Pool::tick`], which is not part of a decision.
const TICK: Duration = Duration::from_millis(5);

/// Greatest time that the histogram tells apart.
const LONGEST_NANOS: u64 = 1_000_000_000;

/// Blocks of a prompt.
const BLOCKS: u64 = 32;

#[derive(Debug, Clone, Copy)]
struct Size {
    name: &'static str,
    engines: usize,
    nodes: usize,
    organisations: usize,
}

const SMALL: Size = Size {
    name: "20 engines, 10 organisations",
    engines: 20,
    nodes: 8,
    organisations: 10,
};

const LARGE: Size = Size {
    name: "6,800 engines, 1,000 organisations",
    engines: 6_800,
    nodes: 340,
    organisations: 1_000,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// Places are free, so that each submission is dispatched at once.
    Light,
    /// The queue holds a thousand requests, so that each completion dispatches a queued one.
    Full,
}

/// Measures submissions and completions.
pub fn run(seed: u64) -> Report {
    let mut rows = Vec::new();
    let mut targets = Vec::new();
    let mut series = Vec::new();
    for (load, name) in [(Load::Light, "light"), (Load::Full, "full queue")] {
        let (small, large) = best_of_rounds(load, seed);
        for (size, times) in [(SMALL, &small), (LARGE, &large)] {
            rows.push(times.row(name, size));
            series.push(times.series(name, size));
            targets.push(Target::at_most(
                format!("{name}, {}: p99 of a decision in microseconds", size.name),
                5.0,
                times.p99(),
            ));
        }
        targets.push(Target::at_most(
            format!("{name}: larger size relative to smaller"),
            1.5,
            large.p99() / small.p99(),
        ));
    }
    Report {
        experiment: "decide".into(),
        seed,
        targets,
        table: Table {
            columns: ["load", "size", "p50 us", "p99 us", "host list ms"]
                .map(String::from)
                .to_vec(),
            rows,
        },
        x_label: "quantile".into(),
        y_label: "microseconds".into(),
        series,
    }
}

fn best_of_rounds(load: Load, seed: u64) -> (Times, Times) {
    let mut small = Times::measure(SMALL, load, seed);
    let mut large = Times::measure(LARGE, load, seed);
    for _ in 1..ROUNDS {
        small = small.better(Times::measure(SMALL, load, seed));
        large = large.better(Times::measure(LARGE, load, seed));
    }
    (small, large)
}

/// Times of a round.
struct Times {
    nanos: Histogram<u64>,
    host_list: Duration,
}

impl Times {
    fn measure(size: Size, load: Load, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (pool, host_list) = pool(size, &mut rng);
        let mut driver = Driver::new(pool, size, load, rng);
        for _ in 0..DECISIONS / 5 {
            driver.step();
        }
        driver.nanos.reset();
        for _ in 0..DECISIONS {
            driver.step();
        }
        Self {
            nanos: driver.nanos,
            host_list,
        }
    }

    fn better(self, other: Self) -> Self {
        if other.p99() < self.p99() { other } else { self }
    }

    fn micros(&self, rank: f64) -> f64 {
        self.nanos.value_at_quantile(rank) as f64 / 1e3
    }

    fn p99(&self) -> f64 {
        self.micros(0.99)
    }

    fn row(&self, load: &str, size: Size) -> Vec<String> {
        vec![
            load.into(),
            size.name.into(),
            format!("{:.2}", self.micros(0.5)),
            format!("{:.2}", self.p99()),
            format!("{:.1}", self.host_list.as_secs_f64() * 1e3),
        ]
    }

    fn series(&self, load: &str, size: Size) -> Series {
        let ranks = (1..100).map(|it| f64::from(it) / 100.0);
        Series {
            name: format!("{load}, {}", size.name),
            points: ranks.map(|it| (it, self.micros(it))).collect(),
        }
    }
}

fn pool(size: Size, rng: &mut SmallRng) -> (Pool, Duration) {
    let mut settings = Settings::default();
    settings.queue.max_wait = [Duration::from_secs(3600); 4];
    let places = places(size.nodes);
    let pool = Pool::new(settings, places[0].clone());
    let hosts = hosts(size.engines);
    let start = Instant::now();
    pool.update_hosts(&hosts, &places, Duration::ZERO, rng);
    (pool, start.elapsed())
}

/// Submits and completes requests in turn, so that the number of open ones stays the same.
struct Driver {
    pool: Pool,
    organisations: Vec<model::Name>,
    running: VecDeque<Attempt>,
    open: usize,
    target: usize,
    ticket: u64,
    now: Duration,
    nanos: Histogram<u64>,
    rng: SmallRng,
}

impl Driver {
    fn new(pool: Pool, size: Size, load: Load, rng: SmallRng) -> Self {
        let places = pool.status(Duration::ZERO).engines.len() * 8;
        Self {
            pool,
            organisations: (0..size.organisations).map(organisation).collect(),
            running: VecDeque::new(),
            open: 0,
            target: match load {
                Load::Light => places / 2,
                Load::Full => places + 1_000,
            },
            ticket: 0,
            now: Duration::from_secs(1),
            nanos: Histogram::new_with_bounds(1, LONGEST_NANOS, 3).expect("the bounds are valid"),
            rng,
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_micros(100);
        if self.now.as_micros().is_multiple_of(TICK.as_micros()) {
            let actions = self.pool.tick(self.now, &mut self.rng);
            self.take(actions);
        }
        if self.open < self.target {
            self.submit();
        } else {
            self.complete();
        }
    }

    fn submit(&mut self) {
        self.ticket += 1;
        let session: u64 = self.rng.random_range(0..2_000);
        let request = Request {
            ticket: self.ticket,
            organisation: self.organisations[self.rng.random_range(0..self.organisations.len())].clone(),
            weight: 1,
            class: Class::ALL[self.rng.random_range(0..4)],
            deadline: self.now + Duration::from_secs(3600),
            repeat: Repeat::Idempotent,
            prompt: 2_048,
            output: 100,
            blocks: (0..BLOCKS).map(|it| session * BLOCKS + it).collect(),
            session: Some(session),
        };
        let start = Instant::now();
        let actions = self.pool.submit(request, self.now, &mut self.rng);
        self.record(start);
        self.open += 1;
        self.take(actions);
    }

    fn complete(&mut self) {
        let Some(attempt) = self.running.pop_front() else {
            return;
        };
        let actions = self.pool.attempt_started(attempt, self.now, &mut self.rng);
        self.take(actions);
        let usage = Usage {
            input: 2_048,
            cached: 1_024,
            output: 100,
        };
        let start = Instant::now();
        let actions = self
            .pool
            .attempt_ended(attempt, Outcome::Done(usage), self.now, &mut self.rng);
        self.record(start);
        self.take(actions);
    }

    fn record(&mut self, start: Instant) {
        self.nanos.saturating_record(start.elapsed().as_nanos() as u64);
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { attempt, .. } => self.running.push_back(attempt),
                Action::Finish { .. } | Action::Refuse { .. } => self.open -= 1,
                Action::Cancel { .. } => {}
            }
        }
    }
}
