//! Counters of ratings that merge without coordination (a grow-only CRDT).

use model::{Class, Incarnation, Name};

use super::planner::Position;

/// Ratings that one node incarnation received for an organisation, class and version. No field ever
/// decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counter {
    /// Answers of first steps rated adequate.
    pub adequate: u64,
    /// Answers of first steps rated inadequate.
    pub inadequate: u64,
    /// Answers rated adequate in steps that followed a rejected answer.
    pub escalated_adequate: u64,
    /// Answers rated inadequate in steps that followed a rejected answer.
    pub escalated_inadequate: u64,
}

/// A counter with its key, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Organisation that sent the requests.
    pub organisation: Name,
    /// Class of the requests.
    pub class: Class,
    /// Version that answered.
    pub version: Name,
    /// Node incarnation that received the ratings.
    pub incarnation: Incarnation,
    /// Number of ratings.
    pub counter: Counter,
}

impl Counter {
    /// Counts one rating.
    pub fn add(&mut self, position: Position, adequate: bool) {
        let field = match (position, adequate) {
            (Position::First, true) => &mut self.adequate,
            (Position::First, false) => &mut self.inadequate,
            (Position::AfterRejection, true) => &mut self.escalated_adequate,
            (Position::AfterRejection, false) => &mut self.escalated_inadequate,
        };
        *field += 1;
    }

    /// Merges `other` by element-wise maximum and returns the increase of each field.
    pub fn merge(&mut self, other: &Self) -> Self {
        let before = *self;
        self.adequate = self.adequate.max(other.adequate);
        self.inadequate = self.inadequate.max(other.inadequate);
        self.escalated_adequate = self.escalated_adequate.max(other.escalated_adequate);
        self.escalated_inadequate = self.escalated_inadequate.max(other.escalated_inadequate);
        Self {
            adequate: self.adequate - before.adequate,
            inadequate: self.inadequate - before.inadequate,
            escalated_adequate: self.escalated_adequate - before.escalated_adequate,
            escalated_inadequate: self.escalated_inadequate - before.escalated_inadequate,
        }
    }
}
