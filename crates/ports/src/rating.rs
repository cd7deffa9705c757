//! The answer rating service.

use std::fmt::Debug;
use std::time::Duration;

use model::Name;

use crate::engine::Message;

/// Judgement of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer serves its purpose.
    Adequate,
    /// It does not.
    Inadequate,
}

/// An answer to be rated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identity of the caller's request.
    pub id: String,
    /// Version that answered.
    pub version: Name,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Answer.
    pub answer: String,
}

/// Failure to get a rating.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service is not reachable.
    #[error("the rating service is unavailable")]
    Unavailable,
    /// The time-out passed.
    #[error("the rating did not arrive in time")]
    Timeout,
    /// The reply is malformed.
    #[error("the rating service sent a malformed reply")]
    Malformed,
}

/// Connection to the rating service.
pub trait Rating: Debug + Send + Sync {
    /// Rates an answer within `timeout`.
    ///
    /// # Errors
    /// Any [`Error`]; none of them says anything about the answer.
    fn rate(&self, req: &Request, timeout: Duration) -> Result<Verdict, Error>;
}
