//! Roll-outs.

use serde::{Deserialize, Serialize};

use crate::Name;

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The new version gets the share of the current stage.
    Running,
    /// Stopped by evidence or by an operator; the new version gets no new session.
    Halted,
    /// Complete; the new version is the default.
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
    /// Version before.
    pub from: Name,
    /// Version after.
    pub to: Name,
    /// Share of new sessions and sessionless requests for each stage in thousandths, ascending, the last one 1000.
    pub stages: Vec<u16>,
    /// Index of the current stage.
    pub stage: u16,
    /// State.
    pub state: State,
    /// Greatest number of requests of the whole fleet that may have run on the new version before the first stage
    /// is decided.
    pub exposure_budget: u32,
}
