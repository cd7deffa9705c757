//! Intervals, time-outs and limits of a follower.

use std::time::Duration;

/// Intervals, time-outs and limits; [`Settings::default`] suits up to some tens of nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Interval between reads of the log.
    pub poll_interval: Duration,
    /// Maximum number of records per read.
    pub max_page_records: usize,
    /// Time after which a request to the log or a peer counts as failed.
    pub request_timeout: Duration,
    /// Delay before a log without a usable snapshot is scanned again.
    pub rescan_delay: Duration,
    /// Minimum interval between requests to peers.
    pub fetch_interval: Duration,
    /// Time without contact to the log and to any peer after which the node refuses requests.
    pub isolation_timeout: Duration,
    /// Age of the configuration above which the node refuses requests; `None` means no limit.
    pub max_staleness: Option<Duration>,
    /// A longer time between two ticks means that the process was paused.
    pub pause_threshold: Duration,
    /// Number of records after the newest snapshot at which the next one is due.
    pub snapshot_records: u64,
    /// Time after the newest snapshot at which the next one is due; must be well below the log's retention.
    pub snapshot_period: Duration,
    /// Time after which a snapshot that is due passes to another member.
    pub snapshot_writer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
            max_page_records: 500,
            request_timeout: Duration::from_secs(5),
            rescan_delay: Duration::from_secs(2),
            fetch_interval: Duration::from_millis(500),
            isolation_timeout: Duration::from_secs(10),
            max_staleness: None,
            pause_threshold: Duration::from_secs(2),
            // Applying a record takes some milliseconds at 1,000 organisations, so a start takes a few
            // seconds.
            snapshot_records: 1000,
            snapshot_period: Duration::from_secs(3600),
            snapshot_writer_timeout: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Poll interval at which `nodes` nodes together read the log at most about 170 times a second.
    pub fn poll_interval_for(nodes: usize) -> Duration {
        let milliseconds = 6 * u64::try_from(nodes).unwrap_or(u64::MAX).min(1000);
        Duration::from_millis(milliseconds.clamp(500, 6000))
    }
}
