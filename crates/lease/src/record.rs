//! Payloads of the lease log.

use std::time::Duration;

use model::{Host, Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Greatest duration of a lease; records with a longer one are malformed.
pub const MAX_DURATION: Duration = Duration::from_secs(60);

/// Greatest length of a payload in bytes.
pub const MAX_LEN: usize = 4096;

/// A request for a lease, or its release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Pool.
    pub pool: Name,
    /// Process that requests.
    pub holder: Incarnation,
    /// Its host, for display.
    pub host: Host,
    /// Number of the request within the process, so that the holder knows when it sent this one.
    pub attempt: u64,
    /// Duration from the append on; zero releases the lease.
    pub duration: Duration,
}

/// The payload is no record.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The payload is not the JSON of a record.
    #[error("the lease record is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The payload is too long.
    #[error("the lease record exceeds {MAX_LEN} bytes")]
    TooLong,
    /// The holder is no incarnation.
    #[error("the holder is no incarnation")]
    Holder,
    /// The duration is too long.
    #[error("the duration exceeds {MAX_DURATION:?}")]
    Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    pool: Name,
    holder: String,
    host: Host,
    attempt: u64,
    duration_ms: u64,
}

impl Record {
    /// Parses a payload.
    ///
    /// # Errors
    /// [`ParseError`] if the payload is no record.
    pub fn parse(payload: &[u8]) -> Result<Self, ParseError> {
        if payload.len() > MAX_LEN {
            return Err(ParseError::TooLong);
        }
        let text: Text = serde_json::from_slice(payload)?;
        let duration = Duration::from_millis(text.duration_ms);
        if duration > MAX_DURATION {
            return Err(ParseError::Duration);
        }
        Ok(Self {
            pool: text.pool,
            holder: text.holder.parse().map_err(|_| ParseError::Holder)?,
            host: text.host,
            attempt: text.attempt,
            duration,
        })
    }

    /// The payload.
    pub fn to_bytes(&self) -> Vec<u8> {
        let text = Text {
            pool: self.pool.clone(),
            holder: self.holder.to_string(),
            host: self.host.clone(),
            attempt: self.attempt,
            duration_ms: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
        };
        // The serializer fails only for maps without string keys, and the record has none.
        serde_json::to_vec(&text).unwrap_or_default()
    }
}
