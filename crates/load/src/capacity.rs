//! Slopes of the control plane, and what they come to at the target size.
//!
//! Each module measures one mechanism with the real library code and the real messages, and returns [`Line`]s. A line
//! holds a slope (a cost per unit) with the spread over several repeats, and the number of units at the target. The
//! report adds up the lines of each resource and compares the sums with the budget of a node.

use crate::report::{Report, Table, Target};

pub mod balancing;
pub mod billing;
pub mod configuration;
pub mod evidence;
pub mod keys;
mod line;
mod measure;
pub mod members;
pub mod polling;

pub use line::{Line, Resource, Scope};
pub use measure::Sample;

/// Nodes at the target.
pub const NODES: usize = 340;

/// Engines at the target.
pub const ENGINES: usize = 6_800;

/// Organisations at the target.
pub const ORGANISATIONS: usize = 1_000;

/// Versions at the target.
pub const VERSIONS: usize = 29;

/// Requests a second of one node at the target's peak.
pub const REQUESTS_PER_SECOND: f64 = 9_700.0 / 340.0;

/// Configuration changes a second at the target.
pub const CHANGES_PER_SECOND: f64 = 26_000.0 / 86_400.0;

/// Length of the log outage that billing and keys must survive, in seconds.
pub const OUTAGE_SECONDS: f64 = 3_600.0;

/// Measures all mechanisms.
pub fn run(seed: u64) -> Report {
    // Memory comes first, because memory that other measurements freed would be reused and hide the growth.
    let mut lines = vec![
        members::memory(),
        balancing::list_memory(),
        balancing::pool_memory(),
        keys::memory(),
    ];
    lines.extend([
        configuration::memory(),
        billing::memory(),
        balancing::index_memory(),
    ]);
    lines.extend(members::rates());
    lines.extend(configuration::rates());
    lines.extend(billing::rates());
    lines.push(keys::time());
    lines.push(balancing::time());
    lines.extend(evidence::lines());
    lines.extend(polling::lines());
    report(seed, &lines)
}

fn report(seed: u64, lines: &[Line]) -> Report {
    Report {
        experiment: "capacity".to_owned(),
        seed,
        targets: Resource::ALL.into_iter().map(|it| target(it, lines)).collect(),
        table: table(lines),
        x_label: "organisations, or nodes".to_owned(),
        y_label: "microseconds per configuration change, or bytes a second".to_owned(),
        series: configuration::series()
            .into_iter()
            .chain([members::series()])
            .collect(),
    }
}

fn target(resource: Resource, lines: &[Line]) -> Target {
    let control = lines
        .iter()
        .filter(|it| it.resource == resource && it.scope == Scope::Control);
    let sum = control.map(Line::at_target).sum();
    Target::at_most(resource.budget_name(), resource.budget(), sum)
}

fn table(lines: &[Line]) -> Table {
    let columns = [
        "mechanism",
        "scope",
        "resource",
        "slope",
        "spread",
        "per",
        "units at target",
        "at target",
    ];
    Table {
        columns: columns.map(str::to_owned).to_vec(),
        rows: lines.iter().map(Line::row).collect(),
    }
}
