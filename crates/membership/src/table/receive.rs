//! Processing of datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Host, Incarnation};
use rand::Rng;

use super::merge::Source;
use super::{Action, Table};
use crate::datagram::{Body, Datagram};
use crate::member::{Member, State};
use crate::probe::{Relay, Stage};

impl Table {
    pub(super) fn receive(
        &mut self,
        datagram: Datagram,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let Datagram { body, from, updates } = datagram;
        if from.incarnation == self.local.member.incarnation {
            return;
        }
        self.last_heard = Some(now);
        let sender = (from.incarnation, from.addresses.gossip);
        let answered = updates.first().map(|it| it.incarnation);
        self.merge(from, Source::Direct, now, rng, actions);
        for update in updates.into_iter().take(self.settings.max_updates) {
            self.merge(update, Source::Relayed, now, rng, actions);
        }
        match body {
            Body::Ping { sequence } => self.acknowledge(sequence, sender, now, rng, actions),
            Body::PingRequest { sequence, target } => {
                self.ping_for(sequence, &target, sender.1, now, rng, actions);
            }
            Body::Ack { sequence } => self.acknowledged(sequence, (sender.0, answered), now, rng, actions),
        }
    }

    fn acknowledge(
        &mut self,
        sequence: u64,
        (sender, to): (Incarnation, SocketAddr),
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let datagram = self.compose(Body::Ack { sequence }, Some(sender), None, now, rng);
        actions.push(Action::Send { to, datagram });
    }

    fn ping_for(
        &mut self,
        sequence: u64,
        target: &Host,
        requester: SocketAddr,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let found = self
            .members()
            .find(|it| it.host == *target && it.state != State::Dead);
        let Some(target) = found.cloned() else {
            return;
        };
        if !self.relays.has_room() {
            return;
        }
        let own = self.ping(&target, now, rng, actions);
        let relay = Relay {
            requester,
            sequence,
            expires: now + self.settings.probe_interval,
        };
        self.relays.insert(own, relay);
    }

    fn acknowledged(
        &mut self,
        sequence: u64,
        (sender, passed_on): (Incarnation, Option<Incarnation>),
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if let Some(relay) = self.relays.take(sequence) {
            self.pass_on(&relay, sender, now, rng, actions);
            return;
        }
        let Some(probe) = self.probe.as_mut().filter(|it| it.sequence == sequence) else {
            return;
        };
        // An acknowledgement of a later process at the same address does not count for the probed one.
        if probe.target == sender || passed_on == Some(probe.target) {
            probe.stage = Stage::Answered;
        }
    }

    fn pass_on(
        &mut self,
        relay: &Relay,
        sender: Incarnation,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let answered: Option<Member> = self.member(sender, now);
        let body = Body::Ack {
            sequence: relay.sequence,
        };
        let datagram = self.compose(body, None, answered, now, rng);
        let to = relay.requester;
        actions.push(Action::Send { to, datagram });
    }
}
