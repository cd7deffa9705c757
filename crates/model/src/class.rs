//! Request classes.

use serde::{Deserialize, Serialize};

/// Class of a request; the variants are ordered from most to least urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person is waiting, and a late answer is worthless.
    Interactive,
    /// A call to a plain service.
    Transaction,
    /// A conversation that tolerates some delay.
    Standard,
    /// Long-running work that can wait.
    Batch,
}

impl Class {
    /// All classes, from most to least urgent.
    pub const ALL: [Self; 4] = [Self::Interactive, Self::Transaction, Self::Standard, Self::Batch];

    /// Parses the value of the `X-Task-Class` header.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.as_str() == text)
    }

    /// Name used in headers, settings and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Transaction => "transaction",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }

    /// Position in [`Class::ALL`].
    pub fn index(self) -> usize {
        match self {
            Self::Interactive => 0,
            Self::Transaction => 1,
            Self::Standard => 2,
            Self::Batch => 3,
        }
    }
}
