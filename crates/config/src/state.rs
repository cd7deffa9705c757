//! Configuration state, built from the records of the configuration log.
//!
//! [`State::apply`] is a pure function of the state and the record, so nodes that apply the same records
//! agree. The revision never decreases: a record that was applied before is skipped, and one that would leave
//! a gap is refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::object::Key;
use model::{Object, Offset, Revision};

use crate::check::{self, ValidationError};
use crate::record::{
    Change, ObjectWithRevision, Outcome, ParseError, Proposal, ProposalId, Record, Snapshot, SnapshotState,
};

mod recent_proposals;
#[cfg(test)]
mod tests;

use recent_proposals::RecentProposals;

/// Number of most recent proposals whose outcomes are kept.
///
/// At 26,000 changes a day this covers more than three days; publishers retry for minutes.
pub const RECENT_PROPOSALS: usize = 100_000;

/// The configuration at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    revision: Revision,
    objects: BTreeMap<Key, Entry>,
    recent_proposals: RecentProposals,
}

/// An object with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Revision that last changed the object.
    pub revision: Revision,
    /// The object.
    pub object: Arc<Object>,
}

/// Effect of a record on a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyResult {
    /// The proposal takes effect with this record's revision.
    Accepted,
    /// The proposal is rejected: these objects have changed since the author read them.
    Conflict(Vec<Key>),
    /// The proposal is rejected: the resulting configuration would have these errors.
    Invalid(Vec<ValidationError>),
    /// The proposal was applied before, with this outcome.
    Repeated(Outcome),
    /// The record is a snapshot, which leaves the objects unchanged.
    Snapshot,
    /// The record cannot be parsed.
    Malformed,
    /// The record was applied before; the state is unchanged.
    Skipped,
    /// Records before this one are missing; the state is unchanged.
    Gap,
}

/// Reason why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The payload is not a valid record.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The record is a proposal.
    #[error("the record is not a snapshot")]
    NotSnapshot,
    /// Two objects have the same key.
    #[error("{0} appears twice in the snapshot")]
    Duplicate(Key),
    /// An object's revision is zero or above that of the snapshot.
    #[error("{0} has a revision of zero or above that of the snapshot")]
    Revision(Key),
}

impl State {
    /// The empty configuration at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record at `offset`. The offsets of a stream are contiguous.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> ApplyResult {
        self.apply_with_id(offset, payload).0
    }

    /// Like [`State::apply`], and returns the id if the record is a proposal that was evaluated.
    pub fn apply_with_id(&mut self, offset: Offset, payload: &[u8]) -> (ApplyResult, Option<ProposalId>) {
        if offset < self.revision {
            return (ApplyResult::Skipped, None);
        }
        if offset > self.revision {
            return (ApplyResult::Gap, None);
        }
        let Some(revision) = offset.checked_add(1) else {
            return (ApplyResult::Malformed, None);
        };
        self.revision = revision;
        match Record::parse(payload) {
            Ok(Record::Proposal(proposal)) => (self.apply_proposal(&proposal), Some(proposal.id)),
            Ok(Record::Snapshot(_)) => (ApplyResult::Snapshot, None),
            Err(_) => (ApplyResult::Malformed, None),
        }
    }

    /// Result that [`State::apply`] would have for a proposal at the next offset.
    pub fn preview(&self, proposal: &Proposal) -> ApplyResult {
        match self.evaluate(proposal) {
            Ok(_) => ApplyResult::Accepted,
            Err(result) => result,
        }
    }

    /// Offset of the last applied record plus one.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All objects with their revisions.
    pub fn objects(&self) -> &BTreeMap<Key, Entry> {
        &self.objects
    }

    /// Revision of an object, zero if it is absent.
    pub fn revision_of(&self, key: &Key) -> Revision {
        self.objects.get(key).map_or(0, |it| it.revision)
    }

    /// Outcome of a proposal, if it is one of the last [`RECENT_PROPOSALS`].
    pub fn outcome(&self, id: ProposalId) -> Option<Outcome> {
        self.recent_proposals.get(id)
    }

    /// Serializes the state as the payload of a snapshot record.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let objects = self.objects.values().map(|it| ObjectWithRevision {
            revision: it.revision,
            object: Object::clone(&it.object),
        });
        let state = SnapshotState {
            objects: objects.collect(),
            proposals: self.recent_proposals.iter().collect(),
        };
        let revision = self.revision;
        Record::Snapshot(Snapshot { revision, state }).to_bytes()
    }

    /// Parses the payload of a snapshot record.
    ///
    /// # Errors
    /// [`SnapshotError`] if the payload is not a snapshot or is inconsistent.
    pub fn from_snapshot(payload: &[u8]) -> Result<Self, SnapshotError> {
        let Record::Snapshot(snapshot) = Record::parse(payload)? else {
            return Err(SnapshotError::NotSnapshot);
        };
        let mut objects = BTreeMap::new();
        for ObjectWithRevision { revision, object } in snapshot.state.objects {
            let key = object.key();
            if revision == 0 || revision > snapshot.revision {
                return Err(SnapshotError::Revision(key));
            }
            let object = Arc::new(object);
            if objects.insert(key.clone(), Entry { revision, object }).is_some() {
                return Err(SnapshotError::Duplicate(key));
            }
        }
        Ok(Self {
            revision: snapshot.revision,
            objects,
            recent_proposals: snapshot.state.proposals.into_iter().collect(),
        })
    }

    fn apply_proposal(&mut self, proposal: &Proposal) -> ApplyResult {
        let id = proposal.id;
        let (result, outcome) = match self.evaluate(proposal) {
            Ok(objects) => {
                self.objects = objects;
                (ApplyResult::Accepted, Outcome::Accepted)
            }
            Err(result @ ApplyResult::Conflict(_)) => (result, Outcome::Conflict),
            Err(result @ ApplyResult::Invalid(_)) => (result, Outcome::Invalid),
            Err(result) => return result,
        };
        self.recent_proposals.insert(id, outcome);
        result
    }

    /// Returns the objects after the proposal, or the reason why it has no effect.
    fn evaluate(&self, proposal: &Proposal) -> Result<BTreeMap<Key, Entry>, ApplyResult> {
        if let Some(outcome) = self.recent_proposals.get(proposal.id) {
            return Err(ApplyResult::Repeated(outcome));
        }
        let conflicts = self.conflicts(proposal);
        if !conflicts.is_empty() {
            return Err(ApplyResult::Conflict(conflicts));
        }
        let objects = self.objects_after(&proposal.changes);
        let errors = check::check(objects.values().map(|it| &*it.object));
        if !errors.is_empty() {
            return Err(ApplyResult::Invalid(errors));
        }
        Ok(objects)
    }

    fn conflicts(&self, proposal: &Proposal) -> Vec<Key> {
        let mut keys: Vec<_> = proposal.base.keys().cloned().collect();
        keys.extend(proposal.changes.iter().map(Change::key));
        keys.sort_unstable();
        keys.dedup();
        keys.retain(|it| self.revision_of(it) != proposal.base_of(it));
        keys
    }

    fn objects_after(&self, changes: &[Change]) -> BTreeMap<Key, Entry> {
        let mut objects = self.objects.clone();
        for change in changes {
            match change {
                Change::Put(object) => {
                    let entry = Entry {
                        revision: self.revision,
                        object: Arc::new(object.clone()),
                    };
                    objects.insert(object.key(), entry);
                }
                Change::Delete(key) => {
                    objects.remove(key);
                }
            }
        }
        objects
    }
}
