//! Recently applied records, kept to serve peers.

use std::collections::VecDeque;
use std::time::Duration;

use model::{Offset, Revision};

use crate::state::State;

/// Maximum number of kept records.
const MAX_RECORDS: usize = 1000;

/// Maximum total size of kept records in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Update that brings a peer up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Payload of a snapshot record; `None` if the records suffice.
    pub snapshot: Option<Vec<u8>>,
    /// Records after the peer's revision, with their offsets.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// Revision of the sender.
    pub revision: Revision,
    /// Time since the sender's state was last known to be at the end of the log; `None` if it never was.
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
        let current = state.revision();
        let covered = revision >= current || self.records.front().is_some_and(|it| it.0 <= revision);
        let snapshot = (!covered).then(|| state.to_snapshot());
        let missing = self.records.iter().filter(|it| covered && it.0 >= revision);
        Delta {
            snapshot,
            records: missing.cloned().collect(),
            revision: current,
            age,
        }
    }
}
