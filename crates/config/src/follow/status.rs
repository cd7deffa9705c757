//! Status and counters of a follower.

use std::time::Duration;

use model::Revision;

/// Whether a node may serve new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The node has not reached the end of the log yet.
    Starting,
    /// The configuration is fresh enough.
    Serving,
    /// The node may have missed changes, for example a withdrawal.
    Stale,
}

/// State of the log as of the last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// No read has completed yet.
    Unknown,
    /// The log answers.
    Up,
    /// The log does not answer.
    Down,
    /// The log ends before the revision of the node.
    Behind,
    /// Retention has removed records that the node is missing.
    Gap,
}

/// Status of a follower, for metrics, gossip and readiness checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Current revision.
    pub revision: Revision,
    /// Time since the state was last known to be at the end of the log; `None` if it never was.
    pub age: Option<Duration>,
    /// Whether the node may serve new requests.
    pub readiness: Readiness,
    /// State of the log as of the last read.
    pub log: LogState,
}

/// Event counts since the start of the follower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads that found the end of the log before the revision of the node.
    pub log_behind: u64,
    /// Reads that found that retention had removed records that the node was missing.
    pub gaps: u64,
    /// Failed log reads.
    pub log_failures: u64,
    /// Requests to peers.
    pub fetches: u64,
    /// Malformed records.
    pub malformed: u64,
    /// Unusable snapshots.
    pub bad_snapshots: u64,
}
