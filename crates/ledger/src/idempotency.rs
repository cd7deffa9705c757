//! At-most-once execution of calls with idempotency keys.
//!
//! A key is valid only on the node incarnation that issued its prefix. The [`Table`] of that incarnation is
//! the sole authority on the key, so that nodes need no consensus. A planned stop seals the table and hands
//! it over to peers, which store it in an [`Archive`]. A sealed table executes nothing, so that both the
//! table and its copies may be consulted.

mod archive;
mod key;
mod table;

use std::sync::Arc;

use model::refusal::Reason;
use model::{Name, Refusal};

pub use archive::{Archive, HandOver, KeyOutcome, RecordedOutcome};
pub use key::{EPOCH_DURATION, Key, ParseError};
pub use table::{Limits, Table};

/// Call with an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Organisation of the caller, which scopes the key.
    pub organisation: &'a Name,
    /// Idempotency key.
    pub key: &'a Key,
    /// Digest of the request. A call that reuses the key with another digest is refused.
    pub digest: u64,
}

/// How to handle a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to the upstream, then report the outcome with [`Table::finish`].
    Execute,
    /// The call is being executed: wait for the outcome, or respond that the outcome is unknown.
    Running,
    /// The call was executed: return this response.
    Replay(Arc<Response>),
    /// Refuse the call.
    Refused(Refusal),
}

/// Response of a service, stored for repeated calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Outcome of an execution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream responded.
    Done(Response),
    /// The upstream provably did not start the call.
    NotRun(Reason),
    /// The call may have run.
    Unknown,
}

fn outcome_unknown() -> Decision {
    Decision::Refused(Refusal::unknown(Reason::OutcomeUnknown))
}
