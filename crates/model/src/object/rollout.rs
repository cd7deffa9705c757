//! Roll-outs.

use serde::{Deserialize, Serialize};

use crate::Name;

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The new version receives the share of requests of the current stage.
    Running,
    /// Halted because of measured results or by an operator; the new version receives no new sessions.
    Halted,
    /// Completed; the new version is the default.
    Finished,
}

/// A gradual change from one version of a model to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Unique name.
    pub name: Name,
    /// Model whose default version changes.
    pub model: Name,
    /// Version before the roll-out.
    pub from: Name,
    /// Version after the roll-out.
    pub to: Name,
    /// Share of new sessions and sessionless requests for the new version at each stage, in thousandths. The
    /// shares increase, and the last one is 1000.
    pub stages: Vec<u16>,
    /// Index of the current stage.
    pub stage: u16,
    /// Current state.
    pub state: State,
    /// Maximum number of requests in the whole cluster that may run on the new version before the first stage
    /// is decided.
    pub exposure_budget: u32,
}
