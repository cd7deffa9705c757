//! What is known about the execution of a refused request.

use serde::{Deserialize, Serialize};

/// Whether a request that failed may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing was executed, and nothing will be.
    No,
    /// It may have been executed, or may still be.
    Unknown,
}

impl Ran {
    /// Value of the `ran` field in error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}
