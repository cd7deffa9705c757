//! Guards against slow propagation: a published change must take effect on every node, including those that
//! cannot reach the log, within 5 s in a cluster of today's size and 12 s at the target size.

#[path = "../../membership/tests/fleet/mod.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use config::follow::{Action, Event, Follower, Page, Peer, Settings};
use config::record::{Change, Proposal, ProposalId, Record};
use fleet::Fleet;
use model::Object;
use model::object::Pool;
use model::object::pool::{Fencing, Role};
use rand::Rng;

const SECOND: Duration = Duration::from_secs(1);

/// Simulation step; limits the accuracy of the measured delays.
const STEP: Duration = Duration::from_millis(20);

/// Number of published changes.
const CHANGES: usize = 25;

/// Time between two changes. Not a multiple of the poll interval, so that changes occur at all phases of the
/// polls.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1137);

struct Node {
    follower: Follower,
    /// Whether the node can reach the log.
    connected: bool,
    replies: Vec<(Duration, Event)>,
    next_step: Duration,
    next_peers: Duration,
}

struct World {
    fleet: Fleet,
    nodes: Vec<Node>,
    records: Vec<Vec<u8>>,
    published: Vec<Duration>,
    reads: u64,
    fetches: u64,
}

macro_rules! sizes {
    ($($name:ident: $count:literal, $isolated:literal, $bound:literal;)*) => {
        $(#[test]
        fn $name() {
            measure($count, $isolated, Duration::from_secs($bound));
        })*
    };
}

sizes! {
    at_8_nodes: 8, 2, 5;
    at_40_nodes: 40, 10, 12;
    at_120_nodes: 120, 30, 12;
    at_340_nodes: 340, 85, 12;
}

/// Publishes changes to `count` nodes, of which the last `isolated` cannot reach the log.
fn measure(count: usize, isolated: usize, bound: Duration) {
    let mut world = World::new(count, isolated);
    while world.fleet.now < SECOND * 20 {
        world.step();
    }
    (world.reads, world.fetches) = (0, 0);
    let start = world.fleet.now;
    let mut delays = [Vec::new(), Vec::new()];
    let mut previous: Vec<_> = world
        .nodes
        .iter()
        .map(|it| it.follower.state().revision())
        .collect();
    while world.fleet.now < start + CHANGE_INTERVAL * CHANGES as u32 + SECOND * 12 {
        let due = (world.fleet.now - start).as_millis() / CHANGE_INTERVAL.as_millis();
        while world.published.len() < CHANGES.min(due as usize) {
            world.publish();
        }
        world.step();
        for (node, previous) in world.nodes.iter().zip(&mut previous) {
            let revision = node.follower.state().revision();
            for published in &world.published[*previous as usize..revision as usize] {
                delays[usize::from(!node.connected)].push(world.fleet.now - *published);
            }
            *previous = revision;
        }
    }
    let seconds = (world.fleet.now - start).as_secs_f64();
    let (reads, fetches) = (
        world.reads as f64 / seconds,
        world.fetches as f64 / seconds / count as f64,
    );
    for (name, delays) in ["reach the log", "only reach peers"].iter().zip(&mut delays) {
        delays.sort_unstable();
        let at = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize];
        println!(
            "{count} nodes, those that {name}: change in force after {:?} (p50), {:?} (p99), {:?} (maximum)",
            at(0.5),
            at(0.99),
            at(1.0)
        );
        assert!(at(1.0) <= bound, "{:?}", at(1.0));
    }
    println!("{count} nodes: {reads:.0} log reads/s in total, {fetches:.2} fetches/s per node");
    assert_eq!(delays[0].len(), (count - isolated) * CHANGES);
    assert_eq!(delays[1].len(), isolated * CHANGES);
}

