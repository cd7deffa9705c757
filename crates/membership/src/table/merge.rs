//! Merging of what is said about members.

use std::time::Duration;

use model::Incarnation;
use rand::Rng;

use super::{Action, Record, Table};
use crate::gossip::Urgency;
use crate::member::{Member, State};

/// How a statement about a member reached the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The member sent it itself.
    Direct,
    /// Another member passed it on.
    Relayed,
}

impl Table {
    pub(super) fn merge(
        &mut self,
        update: Member,
        source: Source,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if update.incarnation == self.local.member.incarnation {
            self.refute(&update, now, actions);
            return;
        }
        let incarnation = update.incarnation;
        match self.members.get(&incarnation) {
            Some(_) => self.merge_known(update, now, actions),
            None => self.add(update, now, rng, actions),
        }
        if source == Source::Direct {
            self.bury_predecessors(incarnation, now, actions);
        }
    }

    /// Changes the state of a member at the number of refutations that this node knows.
    pub(super) fn set_state(
        &mut self,
        incarnation: Incarnation,
        state: State,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let members = self.members.len();
        let Some(record) = self.members.get_mut(&incarnation) else {
            return;
        };
        if record.member.state == state {
            return;
        }
        record.member.state = state;
        record.since = now;
        actions.push(Action::Changed(record.member.clone()));
        self.queue.push(incarnation, Urgency::Change);
        if state == State::Suspect {
            self.suspects
                .insert(incarnation, now + self.settings.suspicion_of(members));
        } else {
            self.suspects.remove(&incarnation);
        }
    }

    /// Answers a statement that the node itself is suspected or dead.
    fn refute(&mut self, update: &Member, now: Duration, actions: &mut Vec<Action>) {
        let local = &mut self.local.member;
        let accused = matches!(update.state, State::Suspect | State::Dead);
        if !accused || update.version.refutations() < local.version.refutations() {
            return;
        }
        local.version = update.version.max(local.version).refuted();
        self.announce(now, actions);
    }

    fn add(&mut self, update: Member, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let incarnation = update.incarnation;
        let state = update.state;
        let live = update.is_live();
        let near = update.domain == self.local.member.domain;
        // Known as alive first, so that the change of state below starts the suspicion.
        let mut record = Record::new(update, now);
        if state == State::Suspect {
            record.member.state = State::Alive;
        }
        if live {
            actions.push(Action::Changed(record.member.clone()));
            self.far.insert(rng, incarnation);
            if near {
                self.near.insert(rng, incarnation);
            }
        }
        self.members.insert(incarnation, record);
        if state == State::Suspect {
            self.set_state(incarnation, state, now, actions);
        } else if live {
            self.queue.push(incarnation, Urgency::Introduction);
        }
    }

    fn merge_known(&mut self, update: Member, now: Duration, actions: &mut Vec<Action>) {
        let Some(record) = self.members.get_mut(&update.incarnation) else {
            return;
        };
        let incarnation = update.incarnation;
        let state = update.state;
        let held = record.member.version.refutations();
        let said = update.version.refutations();
        let prevails = said > held || (said == held && state > record.member.state);
        if update.version >= record.member.version {
            let readiness = record.member.readiness;
            let changed = readiness != update.readiness && record.member.state == state;
            record.member = Member {
                state: record.member.state,
                ..update
            };
            record.updated = now;
            if changed {
                actions.push(Action::Changed(record.member.clone()));
                self.queue.push(incarnation, Urgency::Change);
            }
        }
        if said > held {
            // Passed on even if the state is the same: others may hold a suspicion that this refutes.
            self.queue.push(incarnation, Urgency::Change);
        }
        if prevails {
            self.set_state(incarnation, state, now, actions);
        }
    }

    /// Declares earlier processes of the host dead: the new one has taken their place.
    fn bury_predecessors(&mut self, incarnation: Incarnation, now: Duration, actions: &mut Vec<Action>) {
        let Some(record) = self.members.get(&incarnation).filter(|it| it.member.is_live()) else {
            return;
        };
        let host = record.member.host.clone();
        for predecessor in self.others(&host, incarnation) {
            self.set_state(predecessor, State::Dead, now, actions);
        }
    }
}
