//! Merging of received member records.

use std::time::Duration;

use model::Incarnation;
use rand::Rng;

use super::{Action, Record, Table};
use crate::member::{Member, State};
use crate::update_queue::Priority;

/// How a member record reached the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Sent by the member itself.
    Direct,
    /// Forwarded by another member.
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
            self.declare_predecessors_dead(incarnation, now, actions);
        }
    }

    /// Changes the state of a member without changing its version, so it applies to the known number of
    /// refutations.
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
        record.state_since = now;
        actions.push(Action::Changed(record.member.clone()));
        self.queue.push(incarnation, Priority::Change);
        if state == State::Suspect {
            self.suspects
                .insert(incarnation, now + self.settings.suspicion_timeout_for(members));
        } else {
            self.suspects.remove(&incarnation);
        }
    }

    /// Refutes an update that reports this node as suspected or dead.
    fn refute(&mut self, update: &Member, now: Duration, actions: &mut Vec<Action>) {
        let local = &mut self.local.member;
        let reported_failed = matches!(update.state, State::Suspect | State::Dead);
        if !reported_failed || update.version.refutations() < local.version.refutations() {
            return;
        }
        local.version = update.version.max(local.version).refuted();
        self.announce(now, actions);
    }

    fn add(&mut self, update: Member, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let incarnation = update.incarnation;
        let state = update.state;
        let live = update.is_live();
        let same_domain = update.domain == self.local.member.domain;
        // Added as alive first, so that `set_state` below starts the suspicion timeout.
        let mut record = Record::new(update, now);
        if state == State::Suspect {
            record.member.state = State::Alive;
        }
        if live {
            actions.push(Action::Changed(record.member.clone()));
            self.all_probes.insert(rng, incarnation);
            if same_domain {
                self.own_domain_probes.insert(rng, incarnation);
            }
        }
        self.members.insert(incarnation, record);
        if state == State::Suspect {
            self.set_state(incarnation, state, now, actions);
        } else if live {
            self.queue.push(incarnation, Priority::Introduction);
        }
    }

    fn merge_known(&mut self, update: Member, now: Duration, actions: &mut Vec<Action>) {
        let Some(record) = self.members.get_mut(&update.incarnation) else {
            return;
        };
        let incarnation = update.incarnation;
        let state = update.state;
        let known_refutations = record.member.version.refutations();
        let received_refutations = update.version.refutations();
        let supersedes = received_refutations > known_refutations
            || (received_refutations == known_refutations && state > record.member.state);
        if update.version >= record.member.version {
            let readiness = record.member.readiness;
            let changed = readiness != update.readiness && record.member.state == state;
            // Records that came through a member of an older build lack the number.
            let observed_hosts = match update.observed_hosts {
                0 => record.member.observed_hosts,
                hosts => hosts,
            };
            record.member = Member {
                state: record.member.state,
                observed_hosts,
                ..update
            };
            record.updated = now;
            if changed {
                actions.push(Action::Changed(record.member.clone()));
                self.queue.push(incarnation, Priority::Change);
            }
        }
        if received_refutations > known_refutations {
            // Disseminated even if the state is the same: other members may hold a suspicion that this
            // refutes.
            self.queue.push(incarnation, Priority::Change);
        }
        if supersedes {
            self.set_state(incarnation, state, now, actions);
        }
    }

    /// Declares earlier processes of the host dead, since the new process has replaced them.
    fn declare_predecessors_dead(
        &mut self,
        incarnation: Incarnation,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.members.get(&incarnation).filter(|it| it.member.is_live()) else {
            return;
        };
        let host = record.member.host.clone();
        for predecessor in self.other_processes_on(&host, incarnation) {
            self.set_state(predecessor, State::Dead, now, actions);
        }
    }
}
