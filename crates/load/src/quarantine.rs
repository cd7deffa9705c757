//! Requests that end engines: how many reach engines once that is known, and what it costs sound ones.
//!
//! Virtual time; each node runs the unchanged [`forward::quarantine`].

use crate::report::{Report, Table, Target};

mod event;
mod flight;
mod outcome;
mod scenario;
mod traffic;
mod world;

#[cfg(test)]
mod tests;

use outcome::Outcome;
use scenario::{Rule, Scale, Service, Trial, Trouble};
use world::World;

const SEEDS: u64 = 6;

/// Threads over which seeds are spread; the figures do not depend on it.
const THREADS: u64 = 3;

const SCALES: [Scale; 5] = [
    Scale {
        service: Service::Plain,
        nodes: 8,
        engines: 3,
        rate: 32.0,
        first_parts: 8,
    },
    Scale {
        service: Service::Plain,
        nodes: 60,
        engines: 40,
        rate: 400.0,
        first_parts: 8,
    },
    Scale {
        service: Service::Model,
        nodes: 8,
        engines: 18,
        rate: 93.0,
        first_parts: 8,
    },
    Scale {
        service: Service::Model,
        nodes: 60,
        engines: 300,
        rate: 450.0,
        first_parts: 8,
    },
    Scale {
        service: Service::Model,
        nodes: 340,
        engines: 1360,
        rate: 970.0,
        first_parts: 8,
    },
];

/// Fatal requests a second.
const FATAL_RATES: [f64; 3] = [0.0, 0.5, 4.0];

/// Fatal requests that may reach engines after the stability window.
const MAX_LATE: f64 = 3.0;

/// Share of the requests with one first part that may be held back.
const MAX_HELD_SHARE: f64 = 0.5;

/// Share of the sound requests that have to be served from [`Trial::STABILITY_WINDOW`] after the return of the engines.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Runs all scenarios.
pub fn run(seed: u64) -> Report {
    let columns = [
        "fleet",
        "seeds",
        "engines ended",
        "late",
        "late, worst",
        "held by all s",
        "sound held",
        "worst first part",
        "sound served once engines are back",
        "false holds",
        "datagrams a node and s",
    ];
    let mut report = Report {
        experiment: "quarantine".into(),
        seed,
        targets: vec![],
        table: Table {
            columns: columns.map(String::from).to_vec(),
            rows: vec![],
        },
        x_label: String::new(),
        y_label: String::new(),
        series: vec![],
    };
    for scale in SCALES {
        // The figures of a large fleet vary less.
        let seeds = (SEEDS * 8 / scale.nodes as u64).clamp(1, SEEDS);
        for rule in [Rule::None, Rule::Alone, Rule::Fleet] {
            for trouble in Trouble::ALL {
                let is_large = scale.nodes > 100;
                if (rule != Rule::Fleet || is_large) && trouble != Trouble::None {
                    continue;
                }
                for fatal_rate in FATAL_RATES {
                    let trial = Trial {
                        scale,
                        trouble,
                        rule,
                        fatal_rate,
                    };
                    measure(&mut report, trial, seeds);
                }
            }
        }
    }
    report
}

fn measure(report: &mut Report, trial: Trial, seeds: u64) {
    let outcomes = simulate(trial, report.seed * 1000, seeds);
    let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let worst = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
    let name = format!(
        "{:?}, {} nodes, {}, {}, {} fatal/s",
        trial.scale.service,
        trial.scale.nodes,
        trial.rule.label(),
        trial.trouble.label(),
        trial.fatal_rate
    );
    let late = |it: &Outcome| it.late as f64;
    let held_by_all = |it: &Outcome| {
        let known = it
            .fatal_ends
            .get(trial.fatal_ends() - 1)
            .copied()
            .unwrap_or_default();
        it.held_by_all_at
            .map_or(Trial::LENGTH, |at| at.saturating_sub(known))
            .as_secs_f64()
    };
    let least_served = outcomes
        .iter()
        .map(Outcome::share_served_when_settled)
        .fold(1.0, f64::min);
    let seconds = Trial::LENGTH.as_secs_f64() * trial.scale.nodes as f64;
    report.table.rows.push(vec![
        name.clone(),
        seeds.to_string(),
        format!("{:.1}", mean(&|it| it.fatal_ends.len() as f64)),
        format!("{:.2}", mean(&late)),
        format!("{}", worst(&late)),
        match trial.fatal_rate {
            0.0 => "-".into(),
            _ => format!("{:.2}", mean(&held_by_all)),
        },
        format!(
            "{:.3}%",
            mean(&|it| it.held as f64 / it.sound.max(1) as f64) * 100.0
        ),
        format!("{:.3}%", worst(&|it| it.worst_held_share) * 100.0),
        format!("{least_served:.3}"),
        format!("{:.2}", mean(&|it| it.false_holds as f64)),
        format!("{:.2}", mean(&|it| it.datagrams as f64) / seconds),
    ]);
    if trial.rule == Rule::Fleet {
        report.targets.extend([
            Target::at_most(format!("{name}: late"), MAX_LATE, worst(&late)),
            Target::at_most(
                format!("{name}: worst first part held"),
                MAX_HELD_SHARE,
                worst(&|it| it.worst_held_share),
            ),
        ]);
        if trial.trouble == Trouble::BrokenConnections && trial.fatal_rate == 0.0 {
            report.targets.push(Target::at_most(
                format!("{name}: false holds"),
                0.0,
                worst(&|it| it.false_holds as f64),
            ));
        }
        if trial.trouble.breaks_no_requests() {
            report.targets.push(Target::at_least(
                format!("{name}: sound served once engines are back"),
                MIN_SERVED_SHARE,
                least_served,
            ));
        }
    }
}

fn simulate(trial: Trial, first: u64, seeds: u64) -> Vec<Outcome> {
    let part = seeds.div_ceil(THREADS).max(1);
    let run = |from: u64| {
        let seeds = from..(from + part).min(seeds);
        seeds.map(|it| World::run(trial, first + it)).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..seeds)
            .step_by(part as usize)
            .map(|from| scope.spawn(move || run(from)))
            .collect();
        let joined = parts
            .into_iter()
            .map(|it| it.join().expect("a simulation panicked"));
        joined.flatten().collect()
    })
}
