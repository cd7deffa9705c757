//! Outcomes of the most recently applied proposals.

use std::collections::{HashMap, VecDeque};

use super::RECENT_PROPOSALS;
use crate::record::{Outcome, ProposalId, ProposalOutcome};

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentProposals {
    order: VecDeque<ProposalId>,
    outcomes: HashMap<ProposalId, Outcome>,
}

impl RecentProposals {
    pub fn get(&self, id: ProposalId) -> Option<Outcome> {
        self.outcomes.get(&id).copied()
    }

    pub fn insert(&mut self, id: ProposalId, outcome: Outcome) {
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

    pub fn iter(&self) -> impl Iterator<Item = ProposalOutcome> {
        self.order
            .iter()
            .filter_map(|it| Some(ProposalOutcome(*it, self.get(*it)?)))
    }
}

impl FromIterator<ProposalOutcome> for RecentProposals {
    fn from_iter<I: IntoIterator<Item = ProposalOutcome>>(iter: I) -> Self {
        let mut recent = Self::default();
        for ProposalOutcome(id, outcome) in iter {
            recent.insert(id, outcome);
        }
        recent
    }
}
