//! Overload: five minutes at twice the capacity, with one organisation at ten times its share.

use std::time::Duration;

use model::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::{Report, Series, Table, Target};
use crate::sim::engine::{Engine, Milestone, Spec, Work};
use crate::sim::node::Strategy;
use crate::sim::scenario::{End, Results, Scenario};
use crate::sim::stats::{between, fair_division, quantile, share, useful};
use crate::sim::traffic::{self, Phase};
use crate::sim::world;

const ENGINES: usize = 20;
const NODES: usize = 8;
const ORGANISATIONS: usize = 10;

/// Concurrency limit of a node at which all nodes together fill the batch of an engine.
const RIGHT_LIMIT: u32 = 8;

/// Load before and after the rush, relative to the capacity.
const USUAL_LOAD: f64 = 0.7;

const BEFORE: Duration = Duration::from_secs(60);
const RUSH: Duration = Duration::from_secs(300);
const AFTER: Duration = Duration::from_secs(60);

/// Time from the start of the rush after which limits have to be steady.
const SETTLING: Duration = Duration::from_secs(60);

/// Measures the policy and the baselines.
pub fn run(seed: u64) -> Report {
    let capacity = capacity(seed);
    let variants = [
        ("policy, first limit right", Strategy::Policy, RIGHT_LIMIT),
        ("policy, first limit too low", Strategy::Policy, RIGHT_LIMIT / 3),
        ("policy, first limit too high", Strategy::Policy, RIGHT_LIMIT * 3),
        ("round robin", Strategy::RoundRobin, RIGHT_LIMIT),
        ("least loaded by report", Strategy::LeastReported, RIGHT_LIMIT),
    ];
    let outcomes = variants.map(|(name, strategy, concurrency)| {
        (
            name,
            Figures::new(&simulate(strategy, concurrency, capacity, seed), capacity),
        )
    });
    let policies: Vec<&Figures> = outcomes[..3].iter().map(|it| &it.1).collect();
    Report {
        experiment: "rush".into(),
        seed,
        targets: targets(&policies),
        table: Table {
            columns: [
                "router",
                "useful/capacity",
                "interactive in time",
                "least share of others",
                "recovery s",
                "limit swing",
            ]
            .map(String::from)
            .to_vec(),
            rows: outcomes.iter().map(|(it, figures)| figures.row(it)).collect(),
        },
        x_label: "seconds".into(),
        y_label: "useful work relative to capacity".into(),
        series: outcomes
            .iter()
            .map(|(it, figures)| Series {
                name: (*it).into(),
                points: figures.curve.clone(),
            })
            .collect(),
    }
}

/// Work each second of one engine with a queue that is never empty.
pub fn capacity(seed: u64) -> f64 {
    const LENGTH: Duration = Duration::from_secs(200);
    const WARM_UP: Duration = Duration::from_secs(50);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engine = Engine::new(Spec::default());
    let mut works = Vec::new();
    let mut done = 0.0;
    let mut now = Duration::ZERO;
    while now < LENGTH {
        while engine.load().waiting < 4 {
            let it = traffic::draw(now, 0, 1, &mut rng);
            let work = Work {
                job: works.len() as u64,
                priority: 0,
                prompt: it.prompt,
                output: it.output,
                blocks: Vec::new(),
            };
            works.push(it.work());
            engine.push(work, now);
        }
        let Some(next) = engine.next() else { break };
        now = next;
        for (job, milestone, _) in engine.reached(now) {
            if milestone == Milestone::Done && now > WARM_UP {
                done += works[job as usize];
            }
        }
    }
    done / (LENGTH - WARM_UP).as_secs_f64()
}

fn simulate(strategy: Strategy, concurrency: u32, capacity: f64, seed: u64) -> Results {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = capacity * ENGINES as f64 / traffic::mean_work();
    let usual = Phase {
        length: BEFORE,
        rates: vec![rate * USUAL_LOAD / ORGANISATIONS as f64; ORGANISATIONS],
    };
    // The first organisation sends ten times its share, which is the capacity; the others send as much together.
    let mut rates = vec![rate / (ORGANISATIONS - 1) as f64; ORGANISATIONS];
    rates[0] = rate;
    let rush = Phase { length: RUSH, rates };
    let after = Phase {
        length: AFTER,
        ..usual.clone()
    };
    let scenario = Scenario {
        engines: ENGINES,
        nodes: NODES,
        spec: Spec::default(),
        strategy,
        concurrency,
        arrivals: traffic::mixed(&[usual, rush, after], NODES, &mut rng),
        faults: Vec::new(),
        lost_events: 0.0,
        seed,
    };
    world::run(scenario, Duration::from_secs(120))
}

struct Figures {
    throughput: f64,
    interactive: f64,
    others: f64,
    recovery: f64,
    swing: f64,
    curve: Vec<(f64, f64)>,
}

