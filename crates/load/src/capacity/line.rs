//! One cost of one mechanism.

use super::Sample;

/// What is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Bytes sent a second by one node.
    Bytes,
    /// Share of one core.
    Cpu,
    /// Bytes of memory of one node.
    Memory,
    /// Appends to the log a second by all nodes.
    Appends,
}

/// Whose budget a line belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Control: it counts against the budget of a node.
    Control,
    /// Work for each request: it grows with the traffic of the node, and stands beside the control budget.
    Request,
}

/// A slope, and the number of units at the target.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Mechanism that spends it.
    pub mechanism: &'static str,
    /// Whose budget it belongs to.
    pub scope: Scope,
    /// What is spent.
    pub resource: Resource,
    /// Cost of one unit.
    pub slope: Sample,
    /// The unit.
    pub per: &'static str,
    /// Units at the target.
    pub units: f64,
}

impl Resource {
    /// All resources.
    pub const ALL: [Self; 4] = [Self::Bytes, Self::Cpu, Self::Memory, Self::Appends];

    /// The budget at the target size.
    pub fn budget(self) -> f64 {
        match self {
            Self::Bytes => 3_000.0,
            Self::Cpu => 0.01,
            Self::Memory => 128e6,
            Self::Appends => 300.0,
        }
    }

    /// Name of the budget in the report.
    pub fn budget_name(self) -> &'static str {
        match self {
            Self::Bytes => "control bytes sent a second by one node",
            Self::Cpu => "control share of a core of one node",
            Self::Memory => "control memory of one node in bytes",
            Self::Appends => "appends a second by all nodes",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Bytes => "bytes/s",
            Self::Cpu => "core share",
            Self::Memory => "bytes held",
            Self::Appends => "appends/s",
        }
    }
}

impl Line {
    /// A cost that counts against the control budget of a node.
    pub fn control(
        mechanism: &'static str,
        resource: Resource,
        slope: Sample,
        per: &'static str,
        units: f64,
    ) -> Self {
        Self {
            mechanism,
            scope: Scope::Control,
            resource,
            slope,
            per,
            units,
        }
    }

    /// Cost at the target.
    pub fn at_target(&self) -> f64 {
        self.slope.median * self.units
    }

    /// Cells of the report's table.
    pub fn row(&self) -> Vec<String> {
        let scope = match self.scope {
            Scope::Control => "control",
            Scope::Request => "request",
        };
        vec![
            self.mechanism.to_owned(),
            scope.to_owned(),
            self.resource.name().to_owned(),
            number(self.slope.median),
            format!("{}..{}", number(self.slope.low), number(self.slope.high)),
            self.per.to_owned(),
            number(self.units),
            number(self.at_target()),
        ]
    }
}

fn number(value: f64) -> String {
    match value.abs() {
        it if it >= 100.0 || it == 0.0 => format!("{value:.0}"),
        it if it >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}
