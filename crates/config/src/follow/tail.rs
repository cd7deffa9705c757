//! Recent records, kept for peers.

use std::collections::VecDeque;
use std::time::Duration;

use model::{Offset, Revision};

use crate::fold::State;

/// Greatest number of records that are kept.
const MAX_RECORDS: usize = 1000;

/// Greatest size of the kept records in bytes.
const MAX_BYTES: usize = 1 << 20;

/// What a peer lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Payload of a snapshot record, unless the records alone suffice.
    pub snapshot: Option<Vec<u8>>,
    /// Records after the peer's revision.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// Revision that the sender holds.
    pub revision: Revision,
    /// Time since the sender last held the end of the log for certain; `None` if it never did.
    pub age: Option<Duration>,
}

#[derive(Debug, Clone, Default)]
pub struct Tail {
    records: VecDeque<(Offset, Vec<u8>)>,
    bytes: usize,
}

impl Tail {
    pub fn push(&mut self, offset: Offset, payload: Vec<u8>) {
        self.bytes += payload.len();
        self.records.push_back((offset, payload));
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some((_, payload)) = self.records.pop_front() else {
                return;
            };
            self.bytes -= payload.len();
        }
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }

    pub fn delta(&self, state: &State, revision: Revision, age: Option<Duration>) -> Delta {
        let held = state.revision();
        let covered = revision >= held || self.records.front().is_some_and(|it| it.0 <= revision);
        let snapshot = (!covered).then(|| state.to_snapshot());
        let lacking = self.records.iter().filter(|it| covered && it.0 >= revision);
        Delta {
            snapshot,
            records: lacking.cloned().collect(),
            revision: held,
            age,
        }
    }
}
