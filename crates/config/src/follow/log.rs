//! Reading of the log.

use std::time::Duration;

use super::scan::Progress;
use super::{Action, Follower, LogState, Page, Request, Scan};

impl Follower {
    pub(super) fn read(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let request = self.next_request();
        self.reading = Some((request, now));
        self.next_read = now + self.settings.poll;
        let revision = self.state.revision();
        let from = self.scan.as_ref().map_or(revision, Scan::position);
        actions.push(Action::Read {
            request,
            from,
            limit: self.settings.page,
        });
    }

    pub(super) fn read_failed(&mut self, request: Request, now: Duration) {
        if self.reading.take_if(|it| it.0 == request).is_none() {
            return;
        }
        self.counters.log_failures += 1;
        self.log = LogState::Down;
        self.next_read = now + self.settings.poll;
    }

    pub(super) fn read_returned(
        &mut self,
        request: Request,
        page: Page,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some((_, sent)) = self.reading.take_if(|it| it.0 == request) else {
            // A reply after its time-out is old: it neither confirms anything nor moves a scan.
            self.fold(page.records, now, actions);
            return;
        };
        self.contacted(sent);
        if self.scan.is_some() && !self.needs_scan(&page) {
            self.scan = None;
        }
        if self.scan.is_some() {
            self.scan(&page, sent, now, actions);
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
        self.fold(page.records, now, actions);
        self.reached(end, sent, now);
    }

    /// Whether the state cannot go on with the log's records: it holds nothing, or records are missing.
    fn needs_scan(&self, page: &Page) -> bool {
        self.state.revision() == 0 || page.first > self.state.revision()
    }

    fn reached(&mut self, end: u64, sent: Duration, now: Duration) {
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
            self.resumed.take_if(|it| sent >= it.resumed);
        }
    }

    fn scan(&mut self, page: &Page, sent: Duration, now: Duration, actions: &mut Vec<Action>) {
        let Some(mut scan) = self.scan.take() else {
            return;
        };
        let first = page.first;
        self.counters.bad_snapshots += scan.take_page(page);
        match scan.progress(first, page) {
            Progress::More => {
                self.scan = Some(scan);
                self.next_read = now;
            }
            Progress::Found(state) => {
                self.adopt(*state, actions);
                self.snapshots.seen(self.state.revision(), now);
                self.next_read = now;
            }
            Progress::Whole => {
                // Nothing is cut and there is no snapshot: fold from the start.
                self.fold(scan.into_records(), now, actions);
                self.reached(page.end, sent, now);
            }
            Progress::Lost => {
                self.log = LogState::Gap;
                self.scan = Some(Scan::default());
                self.next_read = now + self.settings.rescan;
            }
        }
    }
}
