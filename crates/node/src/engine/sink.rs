//! Where the tokens of a generation go.

use crate::chat::answer::{Answer, Gone};

/// Receiver of tokens.
#[derive(Debug)]
pub(crate) enum Sink<'a> {
    /// The caller.
    Caller(&'a mut Answer),
    /// The caller, and a copy to be rated afterwards.
    Copied(&'a mut Answer, &'a mut String),
    /// A buffer, until the answer is rated.
    Held(&'a mut String),
}

impl Sink<'_> {
    /// Adds the next piece.
    ///
    /// # Errors
    /// The caller is gone.
    pub(super) fn push(&mut self, text: &str) -> Result<(), Gone> {
        if let Self::Copied(_, copy) | Self::Held(copy) = self {
            copy.push_str(text);
        }
        match self {
            Self::Caller(answer) | Self::Copied(answer, _) => answer.push(text),
            Self::Held(_) => Ok(()),
        }
    }

    /// Checks that the caller is still there, as far as that is possible.
    ///
    /// # Errors
    /// The caller is gone.
    pub(super) fn keep_alive(&mut self) -> Result<(), Gone> {
        match self {
            Self::Caller(answer) | Self::Copied(answer, _) => answer.keep_alive(),
            Self::Held(_) => Ok(()),
        }
    }
}
