//! A fleet of nodes before the engines of one service, of which some lose their paths. Virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;

use forward::BootTime;
use forward::path::{Answer, Path, Task, Way};
use model::{Host, Upstream};
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// One simulated cut.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub nodes: usize,
    /// Share of the nodes that are cut off.
    pub share: f64,
    /// Time in which a connection over a cut path fails.
    pub failure_time: Duration,
    /// Share of the engines that have ended, for all nodes.
    pub ended: f64,
}

impl Trial {
    /// Time from the begin of the cut after which callers must not notice it.
    pub(super) const STABILITY_WINDOW: Duration = Duration::from_secs(3);

    const CUT: Range<BootTime> = Duration::from_secs(5)..Duration::from_secs(17);
    const LENGTH: Duration = Duration::from_secs(25);

    /// Requests a second at each node.
    const RATE: f64 = 3.0;

    const ENGINES: usize = 18;

    /// Engines of a service of which some have ended.
    const ENGINES_BESIDE_ENDED: usize = 90;

    fn is_cut(self, node: usize, now: BootTime) -> bool {
        let count = (self.nodes as f64 * self.share).round() as usize;
        node < count && Self::CUT.contains(&now)
    }

    fn engines(self) -> usize {
        match self.ended > 0.0 {
            true => Self::ENGINES_BESIDE_ENDED,
            false => Self::ENGINES,
        }
    }

    fn has_ended(self, engine: usize, now: BootTime) -> bool {
        let count = (self.engines() as f64 * self.ended).round() as usize;
        engine < count && Self::CUT.contains(&now)
    }

    /// Whether the requests of a node that arrive at a time are counted.
    fn is_counted(self, node: usize, now: BootTime) -> bool {
        self.is_cut(node, now) || self.ended > 0.0 && Self::CUT.contains(&now)
    }
}

const TICK: Duration = Duration::from_millis(100);
/// Time in which gossip tells all nodes that one has lost its path.
const GOSSIP_TIME: Duration = Duration::from_secs(2);

const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Peers that are asked to take one request.
const MAX_PEERS: usize = 3;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.02;

/// Engines that a request may fail to reach, as [`forward::retry`] allows.
const MAX_ATTEMPTS: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// A request goes on at its node.
    Attempt {
        node: usize,
        arrived: BootTime,
        attempts: u32,
        /// Whether its direct connection ends now, rather than that its way is looked for again.
        connecting: bool,
    },
    Reply {
        node: usize,
        peer: usize,
        reaches: bool,
    },
    EndInquiry(usize),
    Probed(usize),
    Tick(usize),
}

/// What happened.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    /// Requests and those served, during the cut, at nodes that are cut off.
    requests: usize,
    served: usize,
    /// The same for each of these nodes, from [`Trial::STABILITY_WINDOW`] on.
    late: Vec<(usize, usize)>,
    /// Longest time from the first request in the cut to the first one served, and from its end to a direct one.
    pub first_served: Duration,
    pub direct_again: Duration,
    pub passed_on: usize,
    /// Requests that each node took.
    taken: Vec<usize>,
    datagrams: usize,
    /// Longest time until a request was refused, from [`Trial::STABILITY_WINDOW`] on.
    pub longest_refusal: Duration,
}

impl Outcome {
    pub(super) fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// Share served late at the node where it is least.
    pub(super) fn least_served_late(&self) -> f64 {
        let asked = self.late.iter().filter(|it| it.0 > 0);
        asked.map(|it| it.1 as f64 / it.0 as f64).fold(1.0, f64::min)
    }

    /// Requests that the busiest node took, relative to the mean of those that took some.
    pub(super) fn imbalance(&self) -> f64 {
        let takers = self.taken.iter().filter(|it| **it > 0).count().max(1);
        let most = self.taken.iter().max().copied().unwrap_or_default();
        most as f64 * takers as f64 / self.passed_on.max(1) as f64
    }

    pub(super) fn datagrams_per_node(&self, trial: Trial) -> f64 {
        let seconds = (Trial::CUT.end - Trial::CUT.start).as_secs_f64();
        self.datagrams as f64 / seconds / trial.nodes as f64
    }
}

#[derive(Debug, Default)]
struct Node {
    path: Path,
    /// Since when it has not reached an engine.
    lost_since: Option<BootTime>,
    first_request: Option<BootTime>,
    first_served: Option<BootTime>,
    direct_again: Option<BootTime>,
}

