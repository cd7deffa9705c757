//! Load exchange on entry nodes: how well the estimate of an engine's load matches its load, and the age of what a node
//! knows, with and without the exchange.
//!
//! Virtual time; each node runs the unchanged [`forward::load`] and [`forward::load_exchange`]. Requests arrive at random,
//! go to random nodes and engines, and stay for a random time, so that loads differ as they do without any placement.

use crate::report::{Report, Series, Table, Target};

mod simulation;

#[cfg(test)]
mod tests;

use simulation::{Outcome, Trial};

/// Numbers of nodes.
const NODES: [usize; 5] = [8, 71, 85, 195, 340];

/// Fleets for which the correlation has a target.
const TARGET_NODES: [usize; 2] = [71, 85];

/// Bytes that a node may send in a second, with the headers of its datagrams, for each number of nodes.
const MAX_BYTES: [f64; 5] = [8500.0, 8500.0, 8500.0, 5200.0, 3000.0];

/// Measures all fleets.
pub fn run(seed: u64) -> Report {
    let columns = [
        "nodes",
        "exchange",
        "correlation",
        "age p50 s",
        "age p90 s",
        "without report",
        "bytes/s a node",
    ];
    let mut report = Report {
        experiment: "loads".into(),
        seed,
        targets: vec![],
        table: Table {
            columns: columns.map(String::from).to_vec(),
            rows: vec![],
        },
        x_label: "nodes".into(),
        y_label: "correlation of estimate and load".into(),
        series: vec![],
    };
    for exchange in [false, true] {
        let outcomes = NODES.map(|nodes| (nodes, simulation::run(Trial { nodes, exchange }, seed)));
        for (nodes, outcome) in &outcomes {
            report.table.rows.push(row(*nodes, exchange, outcome));
        }
        let point = |(nodes, it): &(usize, Outcome)| (*nodes as f64, it.correlation);
        report.series.push(Series {
            name: if exchange { "exchange" } else { "own reports" }.into(),
            points: outcomes.iter().map(point).collect(),
        });
        if exchange {
            let bounded = outcomes.iter().zip(MAX_BYTES);
            report.targets = bounded
                .flat_map(|(it, bytes)| targets(it.0, &it.1, bytes))
                .collect();
        }
    }
    report
}

fn targets(nodes: usize, outcome: &Outcome, max_bytes: f64) -> Vec<Target> {
    let bytes = Target::at_most(format!("{nodes} nodes: bytes/s a node"), max_bytes, outcome.bytes);
    let is_target = TARGET_NODES.contains(&nodes);
    let correlation =
        is_target.then(|| Target::at_least(format!("{nodes} nodes: correlation"), 0.8, outcome.correlation));
    correlation.into_iter().chain([bytes]).collect()
}

fn row(nodes: usize, exchange: bool, outcome: &Outcome) -> Vec<String> {
    let age = |quantile| outcome.age(quantile).as_secs_f64();
    vec![
        nodes.to_string(),
        if exchange { "yes" } else { "no" }.into(),
        format!("{:.3}", outcome.correlation),
        format!("{:.2}", age(0.5)),
        format!("{:.2}", age(0.9)),
        format!("{:.3}", outcome.without_report),
        format!("{:.0}", outcome.bytes),
    ]
}
