//! State machine of the membership protocol.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use model::{Host, Incarnation, Revision};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::datagram::{Body, Datagram};
use crate::member::{Member, Readiness, State};
use crate::probe::{Probe, Relays};
use crate::round_robin::RoundRobin;
use crate::seeds::{ListedState, Seed};
use crate::settings::Settings;
use crate::update_queue::UpdateQueue;

mod merge;
mod receive;
mod tick;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected several times per acknowledgement timeout.
    Tick,
    /// A datagram was received and its authenticity verified.
    Received(Box<Datagram>),
    /// The host list was read. The seeds, including those of the settings, replace the previous ones.
    Hosts(Vec<Seed>),
    /// The node's own status; expected on every change and at least once per second.
    Status(Status),
    /// A process that is no member, or that has not met this node, has sent another datagram than one of this protocol.
    Contacted(SocketAddr),
    /// The node is about to stop.
    Leave,
}

/// Status of the local node, which its own record carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Time since the node last confirmed that it had read the configuration log to its end.
    pub revision_age: Duration,
    /// Used share of the node's capacity in thousandths.
    pub load: u16,
    /// Whether callers may be sent to the node.
    pub readiness: Readiness,
    /// Hosts of the fleet that the node has observed itself; 0 if it doesn't tell.
    pub observed_hosts: u32,
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
    /// A member was added, or its state or readiness changed.
    Changed(Member),
}

/// All known members, including the node itself.
#[derive(Debug, Clone)]
pub struct Table {
    settings: Settings,
    local: Record,
    members: BTreeMap<Incarnation, Record>,
    /// Time at which each suspected member is declared dead.
    suspects: BTreeMap<Incarnation, Duration>,
    seeds: Vec<Seed>,
    /// Hosts among the seeds that are about to stop; a set, since every entry list looks up each member.
    listed_leaving: HashSet<Host>,
    /// Newly listed seeds that were not pinged yet.
    pending_discovery: VecDeque<SocketAddr>,
    queue: UpdateQueue,
    all_probes: RoundRobin,
    own_domain_probes: RoundRobin,
    own_domain_refreshes: RoundRobin,
    probe: Option<Probe>,
    relays: Relays,
    sequence: u64,
    probe_count: u64,
    last_tick: Duration,
    next_probe: Duration,
    next_reconnect: Duration,
    next_discovery: Duration,
    last_refresh: Duration,
    last_received: Option<Duration>,
}

/// A member with the times of its latest updates.
#[derive(Debug, Clone)]
struct Record {
    member: Member,
    /// Time to which `member.revision_age` refers.
    updated: Duration,
    /// Time of the last change of the state.
    state_since: Duration,
    /// Time at which the member was added.
    added: Duration,
}

impl Record {
    fn new(member: Member, now: Duration) -> Self {
        Self {
            member,
            updated: now,
            state_since: now,
            added: now,
        }
    }

    fn at(&self, now: Duration) -> Member {
        let mut member = self.member.clone();
        member.revision_age = member
            .revision_age
            .saturating_add(now.saturating_sub(self.updated));
        member
    }
}

impl Table {
    /// Creates a table that contains only the local node.
    pub fn new(settings: Settings, local: Member, now: Duration, rng: &mut impl Rng) -> Self {
        // A random time of the first probe spreads the probes of nodes that start together.
        let first = settings.probe_interval.mul_f64(rng.random());
        Self {
            settings,
            local: Record::new(local, now),
            members: BTreeMap::new(),
            suspects: BTreeMap::new(),
            seeds: Vec::new(),
            listed_leaving: HashSet::new(),
            pending_discovery: VecDeque::new(),
            queue: UpdateQueue::default(),
            all_probes: RoundRobin::default(),
            own_domain_probes: RoundRobin::default(),
            own_domain_refreshes: RoundRobin::default(),
            probe: None,
            relays: Relays::default(),
            // A random initial value prevents matches with acknowledgements meant for an earlier process.
            sequence: rng.random::<u64>() >> 1,
            probe_count: 0,
            last_tick: now,
            next_probe: now + first,
            next_reconnect: now,
            next_discovery: now,
            last_refresh: now,
            last_received: None,
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
            Event::Contacted(from) => self.meet(from, now, rng, &mut actions),
            Event::Leave => self.leave(now, rng, &mut actions),
        }
        actions
    }

