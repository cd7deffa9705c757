//! Where the tokens of a generation go.

use crate::chat::answer::{Answer, Gone};

/// Receiver of tokens.
#[derive(Debug)]
pub(crate) enum Sink<'a> {
    /// The caller.
    Caller(&'a mut Answer),
    #[expect(dead_code, reason = "rated steps of cascades follow in the next change")]
    /// A buffer, until the answer is rated.
    Held(&'a mut String),
}

impl Sink<'_> {
    /// Adds the next piece.
    ///
    /// # Errors
    /// The caller is gone.
    pub(super) fn push(&mut self, text: &str) -> Result<(), Gone> {
        match self {
            Self::Caller(answer) => answer.push(text),
            Self::Held(held) => {
                held.push_str(text);
                Ok(())
            }
        }
    }

    /// Checks that the caller is still there, as far as that is possible.
    ///
    /// # Errors
    /// The caller is gone.
    pub(super) fn keep_alive(&mut self) -> Result<(), Gone> {
        match self {
            Self::Caller(answer) => answer.keep_alive(),
            Self::Held(_) => Ok(()),
        }
    }
}
