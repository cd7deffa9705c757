//! Events that a node reports to a pool, and the actions that it gets back.

use std::time::Duration;

use model::object::service::Repeat;
use model::{Class, Domain, Name, Refusal, Tokens, Upstream, Usage};

use crate::balance::Place;
use crate::retry::Proof;

/// Identity of a request within a pool, chosen by the node and not used again.
pub type Ticket = u64;

/// Identity of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Request.
    pub ticket: Ticket,
    /// Number of the attempt, from zero.
    pub number: u16,
}

/// A request for a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identity.
    pub ticket: Ticket,
    /// Organisation that pays.
    pub organisation: Name,
    /// Share of the organisation, at least 1.
    pub weight: u32,
    /// Class.
    pub class: Class,
    /// Time on the node's monotonic clock by which the whole answer must be there.
    pub deadline: Duration,
    /// Whether the request may be sent more than once.
    pub repeat: Repeat,
    /// Prompt tokens; 0 for a plain service.
    pub prompt: Tokens,
    /// Expected tokens of the answer; 0 for a plain service.
    pub output: Tokens,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Hash of what stays the same in a conversation, such as the organisation and the first user message.
    pub session: Option<u64>,
}

/// What the node has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to an upstream.
    Send {
        /// Identity of the attempt in later events.
        attempt: Attempt,
        /// Where to.
        upstream: Upstream,
        /// Why.
        kind: Kind,
    },
    /// Cancel an attempt; the pool expects no further event of it.
    Cancel {
        /// Attempt.
        attempt: Attempt,
        /// Where it runs.
        upstream: Upstream,
    },
    /// The answer of this attempt is complete; the request has ended.
    Finish {
        /// Attempt that answered.
        attempt: Attempt,
    },
    /// Give the caller this final answer; the request has ended.
    Refuse {
        /// Request.
        ticket: Ticket,
        /// Answer.
        refusal: Refusal,
    },
}

/// Why an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// First attempt.
    First,
    /// The attempt before failed; a stream resumes after the tokens already delivered.
    Retry,
    /// An earlier attempt has not answered yet and goes on.
    Hedge,
}

/// End of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Done(Usage),
    /// It is proven that the upstream did not start.
    NotStarted(Cause),
    /// The connection broke, or the reply was an error; the upstream may have run the request.
    Failed,
    /// There was no progress within the time-out.
    Silent,
}

impl Outcome {
    pub(super) fn proof(&self) -> Proof {
        match self {
            Self::NotStarted(_) => Proof::NotStarted,
            Self::Done(_) | Self::Failed | Self::Silent => Proof::None,
        }
    }
}

/// Why an upstream did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection was made.
    Connect,
    /// The upstream's queue is full.
    Busy,
    /// The upstream is about to stop.
    Leaving,
    /// Any other refusal.
    Other,
}

/// An upstream of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Name.
    pub name: Upstream,
    /// Failure domain.
    pub domain: Domain,
    /// State.
    pub state: HostState,
}

impl Host {
    pub(super) fn place(&self) -> Place {
        Place {
            name: self.name.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// State of an upstream by the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// Takes work.
    Live,
    /// Is about to stop.
    Leaving,
}
