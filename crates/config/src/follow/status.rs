//! What a follower reports.

use std::time::Duration;

use model::Revision;

/// Whether a node may serve new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// It has not held the configuration yet.
    Starting,
    /// It holds a configuration that is fresh enough.
    Serving,
    /// It may have missed changes, for example a withdrawal.
    Stale,
}

/// What the last read of the log showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// No read has returned yet.
    Unknown,
    /// The log answers.
    Up,
    /// The log does not answer.
    Down,
    /// The log ends below the revision held.
    Behind,
    /// Retention has cut records that the node lacks.
    Gap,
}

/// Summary for metrics, gossip and readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Revision held.
    pub revision: Revision,
    /// Time since the node last held the end of the log for certain; `None` if it never did.
    pub age: Option<Duration>,
    /// Whether the node may serve.
    pub service: Service,
    /// What the last read of the log showed.
    pub log: LogState,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads that found the log's end below the revision held.
    pub log_behind: u64,
    /// Reads that found that retention had cut records that the node lacks.
    pub gaps: u64,
    /// Reads that failed.
    pub log_failures: u64,
    /// Requests to peers.
    pub fetches: u64,
    /// Malformed records.
    pub malformed: u64,
    /// Snapshots that could not be used.
    pub bad_snapshots: u64,
}
