//! Cascades.

use serde::{Deserialize, Serialize};

use crate::Name;

/// What a step of a cascade refers to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// The version of the model that is in force.
    Model(Name),
    /// One version.
    Version(Name),
    /// All steps of another cascade.
    Cascade(Name),
}

/// Candidates for a request, usually the cheapest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Unique name.
    pub name: Name,
    /// Candidates; the policy chooses among them by cost and quality.
    pub steps: Vec<Target>,
}
