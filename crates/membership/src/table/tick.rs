//! Work that depends on time: probes, suspicions, reconnection.

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
        self.forgive_pause(now);
        self.last_tick = now;
        self.relays.expire(now);
        self.expire_suspicions(now, actions);
        self.ask_helpers(now, rng, actions);
        if now >= self.next_probe {
            self.conclude_probe(now, rng, actions);
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

    /// After a pause of this process its missing acknowledgements say nothing about other members.
    fn forgive_pause(&mut self, now: Duration) {
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

    fn ask_helpers(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
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
        let helpers = others
            .map(|it| it.member.clone())
            .choose_multiple(rng, self.settings.helpers);
        for helper in helpers {
            let body = Body::PingRequest {
                sequence,
                target: host.clone(),
            };
            let datagram = self.compose(body, Some(helper.incarnation), None, now, rng);
            let to = helper.addresses.gossip;
            actions.push(Action::Send { to, datagram });
        }
    }

    fn conclude_probe(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
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
        // A live member learns of the suspicion at once and refutes it.
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

    /// Alternates between all members and those of the own failure domain, whose load has to be fresh.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<Member> {
        self.probes += 1;
        let near = self.probes.is_multiple_of(2);
        let found = if near { self.next_near(rng) } else { None };
        let found = found.or_else(|| self.next_far(rng))?;
        self.members.get(&found).map(|it| it.member.clone())
    }

    fn next_near(&mut self, rng: &mut impl Rng) -> Option<Incarnation> {
        let mut ring = std::mem::take(&mut self.near);
        let found = ring.next(rng, |it| self.is_near(it), || self.near_members());
        self.near = ring;
        found
    }

    fn next_far(&mut self, rng: &mut impl Rng) -> Option<Incarnation> {
        let mut ring = std::mem::take(&mut self.far);
        let not_dead = |it: &Incarnation| {
            self.members
                .get(it)
                .is_some_and(|it| it.member.state != State::Dead)
        };
        let refill = || self.members.keys().filter(|it| not_dead(it)).copied().collect();
        let found = ring.next(rng, not_dead, refill);
        self.far = ring;
        found
    }

    /// Pings a dead member or a listed host without a live member, so that a separation ends.
    fn reconnect(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let (dead, known): (Vec<_>, Vec<_>) = self.members().partition(|it| it.state == State::Dead);
        let local = std::iter::once(self.local());
        let reached: HashSet<_> = known
            .into_iter()
            .chain(local)
            .map(|it| it.addresses.gossip)
            .collect();
        let dead = dead
            .into_iter()
            .map(|it| (it.addresses.gossip, Some(it.incarnation)));
        let seeds = self.seeds.iter().map(|it| (it.gossip, None));
        let candidates = dead.chain(seeds).filter(|it| !reached.contains(&it.0));
        let Some((to, receiver)) = candidates.choose(rng) else {
            return;
        };
        self.ping_address(to, receiver, now, rng, actions);
    }

    /// Pings the next host that was listed lately, so that a new node need not wait for introductions.
    fn discover(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.undiscovered.is_empty() {
            return;
        }
        let reached = self.reached();
        while let Some(to) = self.undiscovered.pop_front() {
            if !reached.contains(&to) {
                self.ping_address(to, None, now, rng, actions);
                return;
            }
        }
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

    /// Addresses of the node itself and of all members that are not dead.
    fn reached(&self) -> HashSet<SocketAddr> {
        let members = std::iter::once(self.local()).chain(self.members());
        members
            .filter(|it| it.state != State::Dead)
            .map(|it| it.addresses.gossip)
            .collect()
    }

    fn forget_dead(&mut self, now: Duration) {
        let retention = self.settings.dead_retention;
        self.members
            .retain(|_, it| it.member.state != State::Dead || now < it.since + retention);
    }

    fn refresh_version(&mut self, now: Duration) {
        if now < self.last_refresh + self.settings.probe_interval {
            return;
        }
        self.last_refresh = now;
        self.local.member.version = self.local.member.version.refreshed();
    }
}
