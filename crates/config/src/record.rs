//! Payloads of the configuration log.
//!
//! A payload is one JSON object with a single field, `proposal` or `snapshot`. Unknown fields are errors. A
//! payload that cannot be parsed is malformed on every node alike, and has no effect except that it occupies
//! an offset.

use std::collections::BTreeMap;

use model::object::{Key, Kind};
use model::{Object, Revision};
use serde::{Deserialize, Serialize};

mod base;
mod proposal_id;
mod proposal_outcomes;
#[cfg(test)]
mod tests;

pub use proposal_id::ProposalId;

/// Maximum length of a payload in bytes; a longer payload is malformed.
///
/// A snapshot with 100,000 proposal ids and 1,000 organisations takes 3.7 MB.
pub const MAX_LEN: usize = 16 << 20;

/// A record of the configuration log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Record {
    /// A proposed change.
    Proposal(Proposal),
    /// The state at a revision.
    Snapshot(Snapshot),
}

/// A set of changes that takes effect as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Random id; every retry of the append carries the same one.
    pub id: ProposalId,
    /// Author of the proposal, for display only.
    pub author: String,
    /// Revision at which the author read each object; zero if the object was absent.
    ///
    /// A changed object that is not listed counts as absent when read. Unchanged objects may be listed too:
    /// the proposal then also conflicts with changes to those.
    #[serde(with = "base")]
    pub base: BTreeMap<Key, Revision>,
    /// Changes, applied in order; the last change to an object wins.
    pub changes: Vec<Change>,
}

/// Change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Change {
    /// Creates or replaces an object.
    Put(Object),
    /// Deletes an object; deleting an absent one changes nothing.
    Delete(Key),
}

/// The state at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Revision of the state.
    pub revision: Revision,
    /// State at `revision`.
    pub state: SnapshotState,
}

/// State stored in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotState {
    /// Objects, ordered by key.
    pub objects: Vec<ObjectWithRevision>,
    /// Outcomes of the most recent proposals, oldest first.
    ///
    /// In JSON they are one string that holds, for each proposal, the hexadecimal id and the initial of the
    /// outcome. A list of 100,000 pairs would take 4.8 MB, above the 4 MiB that gRPC accepts by default.
    #[serde(with = "proposal_outcomes")]
    pub proposals: Vec<ProposalOutcome>,
}

/// An object with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectWithRevision {
    /// Revision that last changed the object.
    pub revision: Revision,
    /// The object.
    pub object: Object,
}

/// A proposal id with the outcome of the proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProposalOutcome(pub ProposalId, pub Outcome);

/// Outcome of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal took effect.
    Accepted,
    /// Rejected, because an object had changed since the author read it.
    Conflict,
    /// Rejected, because the resulting configuration would be invalid.
    Invalid,
}

/// Error of parsing a payload.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The payload exceeds [`MAX_LEN`].
    #[error("record of {0} bytes exceeds the limit of {MAX_LEN} bytes")]
    TooLong(usize),
    /// The payload is not a record in JSON.
    #[error("malformed record: {0}")]
    Json(#[from] serde_json::Error),
}

impl Record {
    /// Parses a payload.
    ///
    /// # Errors
    /// [`ParseError`] if the payload is not a valid record.
    pub fn parse(payload: &[u8]) -> Result<Self, ParseError> {
        if payload.len() > MAX_LEN {
            return Err(ParseError::TooLong(payload.len()));
        }
        Ok(serde_json::from_slice(payload)?)
    }

    /// Serializes the record as a payload.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serialization fails only for maps with keys that are not strings, and records have none.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Proposal {
    /// Revision at which the author read an object; zero if the object was absent.
    pub fn base_of(&self, key: &Key) -> Revision {
        self.base.get(key).copied().unwrap_or_default()
    }
}

impl Change {
    /// Key of the changed object.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(object) => object.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// Parses `KIND/NAME`, the text form of a key.
pub fn parse_key(text: &str) -> Option<Key> {
    let (kind, name) = text.split_once('/')?;
    let kind = Kind::ALL.into_iter().find(|it| it.as_str() == kind)?;
    Some(Key::new(kind, name))
}
