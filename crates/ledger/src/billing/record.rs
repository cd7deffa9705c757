//! Billing records and batches.

use std::fmt;
use std::sync::Arc;

use model::{Cost, Incarnation, Name, Usage};

/// Identifier of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId {
    /// Incarnation that created the batch.
    pub incarnation: Incarnation,
    /// Sequence number of the batch; starts at zero and has no gaps.
    pub sequence: u64,
}

/// Billing key: identifies a billed request within its organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Key {
    /// Idempotency key of the request.
    Idempotency(Arc<str>),
    /// Request without an idempotency key.
    Request {
        /// Incarnation that received the request.
        incarnation: Incarnation,
        /// Number assigned by the incarnation, unique across organisations.
        number: u64,
    },
}

/// Billing record of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Organisation that is charged.
    pub organisation: Name,
    /// Billing key of the request.
    pub key: Key,
    /// Model version that produced the answer, or name of the service for a call to a plain service.
    pub version: Name,
    /// Token usage.
    pub usage: Usage,
    /// Cost of the answer.
    pub cost: Cost,
    /// Cost of rejected answers, not charged to the organisation.
    pub rejected: Cost,
}

/// Immutable group of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Identifier.
    pub id: BatchId,
    /// Records.
    pub records: Vec<Record>,
}

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.sequence)
    }
}
