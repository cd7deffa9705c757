//! Prefix affinity: conversations over shared engines with bounded prefix caches.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::{Report, Series, Table, Target};
use crate::sim::engine::Spec;
use crate::sim::node::Strategy;
use crate::sim::scenario::{End, Results, Scenario};
use crate::sim::stats::{between, latency, quantile, share};
use crate::sim::traffic::{self, Conversations};
use crate::sim::world;

const ENGINES: usize = 20;

const TRAFFIC: Conversations = Conversations {
    rate: 18.0,
    length: Duration::from_secs(400),
    organisations: 10,
    nodes: 8,
};

/// Time until the caches and the number of sessions are steady.
const WARM_UP: Duration = Duration::from_secs(150);

/// Blocks of an engine's cache; all engines together hold somewhat more than the live sessions need.
const CACHE_BLOCKS: usize = 8_000;

/// Share of cache event batches that are lost.
const LOST_EVENTS: f64 = 0.01;

/// Measures the policy and the baselines.
pub fn run(seed: u64) -> Report {
    let strategies = [
        Strategy::Policy,
        Strategy::Random,
        Strategy::SessionHash,
        Strategy::BetterOfTwo,
    ];
    let outcomes = strategies.map(|it| Figures::new(it, &simulate(it, seed)));
    let [policy, _, session_hash, better_of_two] = &outcomes;
    Report {
        experiment: "affinity".into(),
        seed,
        targets: vec![
            Target::at_least(
                "cached share of prompt tokens relative to session hash",
                0.90,
                policy.cached / session_hash.cached,
            ),
            Target::at_most(
                "p95 relative to better of two",
                1.1,
                policy.p95 / better_of_two.p95,
            ),
        ],
        table: Table {
            columns: ["router", "cached share", "p50 s", "p95 s", "answered"]
                .map(String::from)
                .to_vec(),
            rows: outcomes.iter().map(Figures::row).collect(),
        },
        x_label: "quantile".into(),
        y_label: "latency in seconds".into(),
        series: outcomes.iter().map(Figures::series).collect(),
    }
}

fn simulate(strategy: Strategy, seed: u64) -> Results {
    let mut rng = SmallRng::seed_from_u64(seed);
    let scenario = Scenario {
        engines: ENGINES,
        nodes: TRAFFIC.nodes,
        spec: Spec {
            cache_blocks: CACHE_BLOCKS,
            ..Spec::default()
        },
        strategy,
        concurrency: 8,
        arrivals: traffic::conversations(TRAFFIC, &mut rng),
        faults: Vec::new(),
        lost_events: LOST_EVENTS,
        seed,
    };
    world::run(scenario, Duration::from_secs(60))
}

struct Figures {
    name: &'static str,
    cached: f64,
    p95: f64,
    answered: f64,
    latencies: Vec<f64>,
}

impl Figures {
    fn new(strategy: Strategy, results: &Results) -> Self {
        let (mut prompt, mut cached, mut answered, mut all) = (0.0, 0.0, 0.0, 0.0);
        let mut latencies = Vec::new();
        for (arrival, record) in between(results, WARM_UP, TRAFFIC.length) {
            prompt += f64::from(arrival.prompt);
            cached += f64::from(record.cached);
            answered += f64::from(u8::from(matches!(record.end, End::Done(_))));
            all += 1.0;
            latencies.push(latency(arrival, record));
        }
        Self {
            name: strategy.name(),
            cached: share(cached, prompt),
            p95: quantile(latencies.clone(), 0.95),
            answered: share(answered, all),
            latencies,
        }
    }

    fn row(&self) -> Vec<String> {
        vec![
            self.name.into(),
            format!("{:.3}", self.cached),
            format!("{:.3}", quantile(self.latencies.clone(), 0.5)),
            format!("{:.3}", self.p95),
            format!("{:.4}", self.answered),
        ]
    }

    fn series(&self) -> Series {
        let ranks = (1..100).map(|it| f64::from(it) / 100.0);
        Series {
            name: self.name.into(),
            points: ranks
                .map(|it| (it, quantile(self.latencies.clone(), it)))
                .collect(),
        }
    }
}
