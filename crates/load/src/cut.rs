//! Nodes that lose their paths to the engines: how soon and how often their callers are served, and what it costs others.
//!
//! Virtual time; each node runs the unchanged [`forward::path`].

use std::time::Duration;

use crate::report::{Report, Table, Target};

mod fleet;

#[cfg(test)]
mod tests;

use fleet::{Fleet, Outcome, Trial};

const NODES: [usize; 4] = [8, 59, 195, 340];

/// Shares of the nodes that are cut off.
const SHARES: [f64; 4] = [0.1, 0.4, 0.9, 1.0];

/// Times in which a connection over a cut path fails: it is refused, or hangs until the timeout.
const FAILURE_TIMES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(300)];

const SEEDS: u64 = 5;

/// Share of the requests at nodes that are cut off, from [`Trial::STABILITY_WINDOW`] after the begin of the cut, that have
/// to be served, relative to the others.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Shares of the engines that end at the same moment.
const ENDED: [f64; 2] = [0.25, 0.5];

/// Share of the requests that have to be served then: the engines that are left can take them.
const MIN_SERVED_BESIDE_ENDED: f64 = 0.98;

/// Time in which a request has to be refused that nobody can serve.
const MAX_REFUSAL_TIME: f64 = 0.1;

/// Runs all scenarios.
pub fn run(seed: u64) -> Report {
    let columns = [
        "fleet",
        "served",
        "served late, worst node",
        "first served after s, worst node",
        "direct again after s, worst node",
        "passed on",
        "taken by the busiest / mean",
        "datagrams a node and s, in the cut",
        "refused within s, worst",
    ];
    let mut report = Report {
        experiment: "cut".into(),
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
    for nodes in NODES {
        for share in SHARES {
            for failure_time in FAILURE_TIMES {
                measure(
                    &mut report,
                    Trial {
                        nodes,
                        share,
                        failure_time,
                        ended: 0.0,
                    },
                );
            }
        }
        for ended in ENDED {
            measure_ended(&mut report, nodes, ended);
        }
    }
    report
}

/// Requests while a share of the engines has ended and no path is cut.
fn measure_ended(report: &mut Report, nodes: usize, ended: f64) {
    let trial = Trial {
        nodes,
        share: 0.0,
        failure_time: Duration::ZERO,
        ended,
    };
    let seeds = (0..SEEDS).map(|it| report.seed * 1000 + it);
    let served = seeds.map(|it| Fleet::run(trial, it).served_share());
    let least = served.fold(1.0, f64::min);
    let name = format!("{nodes} nodes, {ended} of the engines ended");
    let mut row = vec![name.clone(), format!("{least:.4}")];
    row.resize(report.table.columns.len(), "-".into());
    report.table.rows.push(row);
    report.targets.push(Target::at_least(
        format!("{name}: served"),
        MIN_SERVED_BESIDE_ENDED,
        least,
    ));
}

fn measure(report: &mut Report, trial: Trial) {
    let seeds = (0..SEEDS).map(|it| report.seed * 1000 + it);
    let outcomes: Vec<_> = seeds.map(|it| Fleet::run(trial, it)).collect();
    let worst = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
    let least = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).fold(1.0, f64::min);
    let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let how = match trial.failure_time.is_zero() {
        true => "refused",
        false => "hanging",
    };
    let name = format!(
        "{} nodes, {} cut off, connections {how}",
        trial.nodes, trial.share
    );
    report.table.rows.push(vec![
        name.clone(),
        format!("{:.4}", mean(&Outcome::served_share)),
        format!("{:.3}", least(&Outcome::least_served_late)),
        format!("{:.2}", worst(&|it| it.first_served.as_secs_f64())),
        format!("{:.2}", worst(&|it| it.direct_again.as_secs_f64())),
        format!("{:.0}", mean(&|it| it.passed_on as f64)),
        format!("{:.2}", mean(&Outcome::imbalance)),
        format!("{:.2}", mean(&|it| it.datagrams_per_node(trial))),
        format!("{:.3}", worst(&|it| it.longest_refusal.as_secs_f64())),
    ]);
    if trial.share < 1.0 {
        report.targets.push(Target::at_least(
            format!("{name}: served late"),
            MIN_SERVED_SHARE,
            least(&Outcome::least_served_late),
        ));
        return;
    }
    report.targets.extend([
        Target::at_most(
            format!("{name}: passed on"),
            0.0,
            worst(&|it| it.passed_on as f64),
        ),
        Target::at_most(
            format!("{name}: refused within s"),
            MAX_REFUSAL_TIME,
            worst(&|it| it.longest_refusal.as_secs_f64()),
        ),
    ]);
}
