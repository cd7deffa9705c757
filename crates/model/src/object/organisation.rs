//! Organisations.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A customer with its bearer keys, permissions and quality target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// Hexadecimal SHA-256 hashes of the bearer keys.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Models whose versions are all allowed.
    #[serde(default)]
    pub models: Vec<Name>,
    /// Additional versions that are allowed.
    #[serde(default)]
    pub versions: Vec<Name>,
    /// Cascades that may be requested.
    #[serde(default)]
    pub cascades: Vec<Name>,
    /// Plain services that may be called.
    #[serde(default)]
    pub services: Vec<Name>,
    /// Weight in fair queueing, 1 to 1000.
    pub weight: u32,
    /// Minimum share of adequate answers in thousandths, 0 to 1000.
    pub quality_permille: u16,
}
