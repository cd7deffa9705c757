//! Engines that return cold or slow: what reaches them while they are cold, and when they carry their share.
//!
//! Virtual time; each node runs the unchanged [`forward::warm_up`] and [`forward::permit`]. A third of the engines returns
//! within half a second. Compared are no limit, a fixed ramp by each node, and the product.

use std::time::Duration;

use crate::report::{Report, Series, Table, Target};

mod engine;
mod event;
mod node;
mod outcome;
mod simulation;

#[cfg(test)]
mod tests;

use engine::Return;
use outcome::Outcome;
use simulation::{DURATION, Limit, Trial};

const COLD_TIME: Duration = Duration::from_secs(3);
const COLD_RATE: f64 = 12.0;

/// Requests that a cold engine may receive in any second.
const MAX_REQUESTS: f64 = COLD_RATE * 1.5 + 5.0;

/// Part of its share that an engine has to carry, and the time after its cold time in which it has to.
const PART: f64 = 0.8;
const MAX_TIME: f64 = 3.0;

/// Periods after the cold time in which the carried part of the share is measured.
const EARLY: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(3)];
const LATE: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(8)];

/// Nodes, engines and load as a multiple of the usual one.
const FLEETS: [(usize, usize, f64); 4] = [(8, 8, 1.0), (71, 90, 1.0), (85, 90, 1.0), (85, 90, 2.5)];

const KINDS: [(Return, &str); 3] = [
    (Return::Cold, "cold"),
    (Return::Slow, "slow"),
    (Return::Again, "again"),
];

const LIMITS: [(Limit, &str); 3] = [
    (Limit::None, "none"),
    (Limit::Ramp, "ramp"),
    (Limit::Product, "product"),
];

/// Measures all fleets.
pub fn run(seed: u64) -> Report {
    let columns = [
        "nodes",
        "load",
        "return",
        "limit",
        "worst second",
        "crashes",
        "0.8 of share after s (worst)",
        "share at 1 to 3 s",
        "at 3 to 8 s",
        "first event s",
        "others s",
        "unserved",
    ];
    let mut report = Report {
        experiment: "warm-up".into(),
        seed,
        targets: vec![],
        table: Table {
            columns: columns.map(String::from).to_vec(),
            rows: vec![],
        },
        x_label: "nodes".into(),
        y_label: "requests in the worst second".into(),
        series: vec![],
    };
    for (kind, kind_name) in KINDS {
        for (limit, limit_name) in LIMITS {
            let mut points = vec![];
            for (nodes, engines, load) in FLEETS {
                let trial = Trial {
                    nodes,
                    engines,
                    load,
                    kind,
                    limit,
                };
                let outcome = simulation::run(trial, seed);
                let name = format!("{nodes} nodes, load {load}, {kind_name}");
                let head = [
                    nodes.to_string(),
                    load.to_string(),
                    kind_name.into(),
                    limit_name.into(),
                ];
                report.table.rows.push(row(head, &outcome));
                if limit == Limit::Product {
                    report.targets.extend(targets(&name, kind, load, &outcome));
                }
                if load == 1.0 {
                    points.push((nodes as f64, outcome.worst_second() as f64));
                }
            }
            report.series.push(Series {
                name: format!("{kind_name}, {limit_name}"),
                points,
            });
        }
    }
    report
}

fn targets(name: &str, kind: Return, load: f64, outcome: &Outcome) -> Vec<Target> {
    let worst = outcome.worst_second() as f64;
    let bound = Target::at_most(format!("{name}: requests in a second"), MAX_REQUESTS, worst);
    let (_, longest) = outcome.time_to_share(PART, DURATION);
    let part = outcome.part(LATE[0], LATE[1]);
    match kind {
        Return::Cold => vec![
            bound,
            Target::at_most(
                format!("{name}: s until 0.8 of the share"),
                MAX_TIME,
                longest.as_secs_f64(),
            ),
            Target::at_least(format!("{name}: share at 3 to 8 s"), PART, part),
        ],
        Return::Slow => {
            let rate = outcome.part(EARLY[0], EARLY[1]);
            let half = COLD_RATE / 2.0 / outcome_share(load);
            vec![
                bound,
                Target::at_most(format!("{name}: share at 1 to 3 s"), half, rate),
            ]
        }
        Return::Again => vec![bound],
    }
}

fn outcome_share(load: f64) -> f64 {
    simulation::RATE * load
}

fn row(head: [String; 4], outcome: &Outcome) -> Vec<String> {
    let (mean, longest) = outcome.time_to_share(PART, DURATION);
    let cells = [
        outcome.worst_second().to_string(),
        outcome.crashes.to_string(),
        format!("{:.1} ({:.1})", mean.as_secs_f64(), longest.as_secs_f64()),
        format!("{:.2}", outcome.part(EARLY[0], EARLY[1])),
        format!("{:.2}", outcome.part(LATE[0], LATE[1])),
        format!("{:.2}", outcome.returning_first_event().as_secs_f64()),
        format!("{:.2}", outcome.other_first_event().as_secs_f64()),
        outcome.unserved.to_string(),
    ];
    head.into_iter().chain(cells).collect()
}
