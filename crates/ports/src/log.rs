//! Client interface of the append-only log service.

use std::fmt::Debug;
use std::time::SystemTime;

use model::Offset;

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset in the stream.
    pub offset: Offset,
    /// Time of the append by the clock of the log service.
    pub time: SystemTime,
    /// Contents.
    pub payload: Vec<u8>,
}

/// Result of a read: a range of records and the bounds of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in offset order, starting at the requested offset or the oldest retained one after it.
    pub records: Vec<Record>,
    /// Offset of the oldest retained record.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
}

/// Failure of a log call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service did not accept the call; an append had no effect.
    #[error("the log service is unavailable")]
    Unavailable,
    /// No usable reply arrived; an append may have taken effect.
    #[error("the log service did not reply")]
    NoReply,
    /// The reply cannot be parsed; an append may have taken effect.
    #[error("the log service sent a malformed reply")]
    Malformed,
}

/// Client of the log service.
pub trait Log: Debug + Send + Sync {
    /// Appends records at consecutive offsets and returns the first offset.
    ///
    /// # Errors
    /// After [`Error::NoReply`] and [`Error::Malformed`] the records may have been appended.
    fn append(&self, stream: &str, payloads: &[Vec<u8>]) -> Result<Offset, Error>;

    /// Reads at most `limit` records, starting at offset `from`.
    ///
    /// # Errors
    /// Any [`Error`]; a failed read can be repeated, because reads have no side effects.
    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page, Error>;
}
