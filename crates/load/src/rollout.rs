//! Exposure to a bad version and false halts of an equal one.
//!
//! Virtual time; every observer runs its own [`policy::rollout::Controller`] and exchanges evidence with the other
//! observers every 0.5 s; a proposal is in force everywhere 1 s later. Ratings arrive 4 to 6 s after the answer. At 8
//! nodes the model gets 28.5 requests/s, today's rate; at 340 nodes 9,700 requests/s, the peak of the target.
//!
//! Exposure counts all requests started on the new version before the roll-out ends, those under way included.

use crate::report::{Report, Series, Table, Target};

mod baseline;
mod simulation;

use simulation::{Fleet, Outcome, Quality, Trial};

const SEEDS: u64 = 200;
/// More seeds than for the exposure, since a share of 1% needs them: at 1% the standard error is 0.3 points.
const EQUAL_SEEDS: u64 = 1000;
const STAGED_SEEDS: u64 = 200;

/// Threads over which seeds are spread; the figures do not depend on it.
const THREADS: u64 = 4;

const MEAN_EXPOSURE: f64 = 45.0;
const P95_EXPOSURE: f64 = 90.0;
const FAILING_EXPOSURE: f64 = 10.0;
const FALSE_HALTS: f64 = 0.01;
const FLEET_DIFFERENCE: f64 = 0.2;

/// Runs all scenarios.
pub fn run(seed: u64) -> Report {
    let mut report = Report {
        experiment: "rollout".into(),
        seed,
        targets: vec![],
        table: Table {
            columns: [
                "scenario",
                "seeds",
                "halted",
                "advanced",
                "mean exposure",
                "p95",
                "max",
                "mean seconds",
            ]
            .map(String::from)
            .to_vec(),
            rows: vec![],
        },
        x_label: "exposure in requests".into(),
        y_label: "share of runs".into(),
        series: vec![],
    };
    fleets(&mut report);
    sensitivity(&mut report);
    baselines(&mut report);
    report
}

/// Targets at both sizes.
fn fleets(report: &mut Report) {
    let mut means: Vec<[f64; 3]> = vec![];
    for (name, fleet) in [("8 nodes", Fleet::SMALL), ("340 nodes", Fleet::LARGE)] {
        let worse = measure(
            report,
            &format!("{name}, 20 points worse"),
            Trial::new(fleet, Quality::WORSE),
            SEEDS,
        );
        let failing = measure(
            report,
            &format!("{name}, always failing"),
            Trial::new(fleet, Quality::FAILING),
            SEEDS,
        );
        let equal = measure(
            report,
            &format!("{name}, equal"),
            Trial::new(fleet, Quality::EQUAL),
            EQUAL_SEEDS,
        );
        report.targets.extend([
            Target::at_most(
                format!("{name}, 20 points worse: mean exposure"),
                MEAN_EXPOSURE,
                worse.mean,
            ),
            Target::at_most(
                format!("{name}, 20 points worse: p95 of exposure"),
                P95_EXPOSURE,
                worse.p95,
            ),
            Target::at_most(
                format!("{name}, always failing: greatest exposure"),
                FAILING_EXPOSURE,
                failing.max,
            ),
            Target::at_most(
                format!("{name}, equal: share of false halts"),
                FALSE_HALTS,
                equal.halted,
            ),
        ]);
        report.series.push(Series {
            name: format!("{name}, 20 points worse"),
            points: worse.distribution(),
        });
        means.push([worse.mean, worse.p95, failing.mean]);
    }
    for (idx, name) in [
        "mean exposure",
        "p95 of exposure",
        "mean exposure, always failing",
    ]
    .iter()
    .enumerate()
    {
        let difference = (means[1][idx] / means[0][idx] - 1.0).abs();
        report.targets.push(Target::at_most(
            format!("340 against 8 nodes, difference of {name}"),
            FLEET_DIFFERENCE,
            difference,
        ));
    }
}

