//! What is known about the execution of a refused request.

use serde::{Deserialize, Serialize};

/// Whether a request that failed may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was not executed and will not be.
    No,
    /// The request may have been executed, or may still be executed.
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
