//! The last records of the configuration log.

use std::collections::VecDeque;

use model::{Offset, Revision};

/// Records kept; at 26,000 changes a day, the last 50 minutes.
const MAX_RECORDS: usize = 1_000;

/// Bytes of payloads kept.
const MAX_BYTES: usize = 2 << 20;

/// The last records, without gaps.
#[derive(Debug, Default)]
pub(super) struct Tail {
    records: VecDeque<(Offset, Vec<u8>)>,
    bytes: usize,
}

impl Tail {
    /// Adds a record; records before a gap are dropped.
    pub(super) fn push(&mut self, offset: Offset, payload: &[u8]) {
        if self.records.back().is_some_and(|it| it.0 + 1 != offset) {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += payload.len();
        self.records.push_back((offset, payload.to_vec()));
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some((_, payload)) = self.records.pop_front() else {
                return;
            };
            self.bytes -= payload.len();
        }
    }

    /// The records from a revision on; `None` if one of them is not kept.
    pub(super) fn after(&self, revision: Revision) -> Option<Vec<(Offset, Vec<u8>)>> {
        let first = self.records.front()?.0;
        let skipped = usize::try_from(revision.checked_sub(first)?).ok()?;
        Some(self.records.iter().skip(skipped).cloned().collect())
    }
}