impl World {
    fn new(count: usize, isolated: usize) -> Self {
        let fleet = Fleet::with_seeds(count, if count > 100 { 13 } else { 3 }, count as u32, 1);
        let settings = Settings {
            poll_interval: Settings::poll_interval_for(count),
            ..Settings::default()
        };
        let nodes = (0..count).map(|index| Node {
            follower: Follower::new(settings.clone(), Duration::ZERO),
            connected: index < count - isolated,
            replies: Vec::new(),
            next_step: STEP * (index as u32 % 5),
            next_peers: Duration::ZERO,
        });
        Self {
            nodes: nodes.collect(),
            fleet,
            records: Vec::new(),
            published: Vec::new(),
            reads: 0,
            fetches: 0,
        }
    }

    fn publish(&mut self) {
        let offset = self.records.len() as u128;
        let pool = Pool {
            name: format!("p{offset}").into(),
            role: Role::Engine,
            fencing: Fencing::Checked,
            concurrency: 8,
        };
        let proposal = Proposal {
            id: ProposalId::from_bits(offset),
            author: "operator".to_owned(),
            base: BTreeMap::new(),
            changes: vec![Change::Put(Object::Pool(pool))],
        };
        self.records.push(Record::Proposal(proposal).to_bytes());
        self.published.push(self.fleet.now);
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        for index in 0..self.nodes.len() {
            self.step_node(index);
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.fleet.now;
        let replies = std::mem::take(&mut self.nodes[index].replies);
        let (due, later): (Vec<_>, Vec<_>) = replies.into_iter().partition(|it| it.0 <= now);
        self.nodes[index].replies = later;
        for (_, event) in due {
            self.handle(index, event);
        }
        if now < self.nodes[index].next_step {
            return;
        }
        self.nodes[index].next_step = now + SECOND / 10;
        if now >= self.nodes[index].next_peers {
            self.nodes[index].next_peers = now + SECOND / 2;
            let peers = self.peers(index);
            self.handle(index, peers);
        }
        self.handle(index, Event::Tick);
        let node = &self.nodes[index];
        let status = &mut self.fleet.nodes[index].status;
        status.revision = node.follower.state().revision();
        status.revision_age = node.follower.age(now).unwrap_or(Duration::MAX / 4);
    }

    fn peers(&self, index: usize) -> Event {
        let now = self.fleet.now;
        let table = &self.fleet.nodes[index].table;
        let others = table
            .members()
            .filter(|it| it.is_live())
            .filter_map(|it| table.member(it.incarnation, now));
        let peers = others.map(|it| Peer {
            host: it.host,
            incarnation: it.incarnation,
            revision: it.revision,
            age: Some(it.revision_age).filter(|it| *it < SECOND * 1_000_000),
        });
        Event::Peers(
            peers.collect(),
            table.time_since_last_datagram(now).map(|it| now - it),
        )
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.fleet.now;
        for action in self.nodes[index].follower.handle(event, now) {
            // A round trip within the region takes 2 to 12 ms.
            let at = now + Duration::from_millis(self.fleet.rng.random_range(2..12));
            match action {
                Action::Read { request, from, limit } => {
                    self.reads += 1;
                    let event = self.page(index, request, from, limit);
                    self.nodes[index].replies.push((at, event));
                }
                Action::Fetch {
                    request,
                    host,
                    revision,
                } => {
                    self.fetches += 1;
                    let peer: usize = host.trim_start_matches("entry-").parse().unwrap_or_default();
                    let delta = self.nodes[peer].follower.delta(revision, now);
                    self.nodes[index]
                        .replies
                        .push((at, Event::Fetched(request, delta)));
                }
                Action::Applied { .. } | Action::Adopted(_) | Action::SnapshotDue(_) => {}
            }
        }
    }

    fn page(&self, index: usize, request: u64, from: u64, limit: usize) -> Event {
        if !self.nodes[index].connected {
            return Event::LogReadFailed(request);
        }
        let records = (0..)
            .zip(self.records.iter().cloned())
            .skip(from as usize)
            .take(limit);
        let page = Page {
            records: records.collect(),
            first: 0,
            end: self.records.len() as u64,
        };
        Event::LogRead(request, page)
    }
}
