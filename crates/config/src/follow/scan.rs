//! Search for the newest snapshot in the log.

use model::Offset;

use super::Page;
use crate::fold::State;

/// Start of the JSON of a snapshot record, which only [`State::to_snapshot`] writes.
const SNAPSHOT_PREFIX: &[u8] = b"{\"snapshot\":";

/// Number of records that are kept during the search; a longer log without a snapshot is read again.
const MAX_KEPT: usize = 10_000;

/// A pass over the whole log.
#[derive(Debug, Clone, Default)]
pub struct Scan {
    position: Offset,
    found: Option<Box<State>>,
    /// Records from offset zero on, as long as there are few.
    kept: Vec<(Offset, Vec<u8>)>,
}

/// What a page led to.
#[derive(Debug)]
pub enum Progress {
    /// The log goes on.
    More,
    /// The newest snapshot from which the log can be folded.
    Found(Box<State>),
    /// The log has no snapshot, but all its records from offset zero on.
    Whole,
    /// Records are cut, and there is no snapshot after them.
    Lost,
}

impl Scan {
    /// Next offset to read.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Takes a page; returns the number of snapshots that could not be used.
    pub fn take_page(&mut self, page: &Page) -> u64 {
        let mut bad = 0;
        for (offset, payload) in &page.records {
            self.position = offset + 1;
            if self.kept.len() < MAX_KEPT {
                self.kept.push((*offset, payload.clone()));
            }
            if !payload.starts_with(SNAPSHOT_PREFIX) {
                continue;
            }
            match State::from_snapshot(payload) {
                Ok(state) if self.is_newer(&state, *offset) => self.found = Some(Box::new(state)),
                Ok(_) => {}
                Err(_) => bad += 1,
            }
        }
        self.position = self.position.max(page.first);
        bad
    }

    /// What to do after a page.
    pub fn progress(&mut self, first: Offset, page: &Page) -> Progress {
        if self.position < page.end && !page.records.is_empty() {
            return Progress::More;
        }
        match self.found.take() {
            Some(state) if state.revision() >= first => Progress::Found(state),
            _ if first == 0 => Progress::Whole,
            _ => Progress::Lost,
        }
    }

    /// The kept records.
    pub fn into_records(self) -> Vec<(Offset, Vec<u8>)> {
        self.kept
    }

    /// A snapshot cannot hold records after itself.
    fn is_newer(&self, state: &State, offset: Offset) -> bool {
        let newest = self.found.as_ref().map_or(0, |it| it.revision());
        state.revision() <= offset && state.revision() > newest
    }
}
