//! Payload format of the lease log.

use std::time::Duration;

use model::{Host, Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Maximum duration of a lease; records with a longer one are malformed.
pub const MAX_DURATION: Duration = Duration::from_secs(60);

/// Maximum length of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4096;

/// Request for a lease, or release of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Name of the pool.
    pub pool: Name,
    /// Process that makes the request.
    pub holder: Incarnation,
    /// Host of the process, for display only.
    pub host: Host,
    /// Sequence number of the request within the process, by which the holder finds the time at which it sent
    /// it.
    pub attempt: u64,
    /// Duration, starting at the append; zero releases the lease.
    pub duration: Duration,
}

/// Error for a payload that is not a valid record.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The payload is not a record in JSON.
    #[error("malformed lease record: {0}")]
    Json(#[from] serde_json::Error),
    /// The payload is too long.
    #[error("lease record exceeds {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
    /// The holder is not a valid incarnation.
    #[error("lease holder is not a valid incarnation")]
    InvalidHolder,
    /// The duration exceeds [`MAX_DURATION`].
    #[error("lease duration exceeds {MAX_DURATION:?}")]
    DurationTooLong,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordJson {
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
    /// [`ParseError`] if the payload is not a valid record.
    pub fn parse(payload: &[u8]) -> Result<Self, ParseError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(ParseError::TooLong);
        }
        let json: RecordJson = serde_json::from_slice(payload)?;
        let duration = Duration::from_millis(json.duration_ms);
        if duration > MAX_DURATION {
            return Err(ParseError::DurationTooLong);
        }
        Ok(Self {
            pool: json.pool,
            holder: json.holder.parse().map_err(|_| ParseError::InvalidHolder)?,
            host: json.host,
            attempt: json.attempt,
            duration,
        })
    }

    /// Encodes the record as a payload.
    pub fn to_bytes(&self) -> Vec<u8> {
        let json = RecordJson {
            pool: self.pool.clone(),
            holder: self.holder.to_string(),
            host: self.host.clone(),
            attempt: self.attempt,
            duration_ms: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
        };
        // Serialization fails only for maps with non-string keys, and the record has none.
        serde_json::to_vec(&json).unwrap_or_default()
    }
}
