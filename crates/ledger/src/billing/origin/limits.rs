//! Limits, admission permits and statistics of an origin.

use std::time::Duration;

/// Limits and timeouts of an origin.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of records that are admitted or not yet in the log. One hour at 28.5 requests/s is
    /// 102,600 records.
    pub records: usize,
    /// Time for which an open batch waits for further records.
    pub linger: Duration,
    /// Time after which a response is released even if fewer than two peers hold its record.
    pub release_timeout: Duration,
    /// Time after which a peer that has not confirmed a batch is replaced.
    pub hold_timeout: Duration,
}

/// Reservation for one record, made at admission. [`Origin::record`](super::Origin::record) and
/// [`Origin::release`](super::Origin::release) consume it.
#[derive(Debug)]
#[must_use = "capacity stays reserved until the permit is returned"]
pub struct Permit(pub(super) ());

/// Counters since the start of the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Batches released before two peers held them or the log contained them.
    pub underreplicated: u64,
    /// Replicas sent to a peer in the origin's failure domain because no other peer was available.
    pub same_domain: u64,
    /// Appends that failed or whose reply was lost.
    pub unconfirmed_appends: u64,
    /// Records confirmed to be in the log.
    pub logged: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 110_000,
            linger: Duration::from_millis(1),
            release_timeout: Duration::from_millis(250),
            hold_timeout: Duration::from_millis(60),
        }
    }
}
