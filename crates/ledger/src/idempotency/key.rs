//! Idempotency keys.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use model::Incarnation;

/// Duration of an epoch, the time unit of key validity.
pub const EPOCH_DURATION: Duration = Duration::from_secs(60);

const MAX_CALLER_PART_BYTES: usize = 128;

/// Idempotency key `<incarnation>.<epoch>.<caller part>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Incarnation that issued the prefix `<incarnation>.<epoch>`.
    pub issuer: Incarnation,
    /// Epochs from the start of the incarnation to the issue of the prefix.
    pub epoch: u32,
    /// Part chosen by the caller.
    pub caller_part: Arc<str>,
}

/// The text is not a key. No node executes a call with such a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key has the form <incarnation>.<epoch>.<caller part>")]
pub struct ParseError;

impl FromStr for Key {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let (Some(issuer), Some(epoch), Some(caller_part)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseError);
        };
        if caller_part.is_empty()
            || caller_part.len() > MAX_CALLER_PART_BYTES
            || !caller_part.bytes().all(|it| it.is_ascii_graphic())
        {
            return Err(ParseError);
        }
        let key = Self {
            issuer: issuer.parse().map_err(|_| ParseError)?,
            epoch: epoch.parse().map_err(|_| ParseError)?,
            caller_part: caller_part.into(),
        };
        // Each key has exactly one text form: capitals, signs and leading zeros are refused.
        if key.to_string() != text {
            return Err(ParseError);
        }
        Ok(key)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.issuer, self.epoch, self.caller_part)
    }
}
