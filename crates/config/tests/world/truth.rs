//! What must be true, computed apart from the library's fold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::fold::{State, Verdict};
use config::record::{Change, Id, Outcome, Proposal, Record};
use model::object::Key;
use model::{Object, Offset, Revision};

use super::{Mutant, Violation};

/// The log with the state and the time of each revision.
#[derive(Debug)]
pub struct Truth {
    pub records: Vec<Vec<u8>>,
    pub first: Offset,
    /// States by revision.
    pub states: Vec<State>,
    landed: Vec<Duration>,
    /// Revision of each object by the simple rules of this file.
    revisions: BTreeMap<Key, Revision>,
    pub outcomes: BTreeMap<Id, Outcome>,
    /// Proposals whose publisher was told that they will not be in the log.
    pub denied: BTreeSet<Id>,
    pub newest_snapshot: Revision,
    mutant: Mutant,
}

impl Truth {
    pub fn new(mutant: Mutant) -> Self {
        Self {
            records: Vec::new(),
            first: 0,
            states: vec![State::new()],
            landed: Vec::new(),
            revisions: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            denied: BTreeSet::new(),
            newest_snapshot: 0,
            mutant,
        }
    }

    pub fn end(&self) -> Offset {
        self.records.len() as Offset
    }

    pub fn state(&self) -> &State {
        &self.states[self.records.len()]
    }

    /// Revision that the log had reached at a time.
    pub fn revision_at(&self, time: Duration) -> Revision {
        self.landed.partition_point(|it| *it <= time) as Revision
    }

    /// When the record at an offset landed.
    pub fn landed_at(&self, offset: Offset) -> Duration {
        self.landed[offset as usize]
    }

    /// Appends a payload and compares the library's verdict with the simple rules.
    pub fn land(&mut self, payload: Vec<u8>, now: Duration) -> Result<(), Violation> {
        let expected = match Record::parse(&payload) {
            Ok(Record::Proposal(proposal)) => Some((self.judge(&proposal), proposal)),
            Ok(Record::Snapshot(snapshot)) => {
                self.newest_snapshot = self.newest_snapshot.max(snapshot.revision);
                None
            }
            Err(_) => None,
        };
        let payload = self.tamper(payload);
        let mut state = self.state().clone();
        let verdict = state.apply(self.end(), &payload);
        self.records.push(payload);
        self.landed.push(now);
        self.states.push(state);
        let Some((expected, proposal)) = expected else {
            return Ok(());
        };
        if self.denied.contains(&proposal.id) {
            return Err(Violation::Verdict);
        }
        match (expected, verdict) {
            (Expected::Repeated, Verdict::Repeated(_))
            | (Expected::First(Outcome::Accepted), Verdict::Accepted)
            | (Expected::First(Outcome::Conflict), Verdict::Conflict(_))
            | (Expected::First(Outcome::Invalid), Verdict::Invalid(_)) => Ok(()),
            (Expected::Repeated, _) => Err(Violation::CountsOnce),
            (Expected::First(_), _) => Err(Violation::FirstWins),
        }
    }

    fn judge(&mut self, proposal: &Proposal) -> Expected {
        if self.outcomes.contains_key(&proposal.id) {
            return Expected::Repeated;
        }
        let revision = self.end() + 1;
        let current = |key: &Key| self.revisions.get(key).copied().unwrap_or_default();
        let conflict = proposal.base.iter().any(|(key, base)| current(key) != *base);
        let invalid = proposal.changes.iter().any(|it| concurrency(it) == Some(0));
        let outcome = match (conflict, invalid) {
            (true, _) => Outcome::Conflict,
            (false, true) => Outcome::Invalid,
            (false, false) => {
                let keys = proposal.changes.iter().map(Change::key);
                self.revisions.extend(keys.map(|it| (it, revision)));
                Outcome::Accepted
            }
        };
        self.outcomes.insert(proposal.id, outcome);
        Expected::First(outcome)
    }

    /// Deliberate faults of the log, which make the library break a rule that the checks then have to notice.
    fn tamper(&self, payload: Vec<u8>) -> Vec<u8> {
        let Ok(Record::Proposal(mut proposal)) = Record::parse(&payload) else {
            return payload;
        };
        match self.mutant {
            Mutant::LastWins => {}
            Mutant::CountTwice if self.state().outcome(proposal.id).is_some() => {
                proposal.id = Id::from_bits(self.end().into());
            }
            _ => return payload,
        }
        for (key, base) in &mut proposal.base {
            *base = self.state().revision_of(key);
        }
        Record::Proposal(proposal).to_bytes()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    First(Outcome),
    Repeated,
}

fn concurrency(change: &Change) -> Option<u32> {
    match change {
        Change::Put(Object::Pool(pool)) => Some(pool.concurrency),
        _ => None,
    }
}
