//! The state machine.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use model::{Host, Incarnation, Revision};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::datagram::{Body, Datagram};
use crate::gossip::Queue;
use crate::member::{Member, Readiness, State};
use crate::probe::{Probe, Relays};
use crate::ring::Ring;
use crate::seeds::{Listed, Seed};
use crate::settings::Settings;

mod merge;
mod receive;
mod tick;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; to be given several times per acknowledgement time-out.
    Tick,
    /// A datagram arrived whose authenticity was verified.
    Received(Box<Datagram>),
    /// The host list was read; the seeds, those of the settings included, replace the previous ones.
    Hosts(Vec<Seed>),
    /// The node's own status, whenever it changes and at least once a second.
    Status(Status),
    /// The node is about to stop.
    Leave,
}

/// What a node says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Time since the node last knew that it held the end of the configuration log.
    pub age: Duration,
    /// Used share of its capacity in thousandths.
    pub load: u16,
    /// Whether callers may be sent to it.
    pub readiness: Readiness,
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Contents.
        datagram: Datagram,
    },
    /// A member became known or changed its state or readiness.
    Changed(Member),
}

/// All known members; the node itself included.
#[derive(Debug, Clone)]
pub struct Table {
    settings: Settings,
    local: Record,
    members: BTreeMap<Incarnation, Record>,
    /// End of the suspicion of each suspected member.
    suspects: BTreeMap<Incarnation, Duration>,
    seeds: Vec<Seed>,
    /// Hosts among the seeds that are about to stop; entry answers look up each member.
    listed_leaving: HashSet<Host>,
    /// Seeds that were listed lately and not pinged yet.
    undiscovered: VecDeque<SocketAddr>,
    queue: Queue,
    far: Ring,
    near: Ring,
    refresh: Ring,
    probe: Option<Probe>,
    relays: Relays,
    sequence: u64,
    probes: u64,
    last_tick: Duration,
    next_probe: Duration,
    next_reconnect: Duration,
    next_discovery: Duration,
    last_refresh: Duration,
    last_heard: Option<Duration>,
}

/// A member with the time of the last statement about it.
#[derive(Debug, Clone)]
struct Record {
    member: Member,
    /// When `member.age` was true.
    updated: Duration,
    /// When the state last changed.
    since: Duration,
    /// When the member became known.
    added: Duration,
}

impl Record {
    fn new(member: Member, now: Duration) -> Self {
        Self {
            member,
            updated: now,
            since: now,
            added: now,
        }
    }

    fn at(&self, now: Duration) -> Member {
        let mut member = self.member.clone();
        member.age = member.age.saturating_add(now.saturating_sub(self.updated));
        member
    }
}

impl Table {
    /// A fleet that consists of the node alone.
    pub fn new(settings: Settings, local: Member, now: Duration, rng: &mut impl Rng) -> Self {
        // A random first probe time spreads the probes of nodes that start together.
        let first = settings.probe_interval.mul_f64(rng.random());
        Self {
            settings,
            local: Record::new(local, now),
            members: BTreeMap::new(),
            suspects: BTreeMap::new(),
            seeds: Vec::new(),
            listed_leaving: HashSet::new(),
            undiscovered: VecDeque::new(),
            queue: Queue::default(),
            far: Ring::default(),
            near: Ring::default(),
            refresh: Ring::default(),
            probe: None,
            relays: Relays::default(),
            // A random start keeps acknowledgements for an earlier process from matching.
            sequence: rng.random::<u64>() >> 1,
            probes: 0,
            last_tick: now,
            next_probe: now + first,
            next_reconnect: now,
            next_discovery: now,
            last_refresh: now,
            last_heard: None,
        }
    }