#[derive(Debug)]
pub(super) struct Fleet {
    trial: Trial,
    rng: SmallRng,
    now: BootTime,
    events: BinaryHeap<Reverse<(BootTime, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    outcome: Outcome,
}

impl Fleet {
    pub(super) fn run(trial: Trial, seed: u64) -> Outcome {
        let mut fleet = Self {
            trial,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: (0..trial.nodes).map(|_| Node::default()).collect(),
            outcome: Outcome {
                late: vec![(0, 0); trial.nodes],
                taken: vec![0; trial.nodes],
                ..Outcome::default()
            },
        };
        for node in 0..trial.nodes {
            fleet.schedule_arrival(node);
            let offset = TICK.mul_f64(fleet.rng.random_range(0.0..1.0));
            fleet.schedule(offset, Event::Tick(node));
        }
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at > Trial::LENGTH {
                break;
            }
            fleet.now = at;
            fleet.handle(event);
        }
        fleet.finish()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn schedule_arrival(&mut self, node: usize) {
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / Trial::RATE;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrival(node));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(node) => {
                self.schedule_arrival(node);
                if self.trial.is_cut(node, self.now) {
                    self.nodes[node].first_request.get_or_insert(self.now);
                }
                let arrived = self.now;
                self.attempt(node, arrived, 0);
            }
            Event::Attempt {
                node,
                arrived,
                attempts,
                connecting,
            } => match connecting {
                true => self.end_connection(node, arrived, attempts),
                false => self.attempt(node, arrived, attempts),
            },
            Event::Reply { node, peer, reaches } => {
                if reaches {
                    let now = self.now;
                    self.nodes[node].path.record_offer(&host(peer), now);
                }
            }
            Event::EndInquiry(node) => {
                let now = self.now;
                let engines = self.trial.engines();
                self.nodes[node].path.end_inquiry(engines, now);
            }
            Event::Probed(node) => {
                let engine = self.engine_to_probe(node);
                self.connect_to(node, engine);
            }
            Event::Tick(node) => {
                self.schedule(TICK, Event::Tick(node));
                let now = self.now;
                self.nodes[node].lost_since = match self.nodes[node].path.is_lost() {
                    true => self.nodes[node].lost_since.or(Some(now)),
                    false => None,
                };
                while let Some(task) = self.nodes[node].path.take_due(now) {
                    match task {
                        Task::Probe => {
                            let time = self.connection_time(node);
                            self.schedule(time, Event::Probed(node));
                        }
                        Task::Inquire => self.inquire(node),
                    }
                }
            }
        }
    }

    /// Begins an attempt, or waits until the way is known.
    fn attempt(&mut self, node: usize, arrived: BootTime, attempts: u32) {
        if attempts == MAX_ATTEMPTS {
            return self.end(node, arrived, false);
        }
        let now = self.now;
        let engines = self.trial.engines();
        let way = self.nodes[node].path.way(engines, now, &mut self.rng);
        let again = |connecting, attempts| Event::Attempt {
            node,
            arrived,
            attempts,
            connecting,
        };
        match way {
            Way::Direct => {
                let time = self.connection_time(node);
                self.schedule(time, again(true, attempts));
            }
            Way::Peer if self.pass_on(node) => self.end(node, arrived, true),
            Way::Peer => self.schedule(ROUND_TRIP, again(false, attempts + 1)),
            Way::Inquire => {
                self.inquire(node);
                self.schedule(ROUND_TRIP, again(false, attempts));
            }
            Way::Wait => self.schedule(ROUND_TRIP, again(false, attempts)),
            Way::None => self.end(node, arrived, false),
        }
    }

    fn end_connection(&mut self, node: usize, arrived: BootTime, attempts: u32) {
        if !self.connect(node) {
            return self.attempt(node, arrived, attempts + 1);
        }
        if self.now >= Trial::CUT.end {
            self.nodes[node].direct_again.get_or_insert(self.now);
        }
        self.end(node, arrived, true);
    }

    /// Ends a connection attempt of a node to a random engine; returns whether it was established.
    fn connect(&mut self, node: usize) -> bool {
        let engine = self.random_engine();
        self.connect_to(node, engine)
    }

    fn connect_to(&mut self, node: usize, engine: usize) -> bool {
        let now = self.now;
        let fails = self.trial.is_cut(node, now) || self.trial.has_ended(engine, now);
        let path = &mut self.nodes[node].path;
        match fails {
            true => path.record_unreached(&engine_id(engine), now),
            false => path.record_reached(now),
        };
        !fails
    }

    /// A random engine, preferably one that did not fail.
    fn engine_to_probe(&mut self, node: usize) -> usize {
        let path = &self.nodes[node].path;
        let has_failed = |it: &usize| path.has_failed(&engine_id(*it));
        let untried = (0..self.trial.engines()).filter(|it| !has_failed(it));
        untried
            .choose(&mut self.rng)
            .unwrap_or_else(|| self.random_engine())
    }

    fn random_engine(&mut self) -> usize {
        self.rng.random_range(0..self.trial.engines())
    }

    fn connection_time(&self, node: usize) -> Duration {
        match self.trial.is_cut(node, self.now) {
            true => self.trial.failure_time,
            false => ROUND_TRIP,
        }
    }

    fn inquire(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].path.begin_inquiry(now);
        self.schedule(Path::INQUIRY_TIME, Event::EndInquiry(node));
        for peer in self.peers_to_ask(node) {
            self.outcome.datagrams += 1;
            if self.rng.random_bool(LOSS) {
                continue;
            }
            let reaches = match self.nodes[peer].path.answer(now) {
                Answer::Reached => true,
                Answer::NotReached => false,
                Answer::Unknown => self.connect(peer),
            };
            self.outcome.datagrams += 1;
            self.schedule(ROUND_TRIP, Event::Reply { node, peer, reaches });
        }
    }

    /// Random other nodes, those first that are not known to have lost their paths.
    fn peers_to_ask(&mut self, node: usize) -> Vec<usize> {
        let known_before = self.now.saturating_sub(GOSSIP_TIME);
        let mut peers: Vec<_> = (0..self.trial.nodes).filter(|it| *it != node).collect();
        peers.shuffle(&mut self.rng);
        peers.sort_by_key(|it| self.nodes[*it].lost_since.is_some_and(|it| it <= known_before));
        peers.truncate(self.nodes[node].path.peers_to_ask());
        peers
    }

    /// Passes a request to a peer; returns whether one took it and reached the engine.
    fn pass_on(&mut self, node: usize) -> bool {
        let engine = self.random_engine();
        let mut asked: Vec<Host> = vec![];
        while asked.len() < MAX_PEERS {
            let now = self.now;
            let chosen = self.nodes[node].path.choose_peer(&asked, now, &mut self.rng);
            let Some(peer) = chosen else {
                return false;
            };
            let index: usize = peer[1..].parse().unwrap_or_default();
            let takes = self.nodes[index].path.answer(now) != Answer::NotReached;
            if takes && self.connect_to(index, engine) {
                self.nodes[node].path.record_offer(&peer, now);
                if Trial::CUT.contains(&now) {
                    self.outcome.passed_on += 1;
                    self.outcome.taken[index] += 1;
                }
                return true;
            }
            self.nodes[node].path.record_refusal(&peer);
            asked.push(peer);
        }
        false
    }

    fn end(&mut self, node: usize, arrived: BootTime, is_served: bool) {
        if !self.trial.is_counted(node, arrived) {
            return;
        }
        let outcome = &mut self.outcome;
        outcome.requests += 1;
        outcome.served += usize::from(is_served);
        if is_served {
            self.nodes[node].first_served.get_or_insert(self.now);
        }
        if arrived >= Trial::CUT.start + Trial::STABILITY_WINDOW {
            outcome.late[node].0 += 1;
            outcome.late[node].1 += usize::from(is_served);
            if !is_served {
                outcome.longest_refusal = outcome.longest_refusal.max(self.now - arrived);
            }
        }
    }

    fn finish(mut self) -> Outcome {
        for (index, node) in self.nodes.iter().enumerate() {
            if let Some(first) = node.first_request {
                let served = node.first_served.unwrap_or(Trial::LENGTH);
                self.outcome.first_served = self.outcome.first_served.max(served - first);
            }
            if self.trial.is_cut(index, Trial::CUT.start) {
                let direct = node.direct_again.unwrap_or(Trial::LENGTH);
                self.outcome.direct_again = self.outcome.direct_again.max(direct - Trial::CUT.end);
            }
        }
        self.outcome
    }
}

fn engine_id(engine: usize) -> Upstream {
    format!("e{engine}").into()
}

fn host(node: usize) -> Host {
    format!("n{node}").into()
}
