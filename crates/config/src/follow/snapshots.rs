//! When a snapshot is due.
//!
//! Nodes agree on the member to write it by a key that they derive from the log. If no snapshot appears, the key
//! changes after a while, which chooses another member. Two snapshots are harmless.

use std::time::Duration;

use model::Revision;

use super::Settings;

/// Time between two reports of the same snapshot that is due.
const REPEAT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
pub struct Schedule {
    records: u64,
    period: Duration,
    writer_timeout: Duration,
    /// Revision of the newest snapshot record, or of the start.
    newest: Option<Revision>,
    /// When it was seen.
    seen: Duration,
    /// When a snapshot became due.
    overdue: Option<Duration>,
    next_report: Duration,
}

impl Schedule {
    pub fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            records: settings.snapshot_records,
            period: settings.snapshot_period,
            writer_timeout: settings.snapshot_writer_timeout,
            newest: None,
            seen: now,
            overdue: None,
            next_report: now,
        }
    }

    pub fn seen(&mut self, revision: Revision, now: Duration) {
        self.newest = Some(revision);
        self.seen = now;
        self.overdue = None;
    }

    /// The key of the snapshot that is due.
    pub fn due(&mut self, revision: Revision, now: Duration) -> Option<Revision> {
        if revision == 0 {
            return None;
        }
        // A node that started from a peer does not know the newest snapshot and counts from its start.
        let newest = *self.newest.get_or_insert(revision);
        let many = revision.saturating_sub(newest) >= self.records;
        if !many && now < self.seen + self.period {
            return None;
        }
        let since = *self.overdue.get_or_insert(now);
        if now < self.next_report {
            return None;
        }
        self.next_report = now + REPEAT;
        let attempts = now.saturating_sub(since).as_millis() / self.writer_timeout.as_millis().max(1);
        Some(newest.saturating_add(u64::try_from(attempts).unwrap_or_default()))
    }
}
