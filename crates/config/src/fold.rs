//! Folding of the configuration log.
//!
//! [`State::apply`] is a pure function of the state and the record, so nodes that fold the same records agree. The
//! revision of a state never decreases: a record at or below it is skipped, and one that leaves a gap is refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::object::Key;
use model::{Object, Offset, Revision};

use crate::check::{self, Fault};
use crate::record::{Change, Contents, Held, Id, Outcome, ParseError, Proposal, Record, Snapshot};

mod recent;
#[cfg(test)]
mod tests;

use recent::Recent;

/// Number of proposal ids that are remembered.
///
/// At 26,000 changes a day this covers more than three days; publishers retry for minutes.
pub const RECENT_PROPOSALS: usize = 100_000;

/// The folded configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    revision: Revision,
    objects: BTreeMap<Key, Entry>,
    recent: Recent,
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
pub enum Verdict {
    /// The proposal is in force from this record's revision on.
    Accepted,
    /// The proposal is refused: these objects have another revision than the author saw.
    Conflict(Vec<Key>),
    /// The proposal is refused: the resulting configuration would have these faults.
    Invalid(Vec<Fault>),
    /// The proposal was folded before, with this outcome.
    Repeated(Outcome),
    /// The record is a snapshot, which a running node does not use.
    Snapshot,
    /// The record does not parse.
    Malformed,
    /// The record is at or below the revision held; the state is unchanged.
    Skipped,
    /// Records before this one are missing; the state is unchanged.
    Gap,
}

/// A snapshot that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The payload is no record.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The record is a proposal.
    #[error("the record is no snapshot")]
    NotSnapshot,
    /// Two objects have the same key.
    #[error("{0} appears twice in the snapshot")]
    Duplicate(Key),
    /// An object's revision is zero or above that of the snapshot.
    #[error("{0} has a revision outside of the snapshot")]
    Revision(Key),
}

impl State {
    /// The empty configuration at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds the record at `offset`; offsets of a stream have no holes.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> Verdict {
        self.apply_identified(offset, payload).0
    }

    /// As [`State::apply`], with the id if the record is a proposal that was judged.
    pub fn apply_identified(&mut self, offset: Offset, payload: &[u8]) -> (Verdict, Option<Id>) {
        if offset < self.revision {
            return (Verdict::Skipped, None);
        }
        if offset > self.revision {
            return (Verdict::Gap, None);
        }
        let Some(revision) = offset.checked_add(1) else {
            return (Verdict::Malformed, None);
        };
        self.revision = revision;
        match Record::parse(payload) {
            Ok(Record::Proposal(proposal)) => (self.decide(&proposal), Some(proposal.id)),
            Ok(Record::Snapshot(_)) => (Verdict::Snapshot, None),
            Err(_) => (Verdict::Malformed, None),
        }
    }

    /// Tells what [`State::apply`] would do with a proposal at the next offset.
    pub fn preview(&self, proposal: &Proposal) -> Verdict {
        match self.judge(proposal) {
            Ok(_) => Verdict::Accepted,
            Err(verdict) => verdict,
        }
    }

    /// Offset plus one of the last record folded.
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

    /// Outcome of a proposal that was folded recently.
    pub fn outcome(&self, id: Id) -> Option<Outcome> {
        self.recent.get(id)
    }

    /// Payload of a snapshot record.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let objects = self.objects.values().map(|it| Held {
            revision: it.revision,
            object: Object::clone(&it.object),
        });
        let state = Contents {
            objects: objects.collect(),
            proposals: self.recent.iter().collect(),
        };
        let revision = self.revision;
        Record::Snapshot(Snapshot { revision, state }).to_bytes()
    }

    /// Reads the payload of a snapshot record.
    ///
    /// # Errors
    /// [`SnapshotError`] if the payload is no snapshot or contradicts itself.
    pub fn from_snapshot(payload: &[u8]) -> Result<Self, SnapshotError> {
        let Record::Snapshot(snapshot) = Record::parse(payload)? else {
            return Err(SnapshotError::NotSnapshot);
        };
        let mut objects = BTreeMap::new();
        for Held { revision, object } in snapshot.state.objects {
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
            recent: snapshot.state.proposals.into_iter().collect(),
        })
    }

    fn decide(&mut self, proposal: &Proposal) -> Verdict {
        let id = proposal.id;
        let (verdict, outcome) = match self.judge(proposal) {
            Ok(objects) => {
                self.objects = objects;
                (Verdict::Accepted, Outcome::Accepted)
            }
            Err(verdict @ Verdict::Conflict(_)) => (verdict, Outcome::Conflict),
            Err(verdict @ Verdict::Invalid(_)) => (verdict, Outcome::Invalid),
            Err(verdict) => return verdict,
        };
        self.recent.insert(id, outcome);
        verdict
    }

    fn judge(&self, proposal: &Proposal) -> Result<BTreeMap<Key, Entry>, Verdict> {
        if let Some(outcome) = self.recent.get(proposal.id) {
            return Err(Verdict::Repeated(outcome));
        }
        let conflicts = self.conflicts(proposal);
        if !conflicts.is_empty() {
            return Err(Verdict::Conflict(conflicts));
        }
        let objects = self.changed(&proposal.changes);
        let faults = check::check(objects.values().map(|it| &*it.object));
        if !faults.is_empty() {
            return Err(Verdict::Invalid(faults));
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

    fn changed(&self, changes: &[Change]) -> BTreeMap<Key, Entry> {
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
