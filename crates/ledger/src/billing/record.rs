//! Billing records and batches.

use std::fmt;
use std::sync::Arc;

use model::{Cost, Incarnation, Name, Usage};

/// Identity of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Incarnation that made the batch.
    pub incarnation: Incarnation,
    /// Number of the batch, from zero without gaps.
    pub sequence: u64,
}

/// Identity of a billed request within its organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Key {
    /// Text of the idempotency key.
    Idempotency(Arc<str>),
    /// Request without idempotency key.
    Request {
        /// Incarnation that received it.
        incarnation: Incarnation,
        /// Number that the incarnation gave it; unique over all organisations.
        number: u64,
    },
}

/// Bill of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Organisation that pays.
    pub organisation: Name,
    /// Identity of the request.
    pub key: Key,
    /// Version that answered; name of the service for a plain call.
    pub version: Name,
    /// Tokens.
    pub usage: Usage,
    /// Cost of the answer.
    pub cost: Cost,
    /// Cost of rejected steps.
    pub rejected: Cost,
}

/// Immutable group of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Identity.
    pub id: Id,
    /// Records.
    pub records: Vec<Record>,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.sequence)
    }
}
