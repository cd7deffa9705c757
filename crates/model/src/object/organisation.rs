//! Organisations.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A customer with its keys, permissions and quality target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// SHA-256 hashes of the bearer keys, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Models of which every version is allowed.
    #[serde(default)]
    pub models: Vec<Name>,
    /// Single versions that are allowed besides.
    #[serde(default)]
    pub versions: Vec<Name>,
    /// Cascades that may be requested.
    #[serde(default)]
    pub cascades: Vec<Name>,
    /// Plain services that may be called.
    #[serde(default)]
    pub services: Vec<Name>,
    /// Share in fair queueing, 1 to 1000.
    pub weight: u32,
    /// Least share of adequate answers in thousandths, 0 to 1000.
    pub quality_permille: u16,
}