    /// Processes an event.
    pub fn handle(&mut self, event: Event, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, rng, &mut actions),
            Event::Received(datagram) => self.receive(*datagram, now, rng, &mut actions),
            Event::Hosts(seeds) => self.replace_seeds(seeds),
            Event::Status(status) => self.update_status(status, now, &mut actions),
            Event::Leave => self.leave(now, rng, &mut actions),
        }
        actions
    }

    /// The node itself.
    pub fn local(&self) -> &Member {
        &self.local.member
    }

    /// A member other than the node itself, with the age of its revision at `now`.
    pub fn member(&self, incarnation: Incarnation, now: Duration) -> Option<Member> {
        self.members.get(&incarnation).map(|it| it.at(now))
    }

    /// All members but the node itself, the dead ones included for a while; ages are those of the last statement.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|it| &it.member)
    }

    /// All members that are alive or leaving, the node itself included, with the ages of their revisions at `now`.
    pub fn live(&self, now: Duration) -> Vec<Member> {
        let others = self.members.values().filter(|it| it.member.is_live());
        std::iter::once(&self.local)
            .chain(others)
            .map(|it| it.at(now))
            .collect()
    }

    /// The live member that runs on a host.
    pub fn by_host(&self, host: &str) -> Option<&Member> {
        self.members().find(|it| it.is_live() && *it.host == *host)
    }

    /// Time since a datagram of any member arrived; `None` if there was none.
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.last_heard?))
    }

    /// Whether the host list says that a host is about to stop.
    pub fn is_listed_leaving(&self, host: &str) -> bool {
        self.listed_leaving.contains(host)
    }

    /// The times and bounds in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn replace_seeds(&mut self, seeds: Vec<Seed>) {
        let listed: HashSet<_> = self.seeds.iter().map(|it| it.gossip).collect();
        let fresh = seeds.iter().map(|it| it.gossip).filter(|it| !listed.contains(it));
        self.undiscovered.extend(fresh);
        let leaving = seeds.iter().filter(|it| it.listed == Listed::Leaving);
        self.listed_leaving = leaving.filter_map(|it| it.host.clone()).collect();
        self.seeds = seeds;
    }

    fn update_status(&mut self, status: Status, now: Duration, actions: &mut Vec<Action>) {
        let changed = self.local.member.readiness != status.readiness;
        let local = &mut self.local.member;
        local.revision = status.revision;
        local.age = status.age;
        local.load = status.load;
        local.readiness = status.readiness;
        self.local.updated = now;
        if changed {
            self.announce(now, actions);
        }
    }

    fn leave(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.local.member.state == State::Leaving {
            return;
        }
        self.local.member.state = State::Leaving;
        // A suspicion that is already under way must not hide the announcement.
        self.local.member.version = self.local.member.version.refuted();
        self.announce(now, actions);
        self.announce_directly(now, rng, actions);
    }

    /// Reports a change of the node's own record, which every datagram carries.
    fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.local.member.version = self.local.member.version.refreshed();
        self.local.since = now;
        self.last_refresh = now;
        actions.push(Action::Changed(self.local.member.clone()));
    }

    /// Pings some members at once, so that the news does not wait for the next probe.
    fn announce_directly(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let live = self.members.values().filter(|it| it.member.is_live());
        let targets: Vec<_> = live
            .map(|it| it.member.clone())
            .take(self.settings.helpers)
            .collect();
        for target in targets {
            self.ping(&target, now, rng, actions);
        }
    }

    fn ping(&mut self, target: &Member, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) -> u64 {
        let sequence = self.next_sequence();
        let datagram = self.compose(Body::Ping { sequence }, Some(target.incarnation), None, now, rng);
        let to = target.addresses.gossip;
        actions.push(Action::Send { to, datagram });
        sequence
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Composes a datagram with the updates that matter most to the receiver.
    fn compose(
        &mut self,
        body: Body,
        receiver: Option<Incarnation>,
        first: Option<Member>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Datagram {
        let receiver = receiver.and_then(|it| self.members.get(&it));
        let near = receiver.is_some_and(|it| it.member.domain == self.local.member.domain);
        let new = receiver.is_some_and(|it| now < it.added + self.settings.introduction);
        let accused = receiver.filter(|it| !it.member.is_live()).map(|it| it.at(now));
        let mut updates: Vec<_> = first.into_iter().chain(accused).collect();
        let repeats = self.settings.repeats_of(self.members.len());
        let room = self.settings.max_updates.saturating_sub(updates.len());
        for incarnation in self.queue.take(room, repeats) {
            self.add_update(&mut updates, incarnation, now);
        }
        if new {
            self.add_introductions(&mut updates, now, rng);
        } else if near {
            self.add_refreshes(&mut updates, now);
        }
        Datagram {
            body,
            from: self.local.at(now),
            updates,
        }
    }

    fn add_update(&self, updates: &mut Vec<Member>, incarnation: Incarnation, now: Duration) {
        let known = updates.iter().any(|it| it.incarnation == incarnation);
        if known || updates.len() >= self.settings.max_updates {
            return;
        }
        updates.extend(self.members.get(&incarnation).map(|it| it.at(now)));
    }

    /// Fills the datagram with random live members, since a new member knows few.
    fn add_introductions(&self, updates: &mut Vec<Member>, now: Duration, rng: &mut impl Rng) {
        let live = self
            .members
            .iter()
            .filter(|it| it.1.member.is_live())
            .map(|it| *it.0);
        for incarnation in live.choose_multiple(rng, self.settings.max_updates) {
            self.add_update(updates, incarnation, now);
        }
    }

    /// Adds the records of members of the own failure domain, in turn, so that their load stays known there.
    fn add_refreshes(&mut self, updates: &mut Vec<Member>, now: Duration) {
        for _ in 0..self.settings.refresh_updates {
            let mut order = std::mem::take(&mut self.refresh);
            let next = order.next_in_order(|it| self.is_near(it), || self.near_members());
            self.refresh = order;
            let Some(incarnation) = next else {
                return;
            };
            self.add_update(updates, incarnation, now);
        }
    }

    fn is_near(&self, incarnation: &Incarnation) -> bool {
        let near = |it: &Record| it.member.is_live() && it.member.domain == self.local.member.domain;
        self.members.get(incarnation).is_some_and(near)
    }

    fn near_members(&self) -> Vec<Incarnation> {
        self.members
            .keys()
            .filter(|it| self.is_near(it))
            .copied()
            .collect()
    }

    fn others(&self, host: &Host, incarnation: Incarnation) -> Vec<Incarnation> {
        let same_host = |it: &&Record| it.member.host == *host && it.member.incarnation != incarnation;
        let alive = self
            .members
            .values()
            .filter(same_host)
            .filter(|it| it.member.state != State::Dead);
        alive.map(|it| it.member.incarnation).collect()
    }
}
