//! Time-driven work: probes, suspicion timeouts, reconnection and discovery.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use model::Incarnation;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{Action, Table};
use crate::datagram::Body;
use crate::member::{Member, State};
use crate::probe::{Probe, Stage};

impl Table {
    pub(super) fn tick(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        self.adjust_for_pause(now);
        self.last_tick = now;
        self.relays.expire(now);
        self.expire_suspicions(now, actions);
        self.request_indirect_probes(now, rng, actions);
        if now >= self.next_probe {
            self.finish_probe(now, rng, actions);
            self.start_probe(now, rng, actions);
            self.next_probe = now + self.settings.probe_interval;
        }
        if now >= self.next_reconnect {
            self.reconnect(now, rng, actions);
            self.next_reconnect = now + self.settings.reconnect_interval;
            self.forget_dead(now);
        }
        if now >= self.next_discovery {
            self.discover(now, rng, actions);
            self.next_discovery = now + self.settings.discovery_interval;
        }
        self.refresh_version(now);
    }

    /// Cancels the probe and extends suspicions after a pause of this process: acknowledgements that it
    /// missed meanwhile say nothing about other members.
    fn adjust_for_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_tick);
        if pause <= self.settings.probe_interval {
            return;
        }
        self.probe = None;
        self.suspects.values_mut().for_each(|it| *it += pause);
    }

    fn expire_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let expired: Vec<_> = self
            .suspects
            .iter()
            .filter(|it| *it.1 <= now)
            .map(|it| *it.0)
            .collect();
        for incarnation in expired {
            self.set_state(incarnation, State::Dead, now, actions);
        }
    }

    fn request_indirect_probes(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let timeout = self.settings.ack_timeout;
        let due = |it: &&mut Probe| it.stage == Stage::Direct && now >= it.started + timeout;
        let Some(probe) = self.probe.as_mut().filter(due) else {
            return;
        };
        probe.stage = Stage::Indirect;
        let (sequence, target) = (probe.sequence, probe.target);
        let Some(host) = self.members.get(&target).map(|it| it.member.host.clone()) else {
            return;
        };
        let live = self.members.values().filter(|it| it.member.is_live());
        let others = live.filter(|it| it.member.incarnation != target);
        let relays = others
            .map(|it| it.member.clone())
            .choose_multiple(rng, self.settings.indirect_probes);
        for relay in relays {
            let body = Body::PingRequest {
                sequence,
                target: host.clone(),
            };
            let datagram = self.compose(body, Some(relay.incarnation), None, now, rng);
            let to = relay.addresses.gossip;
            actions.push(Action::Send { to, datagram });
        }
    }

    fn finish_probe(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        if probe.stage == Stage::Answered {
            return;
        }
        let Some(record) = self.members.get(&probe.target).filter(|it| it.member.is_live()) else {
            return;
        };
        let target = record.member.clone();
        self.set_state(probe.target, State::Suspect, now, actions);
        // If the member is alive, it learns of the suspicion at once and refutes it.
        self.ping(&target, now, rng, actions);
    }

    fn start_probe(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let sequence = self.ping(&target, now, rng, actions);
        self.probe = Some(Probe {
            target: target.incarnation,
            sequence,
            started: now,
            stage: Stage::Direct,
        });
    }

    /// Alternates between all members and those of this node's failure domain, whose load has to be up to
    /// date.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<Member> {
        self.probe_count += 1;
        let own_domain = self.probe_count.is_multiple_of(2);
        let found = if own_domain {
            self.next_in_own_domain(rng)
        } else {
            None
        };
        let found = found.or_else(|| self.next_of_all(rng))?;
        self.members.get(&found).map(|it| it.member.clone())
    }

    fn next_in_own_domain(&mut self, rng: &mut impl Rng) -> Option<Incarnation> {
        let mut order = std::mem::take(&mut self.own_domain_probes);
        let found = order.next(rng, |it| self.is_in_own_domain(it), || self.own_domain_members());
        self.own_domain_probes = order;
        found
    }

    fn next_of_all(&mut self, rng: &mut impl Rng) -> Option<Incarnation> {
        let mut order = std::mem::take(&mut self.all_probes);
        let not_dead = |it: &Incarnation| {
            self.members
                .get(it)
                .is_some_and(|it| it.member.state != State::Dead)
        };
        let refill = || self.members.keys().filter(|it| not_dead(it)).copied().collect();
        let found = order.next(rng, not_dead, refill);
        self.all_probes = order;
        found
    }

    /// Pings a random dead member or listed host whose address belongs to no other known member, to rejoin
    /// after a network partition.
    fn reconnect(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let (dead, known): (Vec<_>, Vec<_>) = self.members().partition(|it| it.state == State::Dead);
        let local = std::iter::once(self.local());
        let connected: HashSet<_> = known
            .into_iter()
            .chain(local)
            .map(|it| it.addresses.gossip)
            .collect();
        let dead = dead
            .into_iter()
            .map(|it| (it.addresses.gossip, Some(it.incarnation)));
        let seeds = self.seeds.iter().map(|it| (it.gossip, None));
        let candidates = dead.chain(seeds).filter(|it| !connected.contains(&it.0));
        let Some((to, receiver)) = candidates.choose(rng) else {
            return;
        };
        self.ping_address(to, receiver, now, rng, actions);
    }

    /// Pings the next newly listed host, so that a new node does not have to wait for introductions.
    fn discover(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.pending_discovery.is_empty() {
            return;
        }
        let connected = self.connected_addresses();
        while let Some(to) = self.pending_discovery.pop_front() {
            if !connected.contains(&to) {
                self.ping_address(to, None, now, rng, actions);
                return;
            }
        }
    }

    /// Pings the process at an address, so that both become members of each other. A seed that starts after a node has
    /// missed that node's first ping.
    pub(super) fn meet(
        &mut self,
        address: SocketAddr,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        self.ping_address(address, None, now, rng, actions);
    }

    fn ping_address(
        &mut self,
        to: SocketAddr,
        receiver: Option<Incarnation>,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.next_sequence();
        let datagram = self.compose(Body::Ping { sequence }, receiver, None, now, rng);
        actions.push(Action::Send { to, datagram });
    }

    /// Gossip addresses of this node and of all members that are not dead.
    fn connected_addresses(&self) -> HashSet<SocketAddr> {
        let members = std::iter::once(self.local()).chain(self.members());
        members
            .filter(|it| it.state != State::Dead)
            .map(|it| it.addresses.gossip)
            .collect()
    }

    fn forget_dead(&mut self, now: Duration) {
        let retention = self.settings.dead_retention;
        self.members
            .retain(|_, it| it.member.state != State::Dead || now < it.state_since + retention);
    }

    fn refresh_version(&mut self, now: Duration) {
        if now < self.last_refresh + self.settings.probe_interval {
            return;
        }
        self.last_refresh = now;
        self.local.member.version = self.local.member.version.refreshed();
    }
}
