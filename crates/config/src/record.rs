//! Payloads of the configuration log.
//!
//! A payload is one JSON object with a single field, `proposal` or `snapshot`. Unknown fields are errors. A payload
//! that does not parse is malformed on every node alike, and has no effect except that it takes an offset.

use std::collections::BTreeMap;

use model::object::{Key, Kind};
use model::{Object, Revision};
use serde::{Deserialize, Serialize};

mod base;
mod folded;
mod id;
#[cfg(test)]
mod tests;

pub use id::Id;

/// Greatest length of a payload in bytes; a longer one is malformed.
///
/// A snapshot with 100,000 proposal ids and 1,000 organisations has 3.7 MB.
pub const MAX_LEN: usize = 16 << 20;

/// A record of the configuration log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Record {
    /// A proposed change.
    Proposal(Proposal),
    /// The folded state at a revision.
    Snapshot(Snapshot),
}

/// A change that takes effect as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Random identity; a repeated append carries the same one.
    pub id: Id,
    /// Who proposes, for display only.
    pub author: String,
    /// Revision of each object that the author saw, zero for an absent one.
    ///
    /// A changed object without an entry counts as seen absent. Objects that are not changed may be listed too: the
    /// proposal then also conflicts with changes to those.
    #[serde(with = "base")]
    pub base: BTreeMap<Key, Revision>,
    /// Changes; for two changes of the same object the later one applies.
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

/// The folded state at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Revision up to which records are folded.
    pub revision: Revision,
    /// State at that revision.
    pub state: Contents,
}

/// Contents of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contents {
    /// Objects in the order of their keys.
    pub objects: Vec<Held>,
    /// Proposals folded most recently, the oldest first.
    ///
    /// In JSON they are one string, with the hexadecimal digits of the id and the initial of the outcome for each.
    /// As a list of pairs, 100,000 of them have 4.8 MB, above the 4 MiB that gRPC accepts by default.
    #[serde(with = "folded")]
    pub proposals: Vec<Folded>,
}

/// An object with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    /// Revision that last changed the object.
    pub revision: Revision,
    /// The object.
    pub object: Object,
}

/// A proposal that was folded, with its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Folded(pub Id, pub Outcome);

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// In force.
    Accepted,
    /// Refused, because an object had changed since the author saw it.
    Conflict,
    /// Refused, because the resulting configuration has faults.
    Invalid,
}

/// The payload is no record.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The payload exceeds [`MAX_LEN`].
    #[error("the record has {0} bytes, more than the limit of {MAX_LEN}")]
    TooLong(usize),
    /// The payload is not the JSON of a record.
    #[error("the record is malformed: {0}")]
    Json(#[from] serde_json::Error),
}

impl Record {
    /// Parses a payload.
    ///
    /// # Errors
    /// [`ParseError`] if the payload is no record.
    pub fn parse(payload: &[u8]) -> Result<Self, ParseError> {
        if payload.len() > MAX_LEN {
            return Err(ParseError::TooLong(payload.len()));
        }
        Ok(serde_json::from_slice(payload)?)
    }

    /// The payload.
    pub fn to_bytes(&self) -> Vec<u8> {
        // The serializer fails only for maps without string keys, and records have none.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Proposal {
    /// The revision that the author saw of an object.
    pub fn base_of(&self, key: &Key) -> Revision {
        self.base.get(key).copied().unwrap_or_default()
    }
}

impl Change {
    /// The object that changes.
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
