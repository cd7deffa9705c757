//! The append-only log service.

use std::fmt::Debug;
use std::time::SystemTime;

use model::Offset;

/// A record as the log holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// When the log service took it, by its clock.
    pub time: SystemTime,
    /// Contents.
    pub payload: Vec<u8>,
}

/// Part of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in offset order, the first one at or after the requested offset.
    pub records: Vec<Record>,
    /// Oldest offset that is still kept.
    pub first: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
}

/// Failure of a log call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service did not take the call; an append had no effect.
    #[error("the log service is unavailable")]
    Unavailable,
    /// No reply arrived; an append may have taken effect.
    #[error("the log service did not reply")]
    NoReply,
    /// The reply is malformed.
    #[error("the log service sent a malformed reply")]
    Malformed,
}

/// Connection to the log service.
pub trait Log: Debug + Send + Sync {
    /// Appends records that get consecutive offsets, and returns the first one.
    ///
    /// # Errors
    /// [`Error::NoReply`] if the records may have been appended.
    fn append(&self, stream: &str, payloads: &[Vec<u8>]) -> Result<Offset, Error>;

    /// Reads at most `limit` records from `from` on.
    ///
    /// # Errors
    /// Any [`Error`]; reads have no effect.
    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page, Error>;
}