impl Figures {
    fn new(results: &Results, capacity: f64) -> Self {
        let total = capacity * ENGINES as f64;
        let curve = throughput(results, total);
        let rush = (BEFORE.as_secs() as usize)..((BEFORE + RUSH).as_secs() as usize);
        Self {
            throughput: curve[rush.clone()].iter().map(|it| it.1).sum::<f64>() / rush.len() as f64,
            interactive: interactive_in_time(results),
            others: least_share_of_others(results),
            recovery: recovery(results),
            swing: swing(results),
            curve,
        }
    }

    fn row(&self, name: &str) -> Vec<String> {
        vec![
            name.into(),
            format!("{:.3}", self.throughput),
            format!("{:.3}", self.interactive),
            format!("{:.3}", self.others),
            format!("{:.0}", self.recovery),
            format!("{:.3}", self.swing),
        ]
    }
}

/// Targets for the worst of several runs.
fn targets(runs: &[&Figures]) -> Vec<Target> {
    let least = |value: fn(&Figures) -> f64| runs.iter().map(|it| value(it)).fold(f64::MAX, f64::min);
    let most = |value: fn(&Figures) -> f64| runs.iter().map(|it| value(it)).fold(0.0, f64::max);
    vec![
        Target::at_least(
            "useful throughput relative to capacity",
            0.90,
            least(|it| it.throughput),
        ),
        Target::at_least(
            "admitted interactive requests in time",
            0.95,
            least(|it| it.interactive),
        ),
        Target::at_least(
            "least share of the other organisations",
            0.95,
            least(|it| it.others),
        ),
        Target::at_most("recovery in seconds", 10.0, most(|it| it.recovery)),
        Target::at_most("greatest deviation of a settled limit", 0.20, most(|it| it.swing)),
    ]
}

/// Work of answers that were complete in time, by second of completion.
fn throughput(results: &Results, total: f64) -> Vec<(f64, f64)> {
    let seconds = (BEFORE + RUSH + AFTER).as_secs() as usize;
    let mut curve: Vec<(f64, f64)> = (0..seconds).map(|it| (it as f64, 0.0)).collect();
    for (arrival, record) in results.arrivals.iter().zip(&results.records) {
        if let End::Done(at) = record.end
            && useful(arrival, record)
            && let Some(point) = curve.get_mut(at.as_secs() as usize)
        {
            point.1 += arrival.work() / total;
        }
    }
    curve
}

/// Share of interactive requests in time among those that were not refused on arrival.
fn interactive_in_time(results: &Results) -> f64 {
    let admitted = between(results, BEFORE, BEFORE + RUSH)
        .filter(|(it, record)| it.class == Class::Interactive && record.end != End::RefusedAtOnce);
    let (mut part, mut whole) = (0.0, 0.0);
    for (arrival, record) in admitted {
        whole += 1.0;
        part += f64::from(u8::from(useful(arrival, record)));
    }
    share(part, whole)
}

/// Least useful work of another organisation relative to its max-min fair share of each class's useful work.
fn least_share_of_others(results: &Results) -> f64 {
    let mut got = [0.0; ORGANISATIONS];
    let mut fair = [0.0; ORGANISATIONS];
    for class in Class::ALL {
        let mut demands = [0.0; ORGANISATIONS];
        let mut delivered = [0.0; ORGANISATIONS];
        for (arrival, record) in between(results, BEFORE, BEFORE + RUSH).filter(|it| it.0.class == class) {
            demands[arrival.organisation] += arrival.work();
            if useful(arrival, record) {
                delivered[arrival.organisation] += arrival.work();
            }
        }
        let shares = fair_division(&demands, delivered.iter().sum());
        for idx in 0..ORGANISATIONS {
            got[idx] += delivered[idx];
            fair[idx] += shares[idx];
        }
    }
    (1..ORGANISATIONS)
        .map(|it| share(got[it], fair[it]))
        .fold(f64::MAX, f64::min)
}

/// Seconds after the rush from which at least 95% of the arrivals of each second are answered in time.
fn recovery(results: &Results) -> f64 {
    let end = BEFORE + RUSH;
    let second = Duration::from_secs(1);
    let good = |idx: u32| {
        let from = end + second * idx;
        let (mut part, mut whole) = (0.0, 0.0);
        for (arrival, record) in between(results, from, from + second) {
            whole += 1.0;
            part += f64::from(u8::from(useful(arrival, record)));
        }
        share(part, whole) >= 0.95
    };
    let seconds = AFTER.as_secs() as u32;
    let last_bad = (0..seconds).rev().find(|it| !good(*it));
    last_bad.map_or(0.0, |it| f64::from(it + 1))
}

/// Greatest deviation of any limit from its mean after settling, relative to the mean.
fn swing(results: &Results) -> f64 {
    let from = (BEFORE + SETTLING).as_secs() as usize;
    let to = (BEFORE + RUSH).as_secs() as usize;
    let Some(samples) = results.limits.get(from..to.min(results.limits.len())) else {
        return 0.0;
    };
    let limits = samples.first().map_or(0, Vec::len);
    let deviations = (0..limits).map(|idx| {
        let values: Vec<f64> = samples.iter().filter_map(|it| it.get(idx).copied()).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        quantile(values.iter().map(|it| (it - mean).abs() / mean).collect(), 1.0)
    });
    deviations.fold(0.0, f64::max)
}
