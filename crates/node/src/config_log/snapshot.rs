//! Snapshots in the configuration log, so that a node can start after the retention of the first records has ended.

use std::time::{Duration, SystemTime};

use config::STREAM;
use model::Offset;
use platform::log::Record;

use crate::phase::Phase;
use crate::shared::Shared;

/// Records after which a snapshot is due: less than an hour's at 26,000 changes a day, and quick to fold.
const MAX_RECORDS: u64 = 1_000;

/// Age of the last snapshot at which another one is due, in case retention is by time and changes are rare.
const MAX_AGE: Duration = Duration::from_secs(6 * 3600);

/// Wait after an append, so that a slow log is not filled with snapshots.
const PAUSE: Duration = Duration::from_secs(10);

/// When the next snapshot is due.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    /// Offset of the last snapshot, or of the first record if there is none, and when it was made.
    last: Option<(Offset, Duration)>,
    next_try: Duration,
}

impl Schedule {
    /// Notes the first record that the log keeps.
    pub(super) fn note_first(&mut self, first: Offset, now: Duration) {
        self.last = self.last.or(Some((first, now)));
    }

    /// Notes a snapshot in the log.
    pub(super) fn note_snapshot(&mut self, record: &Record, now: Duration) {
        // The clock of the log service may be ahead, which makes the snapshot a new one.
        let age = SystemTime::now().duration_since(record.time).unwrap_or_default();
        self.last = Some((record.offset, now.saturating_sub(age)));
    }

    /// Appends a snapshot if one is due and this node is the one to write it.
    pub(super) fn write(&mut self, shared: &Shared) {
        let now = shared.now();
        let revision = shared.catalog.revision();
        let Some((offset, time)) = self.last else {
            return;
        };
        let old = revision.saturating_sub(offset) >= MAX_RECORDS || now.saturating_sub(time) >= MAX_AGE;
        let serving = shared.phase.get() == Phase::Serving;
        if !old || !serving || now < self.next_try {
            return;
        }
        if !shared.peers.table().is_snapshot_writer(revision) {
            return;
        }
        self.next_try = now + PAUSE;
        let payload = shared.catalog.snapshot();
        match shared.ports.log.append(STREAM, &[payload]) {
            Ok(offset) => {
                shared.metrics.peers.config_snapshots.inc();
                log::info!("configuration snapshot of revision {revision} at offset {offset}");
            }
            // If it took effect, this node will read it.
            Err(err) => log::warn!("no configuration snapshot: {err}"),
        }
    }
}
