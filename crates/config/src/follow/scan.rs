//! Search for the newest snapshot in the log.

use model::Offset;

use super::Page;
use crate::state::State;

/// First bytes of every snapshot record, since only [`State::to_snapshot`] writes them.
const SNAPSHOT_PREFIX: &[u8] = b"{\"snapshot\":";

/// Maximum number of records kept during the search. A longer log without a snapshot is read a second time.
const MAX_KEPT_RECORDS: usize = 10_000;

/// Progress of one pass over the whole log.
#[derive(Debug, Clone, Default)]
pub struct Scan {
    position: Offset,
    newest_snapshot: Option<Box<State>>,
    /// The first records of the log, at most [`MAX_KEPT_RECORDS`].
    records: Vec<(Offset, Vec<u8>)>,
}

/// Result of reading a page.
#[derive(Debug)]
pub enum Progress {
    /// There are more pages to read.
    Incomplete,
    /// The newest snapshot to which the remaining records of the log can be applied.
    Snapshot(Box<State>),
    /// The log has no snapshot, but holds all its records from offset zero on.
    AllRecords,
    /// The first records were removed by retention, and no later snapshot covers them.
    RecordsMissing,
}

impl Scan {
    /// Next offset to read.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Processes a page and returns the number of unusable snapshots.
    pub fn take_page(&mut self, page: &Page) -> u64 {
        let mut bad = 0;
        for (offset, payload) in &page.records {
            self.position = offset + 1;
            if self.records.len() < MAX_KEPT_RECORDS {
                self.records.push((*offset, payload.clone()));
            }
            if !payload.starts_with(SNAPSHOT_PREFIX) {
                continue;
            }
            match State::from_snapshot(payload) {
                Ok(state) if self.is_newer(&state, *offset) => self.newest_snapshot = Some(Box::new(state)),
                Ok(_) => {}
                Err(_) => bad += 1,
            }
        }
        self.position = self.position.max(page.first);
        bad
    }

    /// Decides how to continue after a page.
    pub fn progress(&mut self, first: Offset, page: &Page) -> Progress {
        if self.position < page.end && !page.records.is_empty() {
            return Progress::Incomplete;
        }
        match self.newest_snapshot.take() {
            Some(state) if state.revision() >= first => Progress::Snapshot(state),
            _ if first == 0 => Progress::AllRecords,
            _ => Progress::RecordsMissing,
        }
    }

    /// The first records of the log, at most [`MAX_KEPT_RECORDS`].
    pub fn into_records(self) -> Vec<(Offset, Vec<u8>)> {
        self.records
    }

    /// Whether `state` is newer than the snapshots found so far.
    ///
    /// A snapshot whose revision exceeds its own offset is invalid, since it cannot cover later records.
    fn is_newer(&self, state: &State, offset: Offset) -> bool {
        let newest = self.newest_snapshot.as_ref().map_or(0, |it| it.revision());
        state.revision() <= offset && state.revision() > newest
    }
}
