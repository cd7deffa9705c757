//! Versions of models.

use serde::{Deserialize, Serialize};

use crate::{Cost, Name};

/// Whether a version takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new requests.
    Live,
    /// Takes no new request; streams under way finish.
    Withdrawn,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Unique name over all models.
    pub name: Name,
    /// Model that it belongs to.
    pub model: Name,
    /// Pool of engines that serve it.
    pub pool: Name,
    /// Whether it takes new requests.
    pub state: State,
    /// Price of a prompt token.
    pub input_price: Cost,
    /// Price of a generated token.
    pub output_price: Cost,
}
