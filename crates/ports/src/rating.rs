//! Client interface of the service that rates answers.

use std::fmt::Debug;
use std::time::Duration;

use model::Name;

use crate::engine::Message;

/// Rating of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is good enough.
    Adequate,
    /// The answer is not good enough.
    Inadequate,
}

/// A request to rate an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the request that was answered.
    pub id: String,
    /// Model version that generated the answer.
    pub version: Name,
    /// Conversation that led to the answer.
    pub messages: Vec<Message>,
    /// Text of the answer.
    pub answer: String,
}

/// Failure of a rating call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service cannot be reached, the connection failed, or the service replied with an error status.
    #[error("the rating service is unavailable")]
    Unavailable,
    /// No reply arrived within the time-out.
    #[error("the rating service did not reply within the time-out")]
    Timeout,
    /// The reply cannot be parsed.
    #[error("the rating service sent a malformed reply")]
    Malformed,
}

/// Client of the rating service.
pub trait Rating: Debug + Send + Sync {
    /// Rates an answer within `timeout`.
    ///
    /// # Errors
    /// Any [`Error`]; an error says nothing about the quality of the answer.
    fn rate(&self, req: &Request, timeout: Duration) -> Result<Verdict, Error>;
}
