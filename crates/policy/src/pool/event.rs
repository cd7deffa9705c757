//! Events that a node reports to a pool, and the actions that the pool returns.

use std::time::Duration;

use model::object::service::Repeat;
use model::{Class, Domain, Name, Refusal, Tokens, Upstream, Usage};

use crate::retry::Execution;
use crate::subsetting::DomainMember;

/// Identifier of a request within a pool, chosen by the node and never reused.
pub type Ticket = u64;

/// Identifier of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Number of the attempt within the request, from zero.
    pub number: u16,
}

/// A request for a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Organisation that the request is billed to.
    pub organisation: Name,
    /// Weight of the organisation in the fair queue, at least 1.
    pub weight: u32,
    /// Class of the request, which decides priority and hedging.
    pub class: Class,
    /// Time on the node's monotonic clock by which the answer must be complete.
    pub deadline: Duration,
    /// Whether the request may be sent more than once.
    pub repeat: Repeat,
    /// Prompt tokens; 0 for a plain service.
    pub prompt: Tokens,
    /// Expected tokens of the answer; 0 for a plain service.
    pub output: Tokens,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Hash of the part that is constant in a conversation, such as the organisation and the first user
    /// message.
    pub session: Option<u64>,
}

/// Action that the node must execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to an upstream.
    Send {
        /// Identifier of the attempt in later events.
        attempt: Attempt,
        /// Upstream that receives the request.
        upstream: Upstream,
        /// Reason for the attempt.
        kind: AttemptKind,
    },
    /// Cancel an attempt; the pool expects no further events for it.
    Cancel {
        /// Attempt to cancel.
        attempt: Attempt,
        /// Upstream that runs the attempt.
        upstream: Upstream,
    },
    /// The answer of this attempt is complete; the request has ended.
    Finish {
        /// Attempt that answered.
        attempt: Attempt,
    },
    /// Return this final answer to the caller; the request has ended.
    Refuse {
        /// Identifier of the request.
        ticket: Ticket,
        /// Refusal to return.
        refusal: Refusal,
    },
}

/// Reason for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt.
    First,
    /// The previous attempt failed; a stream resumes after the tokens already delivered.
    Retry,
    /// An earlier attempt is still unanswered and continues in parallel.
    Hedge,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Done(Usage),
    /// The upstream is proven not to have started the request.
    NotStarted(Cause),
    /// The connection broke or the reply was an error; the upstream may have executed the request.
    Failed,
    /// The upstream made no progress within the time-out.
    Silent,
}

impl Outcome {
    pub(super) fn execution(&self) -> Execution {
        match self {
            Self::NotStarted(_) => Execution::NotStarted,
            Self::Done(_) | Self::Failed | Self::Silent => Execution::Possible,
        }
    }
}

/// Reason why an upstream did not start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be established.
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
    /// Name of the upstream.
    pub name: Upstream,
    /// Failure domain that contains the upstream.
    pub domain: Domain,
    /// State according to the host list.
    pub state: HostState,
}

impl Host {
    pub(super) fn domain_member(&self) -> DomainMember {
        DomainMember {
            name: self.name.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// State of an upstream according to the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// Receives requests.
    Live,
    /// About to stop.
    Leaving,
}
