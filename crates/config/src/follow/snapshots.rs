//! Schedule of snapshots.
//!
//! Nodes agree on the member that writes a snapshot through a key that they derive from the log. If no
//! snapshot appears in time, the key changes and thereby selects another member. Duplicate snapshots are
//! harmless.

use std::time::Duration;

use model::Revision;

use super::Settings;

/// Interval between reports of the same overdue snapshot.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
pub struct SnapshotSchedule {
    records: u64,
    period: Duration,
    writer_timeout: Duration,
    /// Revision of the newest snapshot record, or the first known revision if no snapshot was seen.
    newest: Option<Revision>,
    /// When the newest snapshot was seen.
    seen_at: Duration,
    /// When a snapshot became due.
    due_since: Option<Duration>,
    next_report: Duration,
}

impl SnapshotSchedule {
    pub fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            records: settings.snapshot_records,
            period: settings.snapshot_period,
            writer_timeout: settings.snapshot_writer_timeout,
            newest: None,
            seen_at: now,
            due_since: None,
            next_report: now,
        }
    }

    pub fn snapshot_seen(&mut self, revision: Revision, now: Duration) {
        self.newest = Some(revision);
        self.seen_at = now;
        self.due_since = None;
    }

    /// Returns the key of a due snapshot, at most once per [`REPORT_INTERVAL`].
    pub fn due(&mut self, revision: Revision, now: Duration) -> Option<Revision> {
        if revision == 0 {
            return None;
        }
        // A node that started from a peer does not know the newest snapshot, so it counts from its first
        // revision.
        let newest = *self.newest.get_or_insert(revision);
        let enough_records = revision.saturating_sub(newest) >= self.records;
        if !enough_records && now < self.seen_at + self.period {
            return None;
        }
        let since = *self.due_since.get_or_insert(now);
        if now < self.next_report {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        let attempts = now.saturating_sub(since).as_millis() / self.writer_timeout.as_millis().max(1);
        Some(newest.saturating_add(u64::try_from(attempts).unwrap_or_default()))
    }
}
