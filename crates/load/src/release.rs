//! Releases on entry nodes: exposure to a bad version, and good versions that are halted or late.
//!
//! Virtual time; each node runs the unchanged [`forward::release`], grades responses as `entry` does and exchanges
//! counters each 0.5 s, of which some are lost.

use std::time::Duration;

use crate::report::{Report, Series, Table, Target};

mod baseline;
mod node;
mod simulation;
mod traffic;

#[cfg(test)]
mod tests;

use baseline::Rule;
use simulation::{Outcome, Trial, Trouble};
use traffic::{Quality, Service};

const SEEDS: u64 = 200;

/// Threads over which seeds are spread; the figures do not depend on it.
const THREADS: u64 = 3;

const RATES: [f64; 3] = [5.0, 30.0, 300.0];

const QUALITIES: [Quality; 11] = [
    Quality::Good,
    Quality::GreyEngine,
    Quality::Failing(0.05),
    Quality::Failing(0.2),
    Quality::Failing(0.5),
    Quality::Slow(2.0),
    Quality::Slow(4.0),
    Quality::Slow(8.0),
    Quality::SlowUnderLoad(4.0),
    Quality::OneRoute,
    Quality::Late,
];

const TROUBLES: [Trouble; 3] = [Trouble::None, Trouble::HalfBlind, Trouble::Restarts];

/// Runs all scenarios.
pub fn run(seed: u64) -> Report {
    run_with(seed, SEEDS)
}

fn run_with(seed: u64, seeds: u64) -> Report {
    let mut report = empty(seed);
    let variants = TROUBLES.map(|it| (it, None)).into_iter();
    let baselines = [Rule::FixedShare, Rule::Sequential].map(|it| (Trouble::None, Some(it)));
    for (trouble, baseline) in variants.chain(baselines) {
        for service in [Service::Plain, Service::Model] {
            for quality in QUALITIES {
                for rate in RATES {
                    let trial = Trial {
                        service,
                        quality,
                        rate,
                        trouble,
                        baseline,
                    };
                    measure(&mut report, trial, seeds);
                }
            }
        }
    }
    report
}

fn empty(seed: u64) -> Report {
    let columns = [
        "release",
        "seeds",
        "past bound",
        "over exposed",
        "not reverted",
        "halted",
        "late",
        "exposed p95",
        "halt s",
        "halt s p95",
        "complete s p95",
    ];
    Report {
        experiment: "release".into(),
        seed,
        targets: vec![],
        table: Table {
            columns: columns.map(String::from).to_vec(),
            rows: vec![],
        },
        x_label: "seconds from the order to the halt, plain service, 30 requests/s".into(),
        y_label: "share of bad versions halted".into(),
        series: vec![],
    }
}

fn measure(report: &mut Report, trial: Trial, seeds: u64) {
    let outcomes = simulate(trial, report.seed * 100_000, seeds);
    let share = |of: &dyn Fn(&Outcome) -> bool| {
        outcomes.iter().filter(|it| of(it)).count() as f64 / outcomes.len() as f64
    };
    let name = format!(
        "{}, {}, {}, {}/s",
        trial.service.label(),
        trial.baseline.map_or(trial.trouble.label(), Rule::label),
        trial.quality.label(),
        trial.rate
    );
    let past_bound = share(&|it| it.past_bound > 0);
    let over_exposed = share(&|it| it.is_over_exposed());
    let not_reverted = share(&|it| !it.is_reverted_in_time());
    let halted = share(&Outcome::is_halted);
    let late = share(&Outcome::is_late);
    let mut halts: Vec<_> = outcomes
        .iter()
        .map(|it| it.halted_at.unwrap_or(Duration::MAX))
        .collect();
    let mut exposed: Vec<_> = outcomes
        .iter()
        .map(|it| it.exposed as f64 / it.requests.max(1) as f64)
        .collect();
    halts.sort_unstable();
    exposed.sort_unstable_by(f64::total_cmp);
    let mut completions: Vec<_> = outcomes
        .iter()
        .map(|it| it.completed_at.unwrap_or(Duration::MAX))
        .collect();
    completions.sort_unstable();
    let percent = |it: f64| format!("{:.1}%", it * 100.0);
    let only = |cond: bool, text: String| if cond { text } else { "-".into() };
    let seconds = |it: Duration| match it {
        Duration::MAX => "never".into(),
        it => format!("{:.1}", it.as_secs_f64()),
    };
    let is_good = trial.quality.is_good();
    report.table.rows.push(vec![
        name.clone(),
        seeds.to_string(),
        only(!is_good, percent(past_bound)),
        only(!is_good, percent(over_exposed)),
        only(!is_good, percent(not_reverted)),
        percent(halted),
        only(is_good, percent(late)),
        format!("{:.3}", quantile(&exposed, 0.95)),
        only(!is_good, seconds(quantile(&halts, 0.5))),
        only(!is_good, seconds(quantile(&halts, 0.95))),
        only(is_good, seconds(quantile(&completions, 0.95))),
    ]);
    if trial.baseline.is_some() {
        return;
    }
    if !is_good && trial.is_plotted() {
        report.series.push(Series {
            name: trial.quality.label(),
            points: distribution(&halts),
        });
    }
    if is_good {
        report.targets.extend([
            Target::at_most(format!("{name}: halted"), 0.01, halted),
            Target::at_most(format!("{name}: late"), 0.0, late),
        ]);
    } else {
        report.targets.push(Target::at_most(
            format!("{name}: past the bound"),
            0.0,
            past_bound,
        ));
    }
}

/// Share of releases that are halted by each time.
fn distribution(halts: &[Duration]) -> Vec<(f64, f64)> {
    let count = halts.len() as f64;
    let halted = halts.iter().filter(|it| **it < Duration::MAX);
    halted
        .enumerate()
        .map(|(idx, it)| (it.as_secs_f64(), (idx + 1) as f64 / count))
        .collect()
}

fn quantile<T: Copy>(sorted: &[T], share: f64) -> T {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

fn simulate(trial: Trial, first: u64, seeds: u64) -> Vec<Outcome> {
    let part = seeds.div_ceil(THREADS);
    let run = |idx: u64| {
        let seeds = idx * part..((idx + 1) * part).min(seeds);
        seeds.map(|it| trial.run(first + it)).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS).map(|idx| scope.spawn(move || run(idx))).collect();
        let joined = parts
            .into_iter()
            .map(|it| it.join().expect("a simulation panicked"));
        joined.flatten().collect()
    })
}
