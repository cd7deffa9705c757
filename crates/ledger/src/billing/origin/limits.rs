//! Bounds, room and counts of an origin.

use std::time::Duration;

/// Bounds and times of an origin.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Records that are admitted or not yet in the log. One hour at 28.5 requests a second are 102,600.
    pub records: usize,
    /// Time for which a batch waits for further records.
    pub linger: Duration,
    /// Time after which an answer is released although two peers do not hold its record.
    pub release: Duration,
    /// Time after which a peer that does not confirm a batch is replaced.
    pub hold_timeout: Duration,
}

/// Room for one record, taken at admission; to be given back with the record or by [`Origin::release`].
#[derive(Debug)]
#[must_use = "the room stays taken until the permit is given back"]
pub struct Permit(pub(super) ());

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Batches released before two peers or the log had them.
    pub underreplicated: u64,
    /// Copies sent to a peer in the own failure domain for lack of another.
    pub same_domain: u64,
    /// Appends that failed or whose reply was lost.
    pub unconfirmed_appends: u64,
    /// Records in the log.
    pub logged: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 110_000,
            linger: Duration::from_millis(1),
            release: Duration::from_millis(250),
            hold_timeout: Duration::from_millis(60),
        }
    }
}
