//! Reading the log.

use std::time::Duration;

use super::scan::Progress;
use super::{Action, Follower, LogState, Page, RequestId, Scan};

impl Follower {
    pub(super) fn start_read(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let request = self.next_request_id();
        self.pending_read = Some((request, now));
        self.next_read = now + self.settings.poll_interval;
        let revision = self.state.revision();
        let from = self.scan.as_ref().map_or(revision, Scan::position);
        actions.push(Action::Read {
            request,
            from,
            limit: self.settings.max_page_records,
        });
    }

    pub(super) fn read_failed(&mut self, request: RequestId, now: Duration) {
        if self.pending_read.take_if(|it| it.0 == request).is_none() {
            return;
        }
        self.counters.log_failures += 1;
        self.log = LogState::Down;
        self.next_read = now + self.settings.poll_interval;
    }

    pub(super) fn read_returned(
        &mut self,
        request: RequestId,
        page: Page,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some((_, sent)) = self.pending_read.take_if(|it| it.0 == request) else {
            // The request has timed out, so the reply is too old to confirm the end of the log or to advance
            // a scan.
            self.apply_records(page.records, now, actions);
            return;
        };
        self.record_contact(sent);
        if self.scan.is_some() && !self.needs_scan(&page) {
            self.scan = None;
        }
        if self.scan.is_some() {
            self.continue_scan(&page, sent, now, actions);
            return;
        }
        if page.first > self.state.revision() {
            self.counters.gaps += 1;
            self.log = LogState::Gap;
            self.scan = Some(Scan::default());
            self.next_read = now;
            return;
        }
        let end = page.end;
        self.apply_records(page.records, now, actions);
        self.update_log_state(end, sent, now);
    }

    /// Whether the log's records cannot be applied to the state: it is empty, or records in between are
    /// missing.
    fn needs_scan(&self, page: &Page) -> bool {
        self.state.revision() == 0 || page.first > self.state.revision()
    }

    fn update_log_state(&mut self, end: u64, sent: Duration, now: Duration) {
        let revision = self.state.revision();
        if end < revision {
            self.counters.log_behind += 1;
            self.log = LogState::Behind;
            return;
        }
        self.log = LogState::Up;
        if end > revision {
            self.next_read = now;
            return;
        }
        let behind_peers = self.peers.iter().any(|it| it.revision > revision);
        if !behind_peers {
            self.confirm(sent);
            self.resumption.take_if(|it| sent >= it.resumed_at);
        }
    }

    fn continue_scan(&mut self, page: &Page, sent: Duration, now: Duration, actions: &mut Vec<Action>) {
        let Some(mut scan) = self.scan.take() else {
            return;
        };
        let first = page.first;
        self.counters.bad_snapshots += scan.take_page(page);
        match scan.progress(first, page) {
            Progress::Incomplete => {
                self.scan = Some(scan);
                self.next_read = now;
            }
            Progress::Snapshot(state) => {
                self.adopt(*state, actions);
                self.snapshots.snapshot_seen(self.state.revision(), now);
                self.next_read = now;
            }
            Progress::AllRecords => {
                // The log is complete and has no snapshot, so its records apply from offset zero.
                self.apply_records(scan.into_records(), now, actions);
                self.update_log_state(page.end, sent, now);
            }
            Progress::RecordsMissing => {
                self.log = LogState::Gap;
                self.scan = Some(Scan::default());
                self.next_read = now + self.settings.rescan_delay;
            }
        }
    }
}