    /// The node itself.
    pub fn local(&self) -> &Member {
        &self.local.member
    }

    /// Returns a member other than the node itself, with its revision age at `now`.
    pub fn member(&self, incarnation: Incarnation, now: Duration) -> Option<Member> {
        self.members.get(&incarnation).map(|it| it.at(now))
    }

    /// All members except the node itself, including dead ones that are still kept. Revision ages are those
    /// of the last update.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|it| &it.member)
    }

    /// All members that are alive or leaving, including the node itself, with their revision ages at `now`.
    pub fn live(&self, now: Duration) -> Vec<Member> {
        let others = self.members.values().filter(|it| it.member.is_live());
        std::iter::once(&self.local)
            .chain(others)
            .map(|it| it.at(now))
            .collect()
    }

    /// All members except the node itself that accept work and are not declared dead. Suspected ones are included:
    /// most of them refute the suspicion.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|it| matches!(it.state, State::Alive | State::Suspect))
    }

    /// Hosts whose members are not declared dead, including that of the node itself.
    pub fn reachable_hosts(&self) -> HashSet<&Host> {
        let members = self.members().filter(|it| it.state != State::Dead);
        members.chain([self.local()]).map(|it| &it.host).collect()
    }

    /// Number of hosts that have no member any more because it died less than `time` ago, and of seeds that were
    /// not met if this node started less than `time` ago.
    pub fn lost_hosts(&self, time: Duration, now: Duration) -> usize {
        let is_recent = |it: &&Record| now.saturating_sub(it.state_since) < time;
        let dead = self.members.values().filter(|it| it.member.state == State::Dead);
        let lost: HashSet<_> = dead.filter(is_recent).map(|it| &it.member.host).collect();
        let unmet = match self.counts_unmet_seeds(time, now) {
            true => self.unmet_seeds(),
            false => 0,
        };
        lost.difference(&self.reachable_hosts()).count() + unmet
    }

    /// Whether seeds that were not met count as lost: this node started less than `time` ago.
    pub fn counts_unmet_seeds(&self, time: Duration, now: Duration) -> bool {
        now.saturating_sub(self.local.added) < time
    }

    /// Number of seeds with the address of no member.
    fn unmet_seeds(&self) -> usize {
        self.seeds().filter(|it| !it.1).count()
    }

    /// The newest revision that any other member has stated, dead ones included; 0 if there is none.
    pub fn newest_revision(&self) -> Revision {
        self.members().map(|it| it.revision).max().unwrap_or_default()
    }

    /// Addresses of the seeds, and whether each is that of a member or of the node itself.
    pub fn seeds(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let met: HashSet<_> = self
            .members()
            .chain([self.local()])
            .map(|it| it.addresses.gossip)
            .collect();
        self.seeds
            .iter()
            .map(move |it| (it.gossip, met.contains(&it.gossip)))
    }

    /// Returns the live member on a host, other than the node itself.
    pub fn find_live_by_host(&self, host: &str) -> Option<&Member> {
        self.members().find(|it| it.is_live() && *it.host == *host)
    }

    /// Time since the last datagram from any member; `None` if there was none.
    pub fn time_since_last_datagram(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.last_received?))
    }

    /// Whether the host list says that a host is about to stop.
    pub fn is_listed_leaving(&self, host: &str) -> bool {
        self.listed_leaving.contains(host)
    }

    /// Settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn replace_seeds(&mut self, seeds: Vec<Seed>) {
        let known: HashSet<_> = self.seeds.iter().map(|it| it.gossip).collect();
        let new = seeds.iter().map(|it| it.gossip).filter(|it| !known.contains(it));
        self.pending_discovery.extend(new);
        let leaving = seeds.iter().filter(|it| it.listed == ListedState::Leaving);
        self.listed_leaving = leaving.filter_map(|it| it.host.clone()).collect();
        self.seeds = seeds;
    }

    fn update_status(&mut self, status: Status, now: Duration, actions: &mut Vec<Action>) {
        let changed = self.local.member.readiness != status.readiness;
        let local = &mut self.local.member;
        local.revision = status.revision;
        local.revision_age = status.revision_age;
        local.load = status.load;
        local.readiness = status.readiness;
        local.observed_hosts = status.observed_hosts;
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
        // A refutation, because a suspicion of this node that is already spreading must not override the
        // announcement.
        self.local.member.version = self.local.member.version.refuted();
        self.announce(now, actions);
        self.ping_for_announcement(now, rng, actions);
    }

    /// Increments the version of the node's own record and reports the change. Every datagram carries this
    /// record.
    fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.local.member.version = self.local.member.version.refreshed();
        self.local.state_since = now;
        self.last_refresh = now;
        actions.push(Action::Changed(self.local.member.clone()));
    }

    /// Pings some members at once, so that the announcement does not wait for the next probe.
    fn ping_for_announcement(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let live = self.members.values().filter(|it| it.member.is_live());
        let targets: Vec<_> = live
            .map(|it| it.member.clone())
            .take(self.settings.indirect_probes)
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

    /// Composes a datagram. Updates are added in this order: `first`, the receiver's own record if it is not
    /// live here (so that it can refute it), queued updates, then introductions or refreshes.
    fn compose(
        &mut self,
        body: Body,
        receiver: Option<Incarnation>,
        first: Option<Member>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Datagram {
        let receiver = receiver.and_then(|it| self.members.get(&it));
        let same_domain = receiver.is_some_and(|it| it.member.domain == self.local.member.domain);
        let is_new = receiver.is_some_and(|it| now < it.added + self.settings.introduction_period);
        let not_live = receiver.filter(|it| !it.member.is_live()).map(|it| it.at(now));
        let mut updates: Vec<_> = first.into_iter().chain(not_live).collect();
        let limit = self.settings.transmit_limit(self.members.len());
        let room = self.settings.max_updates.saturating_sub(updates.len());
        for incarnation in self.queue.take(room, limit) {
            self.add_update(&mut updates, incarnation, now);
        }
        if is_new {
            self.add_introductions(&mut updates, now, rng);
        } else if same_domain {
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

    /// Fills the datagram with random live members, since a new member knows only a few.
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

    /// Adds the records of members of this node's failure domain in turn, so that members of the domain have
    /// their current load.
    fn add_refreshes(&mut self, updates: &mut Vec<Member>, now: Duration) {
        for _ in 0..self.settings.refresh_updates {
            let mut order = std::mem::take(&mut self.own_domain_refreshes);
            let next = order.next_in_order(|it| self.is_in_own_domain(it), || self.own_domain_members());
            self.own_domain_refreshes = order;
            let Some(incarnation) = next else {
                return;
            };
            self.add_update(updates, incarnation, now);
        }
    }

    fn is_in_own_domain(&self, incarnation: &Incarnation) -> bool {
        let near = |it: &Record| it.member.is_live() && it.member.domain == self.local.member.domain;
        self.members.get(incarnation).is_some_and(near)
    }

    fn own_domain_members(&self) -> Vec<Incarnation> {
        self.members
            .keys()
            .filter(|it| self.is_in_own_domain(it))
            .copied()
            .collect()
    }

    fn other_processes_on(&self, host: &Host, incarnation: Incarnation) -> Vec<Incarnation> {
        let same_host = |it: &&Record| it.member.host == *host && it.member.incarnation != incarnation;
        let alive = self
            .members
            .values()
            .filter(same_host)
            .filter(|it| it.member.state != State::Dead);
        alive.map(|it| it.member.incarnation).collect()
    }
}
