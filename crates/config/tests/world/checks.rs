//! Invariants that are checked after every step.

use std::time::Duration;

use config::publish::Outcome;
use config::record::{self, ProposalId};

use super::schedule::Kind;
use super::{Observed, Violation, World};

/// Time within which a node that reaches the log applies an appended record: polls, a scan and some pages.
const LOG_BOUND: Duration = Duration::from_secs(5);

/// Time within which a node that only reaches such a node applies it too.
const PEER_BOUND: Duration = Duration::from_secs(8);

/// Time after which an isolated node refuses requests, including the time of replies in transit.
const ISOLATION_BOUND: Duration = Duration::from_secs(11);

impl World {
    pub(super) fn check(&mut self) -> Result<(), Violation> {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].running {
                continue;
            }
            self.check_state(index)?;
            self.update_connections(index);
            self.check_isolation(index)?;
            self.check_resumed(index)?;
        }
        for index in 0..self.nodes.len() {
            self.check_in_force(index)?;
        }
        Ok(())
    }

    /// The state of a node is that of the whole log at its revision, and the revision never decreases.
    fn check_state(&mut self, index: usize) -> Result<(), Violation> {
        let node = &mut self.nodes[index];
        let state = node.follower.state();
        let revision = state.revision();
        if revision == node.observed.revision {
            return Ok(());
        }
        if revision < node.observed.revision {
            return Err(Violation::RevisionDecreased);
        }
        let before = std::mem::replace(&mut node.observed.revision, revision);
        if self.reference.states.get(revision as usize) != Some(state) {
            return Err(Violation::StateDiverged);
        }
        if node.observed.log_since.is_some() {
            for revision in before..revision {
                let appended = self.reference.appended_at(revision);
                if node.observed.log_since.is_some_and(|it| it <= appended) {
                    self.delays.push(self.now - appended);
                }
            }
        }
        Ok(())
    }

    fn update_connections(&mut self, index: usize) {
        let slow = self.active(Kind::SlowNetwork, None);
        let awake = !self.nodes[index].paused && !slow;
        let log = self.reaches_log(index);
        let peer = |it: usize| self.reaches(index, it) && !self.nodes[it].paused;
        let peers = (0..self.nodes.len()).any(peer);
        let stale_reads = self.active(Kind::StaleReads, None);
        let isolated = !log && !(0..self.nodes.len()).any(|it| self.reaches(index, it));
        let now = self.now;
        let observed = &mut self.nodes[index].observed;
        let note = |since: &mut Option<Duration>, holds: bool| {
            *since = holds.then(|| since.unwrap_or(now));
        };
        note(&mut observed.log_since, awake && log && !stale_reads);
        note(&mut observed.peers_since, awake && peers);
        note(&mut observed.isolated_since, isolated);
    }

    fn check_isolation(&self, index: usize) -> Result<(), Violation> {
        let since = self.nodes[index].observed.isolated_since;
        let isolated = since.is_some_and(|it| self.now > it + ISOLATION_BOUND);
        if isolated && self.serves(index) && !self.nodes[index].paused {
            return Err(Violation::IsolatedNodeServed);
        }
        Ok(())
    }

    fn check_resumed(&mut self, index: usize) -> Result<(), Violation> {
        let Some(floor) = self.nodes[index].observed.min_resume_revision else {
            return Ok(());
        };
        if self.active(Kind::StaleReads, None) {
            // A node cannot distinguish a log that returns an older end from one without new records.
            self.nodes[index].observed.min_resume_revision = None;
            return Ok(());
        }
        if self.nodes[index].paused || !self.serves(index) {
            return Ok(());
        }
        self.nodes[index].observed.min_resume_revision = None;
        if self.nodes[index].follower.state().revision() < floor {
            return Err(Violation::ServedBeforeCatchUp);
        }
        Ok(())
    }

    /// Accepted changes are in force on nodes that reach the log, directly or through another node.
    fn check_in_force(&self, index: usize) -> Result<(), Violation> {
        let node = &self.nodes[index];
        let revision = node.follower.state().revision();
        let connected =
            |observed: &Observed, bound| observed.log_since.is_some_and(|it| self.now >= it + bound);
        let peered = |observed: &Observed| observed.peers_since.is_some_and(|it| self.now >= it + PEER_BOUND);
        let source =
            |it: &super::Node| it.running && peered(&it.observed) && connected(&it.observed, PEER_BOUND);
        let others = self.nodes.iter().enumerate().filter(|it| it.0 != index);
        let through_peer = peered(&node.observed) && others.map(|it| it.1).any(source);
        let late = |bound| revision < self.reference.revision_at(self.now.saturating_sub(bound));
        let by_log = connected(&node.observed, LOG_BOUND) && late(LOG_BOUND);
        if node.running && (by_log || through_peer && late(PEER_BOUND)) {
            return Err(Violation::NotInForce);
        }
        Ok(())
    }

    /// A publisher reports the outcome in the log, and a proposal that it reported as not published never
    /// appears.
    pub(super) fn check_outcome(&mut self, id: ProposalId, outcome: &Outcome) -> Result<(), Violation> {
        let expected = self.reference.outcomes.get(&id).copied();
        let correct = match outcome {
            Outcome::Accepted => expected == Some(record::Outcome::Accepted),
            Outcome::Conflict(_) => expected == Some(record::Outcome::Conflict),
            Outcome::Invalid(_) => expected == Some(record::Outcome::Invalid),
            Outcome::NotPublished => {
                self.reference.reported_absent.insert(id);
                expected.is_none()
            }
            Outcome::Unknown => true,
        };
        if correct {
            Ok(())
        } else {
            Err(Violation::WrongOutcomeReported)
        }
    }

    /// After the time without faults, all nodes have caught up and serve.
    pub(super) fn check_settled(&self) -> Result<(), Violation> {
        let settled = (0..self.nodes.len()).all(|it| {
            let revision = self.nodes[it].follower.state().revision();
            // A snapshot may have been appended at the last moment.
            revision >= self.reference.revision_at(self.now - LOG_BOUND) && self.serves(it)
        });
        if settled {
            Ok(())
        } else {
            Err(Violation::NotSettled)
        }
    }
}
