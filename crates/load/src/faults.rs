//! Faults of engines: slow, silent, refusing, and a lost failure domain.

use std::time::Duration;

use model::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::{Report, Series, Table, Target};
use crate::rush::capacity;
use crate::sim::engine::{Fault, Spec};
use crate::sim::node::{DOMAINS, Strategy};
use crate::sim::scenario::{Results, Scenario};
use crate::sim::stats::{between, p95, share, useful};
use crate::sim::traffic::{self, Phase};
use crate::sim::world;

const ENGINES: usize = 20;
const NODES: usize = 8;
const ORGANISATIONS: usize = 10;

/// Load relative to the capacity; the two failure domains that remain after a loss run at 0.6 of theirs.
const LOAD: f64 = 0.4;

const LENGTH: Duration = Duration::from_secs(150);
const FAULT_AT: Duration = Duration::from_secs(30);

const SLOW: (usize, Fault) = (4, Fault::Slow(0.1));
const SILENT: (usize, Fault) = (7, Fault::Silent);
const REFUSING: (usize, Fault) = (11, Fault::Refusing);

/// Measures the policy and the baselines with each fault, and with all at once.
pub fn run(seed: u64) -> Report {
    let capacity = capacity(seed) * ENGINES as f64;
    let lost: Vec<_> = (0..ENGINES)
        .filter(|it| it % DOMAINS == 0)
        .map(|it| (it, Fault::Lost))
        .collect();
    let all = [vec![SLOW, SILENT, REFUSING], lost.clone()].concat();
    let cases = [
        ("slow engine", vec![SLOW]),
        ("silent engine", vec![SILENT]),
        ("refusing engine", vec![REFUSING]),
        ("lost failure domain", lost),
        ("all at once", all),
    ];
    let mut targets = Vec::new();
    let mut rows = Vec::new();
    let mut series = Vec::new();
    for strategy in [Strategy::Policy, Strategy::RoundRobin, Strategy::BetterOfTwo] {
        let healthy = simulate(strategy, &[], capacity, seed);
        let base = latency(&healthy);
        rows.push(row(strategy, "none", &healthy, base));
        for (name, faults) in &cases {
            let results = simulate(strategy, faults, capacity, seed);
            rows.push(row(strategy, name, &results, base));
            if strategy == Strategy::Policy {
                targets.push(Target::at_most(
                    format!("{name}: p95 of interactive relative to healthy"),
                    1.3,
                    latency(&results) / base,
                ));
                targets.push(Target::at_most(
                    format!("{name}: attempts relative to requests"),
                    1.1,
                    attempts(&results),
                ));
                series.push(Series {
                    name: (*name).into(),
                    points: curve(&results),
                });
            }
        }
    }
    Report {
        experiment: "faults".into(),
        seed,
        targets,
        table: Table {
            columns: ["router", "fault", "p95 s", "of healthy", "attempts", "in time"]
                .map(String::from)
                .to_vec(),
            rows,
        },
        x_label: "seconds".into(),
        y_label: "p95 of interactive in seconds".into(),
        series,
    }
}

fn simulate(strategy: Strategy, faults: &[(usize, Fault)], capacity: f64, seed: u64) -> Results {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = capacity * LOAD / traffic::mean_work() / ORGANISATIONS as f64;
    let phase = Phase {
        length: LENGTH,
        rates: vec![rate; ORGANISATIONS],
    };
    let scenario = Scenario {
        engines: ENGINES,
        nodes: NODES,
        spec: Spec::default(),
        strategy,
        concurrency: 8,
        arrivals: traffic::mixed(&[phase], NODES, &mut rng),
        faults: faults.iter().map(|it| (FAULT_AT, it.0, it.1)).collect(),
        lost_events: 0.0,
        seed,
    };
    world::run(scenario, Duration::from_secs(60))
}

/// The 95th percentile over all interactive requests from the fault on, those without an answer included.
fn latency(results: &Results) -> f64 {
    p95(results, Class::Interactive, FAULT_AT, LENGTH)
}

fn attempts(results: &Results) -> f64 {
    let (mut attempts, mut requests) = (0.0, 0.0);
    for (_, record) in between(results, FAULT_AT, LENGTH).filter(|it| it.1.attempts > 0) {
        attempts += f64::from(record.attempts);
        requests += 1.0;
    }
    share(attempts, requests)
}

fn in_time(results: &Results) -> f64 {
    let (mut part, mut whole) = (0.0, 0.0);
    for (arrival, record) in between(results, FAULT_AT, LENGTH).filter(|it| it.0.class == Class::Interactive)
    {
        part += f64::from(u8::from(useful(arrival, record)));
        whole += 1.0;
    }
    share(part, whole)
}

fn curve(results: &Results) -> Vec<(f64, f64)> {
    const STEP: Duration = Duration::from_secs(2);
    let steps = (LENGTH.as_secs() / STEP.as_secs()) as u32;
    let point = |it: u32| {
        let from = STEP * it;
        (
            from.as_secs_f64(),
            p95(results, Class::Interactive, from, from + STEP),
        )
    };
    (0..steps).map(point).collect()
}

fn row(strategy: Strategy, fault: &str, results: &Results, base: f64) -> Vec<String> {
    let latency = latency(results);
    vec![
        strategy.name().into(),
        fault.into(),
        format!("{latency:.3}"),
        format!("{:.3}", latency / base),
        format!("{:.3}", attempts(results)),
        format!("{:.4}", in_time(results)),
    ]
}
