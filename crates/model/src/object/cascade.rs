//! Cascades.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Object that a step of a cascade refers to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// The current version of a model.
    Model(Name),
    /// A specific version.
    Version(Name),
    /// All steps of another cascade.
    Cascade(Name),
}

/// List of candidates for a request, usually ordered from cheapest to most expensive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Unique name.
    pub name: Name,
    /// Candidates; the policy chooses among them by cost and quality.
    pub steps: Vec<Target>,
}