fn sensitivity(report: &mut Report) {
    for rate in [5.0, 15.0, 60.0, 120.0] {
        let fleet = Fleet { rate, ..Fleet::SMALL };
        let trial = Trial::new(fleet, Quality::WORSE);
        measure(
            report,
            &format!("8 nodes, 20 points worse, {rate} requests/s"),
            trial,
            SEEDS,
        );
    }
    for old in [0.95, 0.85, 0.8] {
        let quality = Quality {
            adequate: (old, old - 0.2),
            ..Quality::WORSE
        };
        let trial = Trial::new(Fleet::SMALL, quality);
        measure(
            report,
            &format!("8 nodes, 20 points worse than {old}"),
            trial,
            SEEDS,
        );
    }
    let worse = Trial::new(Fleet::SMALL, Quality::WORSE);
    measure(
        report,
        "8 nodes, 20 points worse, 30% of ratings missing",
        Trial {
            missing: 0.3,
            ..worse
        },
        SEEDS,
    );
    measure(
        report,
        "8 nodes, 20 points worse, driver dies",
        Trial {
            driver_dies: true,
            ..worse
        },
        SEEDS,
    );
    let inadequate = Trial::new(Fleet::SMALL, Quality::INADEQUATE);
    measure(report, "8 nodes, always inadequate", inadequate, SEEDS);
    let slow = Trial::new(Fleet::SMALL, Quality::SLOW);
    measure(report, "8 nodes, slow answers 60% instead of 5%", slow, SEEDS);
    let staged = Trial {
        stages: &[50, 250, 1000],
        ..Trial::new(Fleet::SMALL, Quality::EQUAL)
    };
    measure(report, "8 nodes, equal, all stages", staged, STAGED_SEEDS);
}

fn baselines(report: &mut Report) {
    for (name, quality) in [("20 points worse", Quality::WORSE), ("equal", Quality::EQUAL)] {
        for (rule, label) in baseline::RULES {
            let outcomes = (0..SEEDS).map(|it| baseline::run(rule, quality, report.seed * 100_000 + it));
            let summary = Summary::new(&outcomes.collect::<Vec<_>>());
            report.table.rows.push(summary.row(&format!("{label}, {name}")));
        }
    }
}

fn measure(report: &mut Report, name: &str, trial: Trial, seeds: u64) -> Summary {
    let summary = Summary::new(&simulate(trial, report.seed * 100_000, seeds));
    report.table.rows.push(summary.row(name));
    summary
}

fn simulate(trial: Trial, first: u64, seeds: u64) -> Vec<Outcome> {
    let share = seeds.div_ceil(THREADS);
    let run = |part: u64| {
        let seeds = part * share..((part + 1) * share).min(seeds);
        seeds.map(|it| trial.run(first + it)).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS).map(|part| scope.spawn(move || run(part))).collect();
        let joined = parts
            .into_iter()
            .map(|it| it.join().expect("a simulation panicked"));
        joined.flatten().collect()
    })
}

/// Figures over all seeds of a scenario.
struct Summary {
    exposures: Vec<u64>,
    halted: f64,
    advanced: f64,
    mean: f64,
    p95: f64,
    max: f64,
    seconds: f64,
}

impl Summary {
    fn new(outcomes: &[Outcome]) -> Self {
        let count = outcomes.len() as f64;
        let share =
            |of: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|it| of(it)).count() as f64 / count;
        let mut exposures: Vec<_> = outcomes.iter().map(|it| it.exposure).collect();
        exposures.sort_unstable();
        let p95 = exposures[(exposures.len() * 95).div_ceil(100) - 1];
        Self {
            halted: share(&|it| it.end == simulation::End::Halted),
            advanced: share(&|it| it.end == simulation::End::Finished),
            mean: exposures.iter().sum::<u64>() as f64 / count,
            p95: p95 as f64,
            max: exposures.last().map_or(0.0, |it| *it as f64),
            seconds: outcomes.iter().map(|it| it.time.as_secs_f64()).sum::<f64>() / count,
            exposures,
        }
    }

    fn row(&self, name: &str) -> Vec<String> {
        vec![
            name.into(),
            self.exposures.len().to_string(),
            format!("{:.3}", self.halted),
            format!("{:.3}", self.advanced),
            format!("{:.1}", self.mean),
            format!("{:.0}", self.p95),
            format!("{:.0}", self.max),
            format!("{:.0}", self.seconds),
        ]
    }

    fn distribution(&self) -> Vec<(f64, f64)> {
        let count = self.exposures.len() as f64;
        let points = self.exposures.iter().enumerate();
        points
            .map(|(idx, it)| (*it as f64, (idx + 1) as f64 / count))
            .collect()
    }
}
