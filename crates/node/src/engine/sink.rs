//! Destinations of generated tokens.

use crate::chat::answer::{Answer, Disconnected};

/// Destination of generated tokens.
#[derive(Debug)]
pub(crate) enum Sink<'a> {
    /// The caller's response.
    Caller(&'a mut Answer),
    /// The caller's response, and a copy that is rated after delivery.
    Tee(&'a mut Answer, &'a mut String),
    /// A buffer that is rated before delivery.
    Buffer(&'a mut String),
}

impl Sink<'_> {
    /// Appends text.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub(super) fn push(&mut self, text: &str) -> Result<(), Disconnected> {
        if let Self::Tee(_, copy) | Self::Buffer(copy) = self {
            copy.push_str(text);
        }
        match self {
            Self::Caller(answer) | Self::Tee(answer, _) => answer.push(text),
            Self::Buffer(_) => Ok(()),
        }
    }

    /// Checks that the caller is still connected. A buffer has no access to the caller and always succeeds.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub(super) fn keep_alive(&mut self) -> Result<(), Disconnected> {
        match self {
            Self::Caller(answer) | Self::Tee(answer, _) => answer.keep_alive(),
            Self::Buffer(_) => Ok(()),
        }
    }
}
