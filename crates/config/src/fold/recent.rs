//! Ids of the proposals folded most recently, with their outcomes.

use std::collections::{HashMap, VecDeque};

use super::RECENT_PROPOSALS;
use crate::record::{Folded, Id, Outcome};

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recent {
    order: VecDeque<Id>,
    outcomes: HashMap<Id, Outcome>,
}

impl Recent {
    pub fn get(&self, id: Id) -> Option<Outcome> {
        self.outcomes.get(&id).copied()
    }

    pub fn insert(&mut self, id: Id, outcome: Outcome) {
        if self.outcomes.insert(id, outcome).is_some() {
            return;
        }
        self.order.push_back(id);
        if self.order.len() <= RECENT_PROPOSALS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.outcomes.remove(&oldest);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = Folded> {
        self.order
            .iter()
            .filter_map(|it| Some(Folded(*it, self.get(*it)?)))
    }
}

impl FromIterator<Folded> for Recent {
    fn from_iter<I: IntoIterator<Item = Folded>>(iter: I) -> Self {
        let mut recent = Self::default();
        for Folded(id, outcome) in iter {
            recent.insert(id, outcome);
        }
        recent
    }
}
