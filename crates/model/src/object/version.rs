//! Versions of models.

use serde::{Deserialize, Serialize};

use crate::{Cost, Name};

/// Whether a version accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts new requests.
    Live,
    /// Accepts no new requests; streams in progress are completed.
    Withdrawn,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name, unique across all models.
    pub name: Name,
    /// Model that the version belongs to.
    pub model: Name,
    /// Pool of engines that serve the version.
    pub pool: Name,
    /// Whether the version accepts new requests.
    pub state: State,
    /// Price of a prompt token.
    pub input_price: Cost,
    /// Price of a generated token.
    pub output_price: Cost,
}
