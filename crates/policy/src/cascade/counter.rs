//! Mergeable counters of ratings.

use model::{Class, Incarnation, Name};

use super::planner::Position;

/// Ratings that one node incarnation received for an organisation, class and version. All fields only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counter {
    /// Adequate answers of first steps.
    pub adequate: u64,
    /// Inadequate answers of first steps.
    pub inadequate: u64,
    /// Adequate answers of steps that followed a rejected answer.
    pub escalated_adequate: u64,
    /// Inadequate answers of steps that followed a rejected answer.
    pub escalated_inadequate: u64,
}

/// A counter with its key, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Organisation.
    pub organisation: Name,
    /// Class.
    pub class: Class,
    /// Version.
    pub version: Name,
    /// Node incarnation that received the ratings.
    pub incarnation: Incarnation,
    /// Ratings.
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

    /// Takes the element-wise maximum and returns by how much each field grew.
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
