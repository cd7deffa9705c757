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
        self.last_received = Some(now);
        let sender = (from.incarnation, from.addresses.gossip);
        let forwarded_from = updates.first().map(|it| it.incarnation);
        self.merge(from, Source::Direct, now, rng, actions);
        for update in updates.into_iter().take(self.settings.max_updates) {
            self.merge(update, Source::Relayed, now, rng, actions);
        }
        match body {
            Body::Ping { sequence } => self.send_ack(sequence, sender, now, rng, actions),
            Body::PingRequest { sequence, target } => {
                self.relay_ping(sequence, &target, sender.1, now, rng, actions);
            }
            Body::Ack { sequence } => {
                self.handle_ack(sequence, (sender.0, forwarded_from), now, rng, actions);
            }
        }
    }

    fn send_ack(
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

    fn relay_ping(
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
        if !self.relays.has_capacity() {
            return;
        }
        let own_sequence = self.ping(&target, now, rng, actions);
        let relay = Relay {
            requester,
            sequence,
            expires: now + self.settings.probe_interval,
        };
        self.relays.insert(own_sequence, relay);
    }

    fn handle_ack(
        &mut self,
        sequence: u64,
        (sender, forwarded_from): (Incarnation, Option<Incarnation>),
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if let Some(relay) = self.relays.take(sequence) {
            self.forward_ack(&relay, sender, now, rng, actions);
            return;
        }
        let Some(probe) = self.probe.as_mut().filter(|it| it.sequence == sequence) else {
            return;
        };
        // An acknowledgement from a newer process at the same address does not count for the probed process.
        if probe.target == sender || forwarded_from == Some(probe.target) {
            probe.stage = Stage::Answered;
        }
    }

    fn forward_ack(
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
