//! Times and bounds of a follower.

use std::time::Duration;

/// Times and bounds; [`Settings::default`] is meant for up to some tens of nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time between two reads of the log.
    pub poll: Duration,
    /// Greatest number of records of a read.
    pub page: usize,
    /// Time after which a request counts as failed.
    pub request_timeout: Duration,
    /// Time after which a log without a usable snapshot is searched again.
    pub rescan: Duration,
    /// Least time between two requests to peers.
    pub fetch: Duration,
    /// Time without the log and without peers after which the node refuses requests.
    pub isolation: Duration,
    /// Age of the configuration after which the node refuses requests; `None` for never.
    pub max_staleness: Option<Duration>,
    /// Time between two ticks that shows that the process was paused.
    pub pause: Duration,
    /// Number of records after the newest snapshot at which the next one is due.
    pub snapshot_records: u64,
    /// Time after the newest snapshot at which the next one is due, well below the log's retention.
    pub snapshot_period: Duration,
    /// Time after which another member has to write a snapshot that is due.
    pub snapshot_writer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll: Duration::from_millis(500),
            page: 500,
            request_timeout: Duration::from_secs(5),
            rescan: Duration::from_secs(2),
            fetch: Duration::from_millis(500),
            isolation: Duration::from_secs(10),
            max_staleness: None,
            pause: Duration::from_secs(2),
            // Folding a record takes some milliseconds at 1,000 organisations, so a start folds for a few seconds.
            snapshot_records: 1000,
            snapshot_period: Duration::from_secs(3600),
            snapshot_writer_timeout: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Poll interval at which a fleet of `nodes` reads the log at most about 170 times a second.
    pub fn poll_of(nodes: usize) -> Duration {
        let milliseconds = 6 * u64::try_from(nodes).unwrap_or(u64::MAX).min(1000);
        Duration::from_millis(milliseconds.clamp(500, 6000))
    }
}
