//! Cost at the quality target: the cascade planner against baselines and an oracle.
//!
//! One organisation without any history sends requests of three classes to four nodes, which exchange counters every
//! second. The versions differ in price, latency and adequacy; part of the difficulty of a request is common to all
//! versions. Every variant answers the same requests with the same draws. The oracle knows the true adequacies, the
//! common difficulty and the arrival of ratings, and draws from the cheapest mixture of plans that meets the target.
//! The cheapest single plan that meets it is a further baseline; it costs more, since it mostly exceeds the target.
//!
//! Figures after 2,000 requests are taken over requests 2,000 to 4,000; in the scenarios with a change it happens at
//! request 2,000, so that they include the whole adaptation.

use crate::report::{Report, Series, Table, Target};

mod oracle;
mod simulation;
mod world;

use simulation::{Simulation, Totals};
use world::{Change, Scenario};

const SEEDS: u64 = 20;
const WARM_UP: usize = 2000;
const REQUESTS: usize = 4000;
const COST_RATIO: f64 = 1.15;
const SHORTFALL_POINTS: f64 = 1.0;
/// Requests per point of the plot.
const BUCKET: usize = 200;

/// How versions are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Cheapest mixture of two plans by true adequacy.
    Oracle,
    /// Cheapest single plan by true adequacy.
    SinglePlan,
    /// `policy::cascade`.
    Planner,
    /// Dearest version for every request.
    AlwaysBest,
    /// Cheapest version for every request.
    AlwaysCheapest,
    /// Cheapest version with a rating, then the dearest; the middle version for interactive requests.
    FixedCascade,
}

const VARIANTS: [(Variant, &str); 6] = [
    (Variant::Oracle, "oracle"),
    (Variant::SinglePlan, "oracle-one-plan"),
    (Variant::Planner, "planner"),
    (Variant::AlwaysBest, "always-best"),
    (Variant::AlwaysCheapest, "always-cheapest"),
    (Variant::FixedCascade, "fixed-cascade"),
];

const SCENARIOS: [(Scenario, &str); 4] = [
    (Scenario::STEADY, "steady"),
    (Scenario::STEADY.missing(0.3), "30% of ratings missing"),
    (Scenario::STEADY.change(Change::Degrades), "a version degrades"),
    (Scenario::STEADY.change(Change::Improves), "a version improves"),
];

/// Runs all scenarios and variants.
pub fn run(seed: u64) -> Report {
    let mut report = Report {
        experiment: "cascade".into(),
        seed,
        targets: vec![],
        table: Table {
            columns: [
                "scenario",
                "variant",
                "cost ratio after 2000",
                "worst seed",
                "cost ratio before 2000",
                "shortfall points after 2000",
                "worst seed",
                "shortfall points before 2000",
                "rejected cost share",
                "ratio interactive",
                "ratio standard",
                "ratio batch",
            ]
            .map(String::from)
            .to_vec(),
            rows: vec![],
        },
        x_label: "requests".into(),
        y_label: "cost of the planner / cost of the oracle".into(),
        series: vec![],
    };
    for (scenario, name) in SCENARIOS {
        add(&mut report, scenario, name);
    }
    report
}

fn add(report: &mut Report, scenario: Scenario, name: &str) {
    let seeds = || (0..SEEDS).map(|it| report.seed * 1000 + it);
    let simulate = |variant| -> Vec<_> {
        seeds()
            .map(|it| Simulation::new(scenario, variant, it).run(REQUESTS, WARM_UP))
            .collect()
    };
    let runs: Vec<_> = VARIANTS
        .iter()
        .map(|&(variant, label)| (label, simulate(variant)))
        .collect();
    let oracle = &runs[0].1;
    for (label, outcome) in &runs {
        let after = Comparison::new(outcome, oracle, WARM_UP..REQUESTS);
        let before = Comparison::new(outcome, oracle, 0..WARM_UP);
        let mut row = vec![
            name.into(),
            (*label).into(),
            format!("{:.3}", after.ratio),
            format!("{:.3}", after.worst_ratio),
            format!("{:.3}", before.ratio),
            format!("{:.2}", after.shortfall),
            format!("{:.2}", after.worst_shortfall),
            format!("{:.2}", before.shortfall),
            format!("{:.3}", after.rejected),
        ];
        row.extend(after.class_ratios.map(|it| format!("{it:.3}")));
        report.table.rows.push(row);
        if *label != "planner" {
            continue;
        }
        report.targets.extend([
            Target::at_most(
                format!("{name}: cost / oracle after 2000 requests, mean of 20 seeds"),
                COST_RATIO,
                after.ratio,
            ),
            Target::at_most(
                format!("{name}: points below the quality target, worst class, mean of 20 seeds"),
                SHORTFALL_POINTS,
                after.shortfall,
            ),
        ]);
        report.series.push(Series {
            name: name.into(),
            points: (0..REQUESTS / BUCKET)
                .map(|it| it * BUCKET..(it + 1) * BUCKET)
                .map(|it| (it.end as f64, Comparison::new(outcome, oracle, it).ratio))
                .collect(),
        });
    }
}

/// Figures of a variant over a range of requests.
struct Comparison {
    ratio: f64,
    worst_ratio: f64,
    shortfall: f64,
    worst_shortfall: f64,
    rejected: f64,
    class_ratios: [f64; world::CLASSES.len()],
}

impl Comparison {
    fn new(
        runs: &[Vec<simulation::Served>],
        oracle: &[Vec<simulation::Served>],
        range: std::ops::Range<usize>,
    ) -> Self {
        let seeds = runs.len() as f64;
        let totals: Vec<_> = runs.iter().map(|it| Totals::new(&it[range.clone()])).collect();
        let reference: Vec<_> = oracle.iter().map(|it| Totals::new(&it[range.clone()])).collect();
        let ratios: Vec<_> = totals
            .iter()
            .zip(&reference)
            .map(|(it, other)| it.cost / other.cost)
            .collect();
        let class_ratio = |class: usize| {
            let pairs = totals.iter().zip(&reference);
            pairs
                .map(|(it, other)| it.costs[class] / other.costs[class])
                .sum::<f64>()
                / seeds
        };
        let mean = |idx: usize| totals.iter().map(|it| it.adequacy[idx]).sum::<f64>() / seeds;
        let shortfall = |adequacy: f64| (world::QUALITY - adequacy) * 100.0;
        let overall = |it: &Totals| shortfall(it.adequate);
        Self {
            ratio: ratios.iter().sum::<f64>() / seeds,
            worst_ratio: ratios.iter().copied().fold(0.0, f64::max),
            shortfall: (0..world::CLASSES.len())
                .map(|it| shortfall(mean(it)))
                .fold(f64::MIN, f64::max),
            worst_shortfall: totals.iter().map(overall).fold(f64::MIN, f64::max),
            class_ratios: std::array::from_fn(class_ratio),
            rejected: totals.iter().map(|it| it.rejected / it.cost).sum::<f64>() / seeds,
        }
    }
}
