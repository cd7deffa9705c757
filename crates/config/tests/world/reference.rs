//! Reference model of the log, independent of the library's rules for proposals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::record::{Change, Outcome, Proposal, ProposalId, Record};
use config::state::{ApplyResult, State};
use model::object::Key;
use model::{Object, Offset, Revision};

use super::{Mutant, Violation};

/// The log, with the state and the append time of each revision.
#[derive(Debug)]
pub struct Reference {
    pub records: Vec<Vec<u8>>,
    pub first: Offset,
    /// State at each revision.
    pub states: Vec<State>,
    append_times: Vec<Duration>,
    /// Revision of each object according to the rules of this module.
    revisions: BTreeMap<Key, Revision>,
    pub outcomes: BTreeMap<ProposalId, Outcome>,
    /// Proposals that were reported as not published.
    pub reported_absent: BTreeSet<ProposalId>,
    pub newest_snapshot: Revision,
    mutant: Mutant,
}

impl Reference {
    pub fn new(mutant: Mutant) -> Self {
        Self {
            records: Vec::new(),
            first: 0,
            states: vec![State::new()],
            append_times: Vec::new(),
            revisions: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            reported_absent: BTreeSet::new(),
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
        self.append_times.partition_point(|it| *it <= time) as Revision
    }

    /// Time at which the record at an offset was appended.
    pub fn appended_at(&self, offset: Offset) -> Duration {
        self.append_times[offset as usize]
    }

    /// Appends a payload and compares the library's result with that of this module.
    pub fn append(&mut self, payload: Vec<u8>, now: Duration) -> Result<(), Violation> {
        let expected = match Record::parse(&payload) {
            Ok(Record::Proposal(proposal)) => Some((self.expected_result(&proposal), proposal)),
            Ok(Record::Snapshot(snapshot)) => {
                self.newest_snapshot = self.newest_snapshot.max(snapshot.revision);
                None
            }
            Err(_) => None,
        };
        let payload = self.apply_mutant(payload);
        let mut state = self.state().clone();
        let result = state.apply(self.end(), &payload);
        self.records.push(payload);
        self.append_times.push(now);
        self.states.push(state);
        let Some((expected, proposal)) = expected else {
            return Ok(());
        };
        if self.reported_absent.contains(&proposal.id) {
            return Err(Violation::WrongOutcomeReported);
        }
        match (expected, result) {
            (Expected::Repeated, ApplyResult::Repeated(_))
            | (Expected::First(Outcome::Accepted), ApplyResult::Accepted)
            | (Expected::First(Outcome::Conflict), ApplyResult::Conflict(_))
            | (Expected::First(Outcome::Invalid), ApplyResult::Invalid(_)) => Ok(()),
            (Expected::Repeated, _) => Err(Violation::AppliedTwice),
            (Expected::First(_), _) => Err(Violation::WrongResult),
        }
    }

    fn expected_result(&mut self, proposal: &Proposal) -> Expected {
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

    /// Alters a payload according to the mutant, so that the library violates an invariant that the checks
    /// must detect.
    fn apply_mutant(&self, payload: Vec<u8>) -> Vec<u8> {
        let Ok(Record::Proposal(mut proposal)) = Record::parse(&payload) else {
            return payload;
        };
        match self.mutant {
            Mutant::IgnoredBases => {}
            Mutant::IgnoredIds if self.state().outcome(proposal.id).is_some() => {
                proposal.id = ProposalId::from_bits(self.end().into());
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
