//! Idempotency keys.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use model::Incarnation;

/// Length of an epoch.
pub const EPOCH: Duration = Duration::from_secs(60);

/// Longest caller part in bytes.
const PART_LIMIT: usize = 128;

/// Idempotency key `<incarnation>.<epoch>.<caller part>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Incarnation that issued the prefix.
    pub issuer: Incarnation,
    /// Minutes between the start of the incarnation and the issue of the prefix.
    pub epoch: u32,
    /// Part chosen by the caller.
    pub part: Arc<str>,
}

/// The text is not a key; no node ever executes a call with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key has the form <incarnation>.<epoch>.<caller part>")]
pub struct ParseError;

impl FromStr for Key {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let (Some(issuer), Some(epoch), Some(part)) = (parts.next(), parts.next(), parts.next()) else {
            return Err(ParseError);
        };
        if part.is_empty() || part.len() > PART_LIMIT || !part.bytes().all(|it| it.is_ascii_graphic()) {
            return Err(ParseError);
        }
        let key = Self {
            issuer: issuer.parse().map_err(|_| ParseError)?,
            epoch: epoch.parse().map_err(|_| ParseError)?,
            part: part.into(),
        };
        // One key has one text: capitals, signs and leading zeros are refused.
        if key.to_string() != text {
            return Err(ParseError);
        }
        Ok(key)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.issuer, self.epoch, self.part)
    }
}
