//! At-most-once execution of keyed calls.
//!
//! A key is valid only at the node incarnation that issued its prefix. The [`Table`] of that incarnation is the sole
//! authority on the key, so that no agreement among nodes is needed. A planned stop seals the table and hands it over
//! to peers, which keep it in an [`Archive`]; a sealed table executes nothing, so both may answer.

mod archive;
mod key;
mod table;

use std::sync::Arc;

use model::refusal::Reason;
use model::{Name, Refusal};

pub use archive::{Archive, HandOver, KeyOutcome, Settled};
pub use key::{EPOCH, Key, ParseError};
pub use table::{Limits, Table};

/// A keyed call.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Organisation of the caller; keys of different organisations are unrelated.
    pub organisation: &'a Name,
    /// Idempotency key.
    pub key: &'a Key,
    /// Digest of the request; the same key with another digest is refused.
    pub digest: u64,
}

/// What to do with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Send it to the upstream, and report the outcome with [`Table::finish`].
    Execute,
    /// It is being executed; wait for the outcome or answer that the outcome is unknown.
    Running,
    /// It was executed; repeat this response.
    Replay(Arc<Response>),
    /// Refuse it.
    Refused(Refusal),
}

/// Response of a service, kept for repeated calls.
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
    /// It is proven that the upstream did not start the call.
    NotRun(Reason),
    /// The call may have run.
    Unknown,
}

fn outcome_unknown() -> Answer {
    Answer::Refused(Refusal::unknown(Reason::OutcomeUnknown))
}
