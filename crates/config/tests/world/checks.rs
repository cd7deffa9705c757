//! The rules that hold after every step.

use std::time::Duration;

use config::publish::Outcome;
use config::record::{self, Id};

use super::schedule::Kind;
use super::{Seen, Violation, World};

/// Time within which a node that reaches the log holds what was appended: polls, a scan and some pages.
const LOG_BOUND: Duration = Duration::from_secs(5);

/// Time within which a node that only reaches another such node holds it too.
const PEER_BOUND: Duration = Duration::from_secs(8);

/// Time after which an isolated node refuses, with the time of the requests that were under way.
const ISOLATION_BOUND: Duration = Duration::from_secs(11);

impl World {
    pub(super) fn check(&mut self) -> Result<(), Violation> {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].running {
                continue;
            }
            self.check_state(index)?;
            self.note_connections(index);
            self.check_isolation(index)?;
            self.check_resumption(index)?;
        }
        for index in 0..self.nodes.len() {
            self.check_in_force(index)?;
        }
        Ok(())
    }

    /// Nodes at a revision hold the state that the whole log gives, and revisions never decrease.
    fn check_state(&mut self, index: usize) -> Result<(), Violation> {
        let node = &mut self.nodes[index];
        let state = node.follower.state();
        let revision = state.revision();
        if revision == node.seen.revision {
            return Ok(());
        }
        if revision < node.seen.revision {
            return Err(Violation::NeverReverts);
        }
        let before = std::mem::replace(&mut node.seen.revision, revision);
        if self.truth.states.get(revision as usize) != Some(state) {
            return Err(Violation::SameState);
        }
        if node.seen.log_since.is_some() {
            for revision in before..revision {
                let landed = self.truth.landed_at(revision);
                if node.seen.log_since.is_some_and(|it| it <= landed) {
                    self.delays.push(self.now - landed);
                }
            }
        }
        Ok(())
    }

    fn note_connections(&mut self, index: usize) {
        let slow = self.active(Kind::Slow, None);
        let awake = !self.nodes[index].paused && !slow;
        let log = self.reaches_log(index);
        let peer = |it: usize| self.reaches(index, it) && !self.nodes[it].paused;
        let peers = (0..self.nodes.len()).any(peer);
        let old_tail = self.active(Kind::OldTail, None);
        let isolated = !log && !(0..self.nodes.len()).any(|it| self.reaches(index, it));
        let now = self.now;
        let seen = &mut self.nodes[index].seen;
        let note = |since: &mut Option<Duration>, holds: bool| {
            *since = holds.then(|| since.unwrap_or(now));
        };
        note(&mut seen.log_since, awake && log && !old_tail);
        note(&mut seen.peers_since, awake && peers);
        note(&mut seen.isolated_since, isolated);
    }

    fn check_isolation(&self, index: usize) -> Result<(), Violation> {
        let since = self.nodes[index].seen.isolated_since;
        let isolated = since.is_some_and(|it| self.now > it + ISOLATION_BOUND);
        if isolated && self.serves(index) && !self.nodes[index].paused {
            return Err(Violation::Isolated);
        }
        Ok(())
    }

    fn check_resumption(&mut self, index: usize) -> Result<(), Violation> {
        let Some(floor) = self.nodes[index].seen.resume_floor else {
            return Ok(());
        };
        if self.active(Kind::OldTail, None) {
            // A log that serves an older end cannot be told from one without new records.
            self.nodes[index].seen.resume_floor = None;
            return Ok(());
        }
        if self.nodes[index].paused || !self.serves(index) {
            return Ok(());
        }
        self.nodes[index].seen.resume_floor = None;
        if self.nodes[index].follower.state().revision() < floor {
            return Err(Violation::Resumed);
        }
        Ok(())
    }

    /// What was accepted is in force on nodes that reach the log, or another node that does.
    fn check_in_force(&self, index: usize) -> Result<(), Violation> {
        let node = &self.nodes[index];
        let revision = node.follower.state().revision();
        let connected = |seen: &Seen, bound| seen.log_since.is_some_and(|it| self.now >= it + bound);
        let peered = |seen: &Seen| seen.peers_since.is_some_and(|it| self.now >= it + PEER_BOUND);
        let source = |it: &super::Node| it.running && peered(&it.seen) && connected(&it.seen, PEER_BOUND);
        let others = self.nodes.iter().enumerate().filter(|it| it.0 != index);
        let through_peer = peered(&node.seen) && others.map(|it| it.1).any(source);
        let late = |bound| revision < self.truth.revision_at(self.now.saturating_sub(bound));
        let by_log = connected(&node.seen, LOG_BOUND) && late(LOG_BOUND);
        if node.running && (by_log || through_peer && late(PEER_BOUND)) {
            return Err(Violation::InForce);
        }
        Ok(())
    }

    /// A publisher's verdict is that of the log, and a proposal that it declared absent never appears.
    pub(super) fn check_outcome(&mut self, id: Id, outcome: &Outcome) -> Result<(), Violation> {
        let truth = self.truth.outcomes.get(&id).copied();
        let correct = match outcome {
            Outcome::Accepted => truth == Some(record::Outcome::Accepted),
            Outcome::Conflict(_) => truth == Some(record::Outcome::Conflict),
            Outcome::Invalid(_) => truth == Some(record::Outcome::Invalid),
            Outcome::NotPublished => {
                self.truth.denied.insert(id);
                truth.is_none()
            }
            Outcome::Unknown => true,
        };
        if correct { Ok(()) } else { Err(Violation::Verdict) }
    }

    /// After the quiet time all nodes have caught up and serve.
    pub(super) fn check_settled(&self) -> Result<(), Violation> {
        let settled = (0..self.nodes.len()).all(|it| {
            let revision = self.nodes[it].follower.state().revision();
            // A snapshot may have been appended just now.
            revision >= self.truth.revision_at(self.now - LOG_BOUND) && self.serves(it)
        });
        if settled { Ok(()) } else { Err(Violation::Settles) }
    }
}
