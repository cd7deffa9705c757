//! Models.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A model with its default version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Unique name.
    pub name: Name,
    /// Version used when a request names the model and no roll-out applies.
    pub default_version: Name,
}
