//! Billing records between the end of a request and the log.
//!
//! The [`Origin`] of a record puts it into an immutable batch, sends the batch to two peers in other failure domains
//! and appends it to the log. The peers keep it in [`Held`] until the origin reports the append, and append it
//! themselves if the origin dies. A batch can reach the log more than once; readers discard duplicates.
//!
//! Both sides are state machines: calls report events, and `poll` returns what to do.

mod codec;
mod held;
mod holders;
mod origin;
mod pace;
mod peers;
mod record;
mod settling;

use std::sync::Arc;
use std::time::Duration;

use model::{Domain, Incarnation};

pub use codec::{Malformed, decode, encode};
pub use held::{Held, Hold};
pub use origin::{Limits, Origin, Permit, Stats};
pub use pace::append_interval;
pub use record::{Batch, Id, Key, Record};

/// Greatest number of bytes of batches in one append, before they are put together.
pub const APPEND_BYTES: usize = 128 << 10;

/// A node as seen by billing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Domain,
}

/// What the node has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a batch to a peer, and report the reply with [`Origin::held`] or [`Origin::hold_failed`].
    Hold {
        /// Peer.
        peer: Incarnation,
        /// Batch.
        id: Id,
        /// Encoded batch.
        payload: Arc<[u8]>,
        /// Position of the peer among the holders.
        rank: u8,
        /// Holder of the other copy.
        other: Option<Incarnation>,
    },
    /// Append a record to the billing stream, and report the outcome with `appended` to the side that asked for it.
    Append {
        /// Number of the append, to be reported back.
        number: u64,
        /// Payload of the record.
        payload: Vec<u8>,
    },
    /// Tell a peer that the log holds the batches, and report its reply with [`Origin::settled`]; calls of
    /// [`Held`] need no report.
    Settle {
        /// Peer.
        peer: Incarnation,
        /// Number of the call, to be reported back.
        number: u64,
        /// Batches.
        ids: Vec<Id>,
    },
    /// Send the last parts of the answers whose records are in the batch.
    Release {
        /// Sequence number of the batch.
        sequence: u64,
        /// Why.
        basis: Basis,
    },
}

/// Why the last part of an answer may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// Two peers hold the record.
    Replicated,
    /// The log holds the record.
    Logged,
    /// The time for replication has passed.
    Underreplicated,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Append {
    /// The log confirmed it.
    Confirmed,
    /// It failed, or no reply arrived; it may have taken effect.
    Unconfirmed,
}

/// Time between the first and the later attempts to reach a peer.
const RETRY: Duration = Duration::from_secs(1);
