//! Replicated buffering of billing records between the end of a request and the log.
//!
//! The [`Origin`] of a record adds it to an immutable batch, replicates the batch to two peers in other
//! failure domains and appends it to the log. Each of these peers stores the batch in its [`Holder`] until
//! the origin confirms the append, and appends the batch itself if the origin dies. A batch can be appended
//! more than once; readers discard duplicates.
//!
//! [`Origin`] and [`Holder`] are state machines: method calls report events, and `poll` returns the actions
//! to perform.

mod append_schedule;
mod codec;
mod holder;
mod holder_selector;
mod origin;
mod peer_interner;
mod record;
mod settle_queue;

use std::sync::Arc;
use std::time::Duration;

use model::{Domain, Incarnation};

pub use append_schedule::append_interval;
pub use codec::{Malformed, decode, encode};
pub use holder::{HoldOutcome, Holder};
pub use origin::{Limits, Origin, Permit, Stats};
pub use record::{Batch, BatchId, Key, Record};

/// Maximum total size in bytes of the separately encoded batches in one append, unless a single batch is
/// larger.
pub const MAX_APPEND_BYTES: usize = 128 << 10;

/// Cluster member that creates or holds batches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node.
    pub domain: Domain,
}

/// Action that the node must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a batch to a peer, then report the reply with [`Origin::hold_confirmed`] or
    /// [`Origin::hold_failed`].
    Hold {
        /// Peer that is to hold the batch.
        peer: Incarnation,
        /// Identifier of the batch.
        id: BatchId,
        /// Encoded batch.
        payload: Arc<[u8]>,
        /// Rank of the peer among the holders of the batch, from zero.
        rank: u8,
        /// Holder of the other replica.
        other: Option<Incarnation>,
    },
    /// Append a payload to the billing stream, then report the outcome with `append_finished` to the state
    /// machine that returned the action.
    Append {
        /// Number of the append, to be passed to `append_finished`.
        number: u64,
        /// Payload of the log record.
        payload: Vec<u8>,
    },
    /// Tell a peer that the batches are in the log, then report its reply with [`Origin::settle_confirmed`].
    /// Replies to calls that a [`Holder`] requested are not reported.
    Settle {
        /// Peer that may hold the batches.
        peer: Incarnation,
        /// Number of the call, to be passed to [`Origin::settle_confirmed`].
        number: u64,
        /// Identifiers of the batches.
        ids: Vec<BatchId>,
    },
    /// Send the final parts of the responses whose records are in the batch.
    Release {
        /// Sequence number of the batch.
        sequence: u64,
        /// Why the responses may be completed.
        reason: ReleaseReason,
    },
}

/// Why the final part of a response may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Two peers hold the record.
    Replicated,
    /// The record is in the log.
    Logged,
    /// [`Limits::release_timeout`] has expired.
    Underreplicated,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log confirmed the append.
    Confirmed,
    /// The append failed or no reply arrived; it may still have taken effect.
    Unconfirmed,
}

/// Interval between settle calls to the same peer.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
