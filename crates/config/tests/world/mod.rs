//! A few nodes made from the real follower and publisher, a log and a network in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use config::follow::{Event, Follower, Peer, Settings};
use config::publish::{Publisher, Step};
use config::record::{Change, Id, Proposal, Record};
use model::object::pool::{Fencing, Role};
use model::object::{Key, Kind as ObjectKind, Pool};
use model::{Incarnation, Object, Revision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

mod checks;
mod io;
mod network;
pub mod schedule;
mod truth;

use network::Network;
use schedule::{Kind, Schedule};
use truth::Truth;

/// Resolution of the virtual time.
pub const STEP: Duration = Duration::from_millis(100);

/// Time of faults and publications, and the quiet time after it in which everything has to settle.
const ACTIVE: Duration = Duration::from_secs(56);
const QUIET: Duration = Duration::from_secs(14);

/// Length of a pause after which a node has to catch up before it serves.
const PAUSE: Duration = Duration::from_millis(2200);

/// A deliberate fault that one of the checks has to notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Node 0 reads altered records.
    AlteredRecords,
    /// A replaced process counts as the same one.
    LostState,
    /// Bases of proposals are ignored.
    LastWins,
    /// Ids of proposals are ignored.
    CountTwice,
    /// The publisher trusts the reply to its append.
    TrustedAppend,
    /// Node 0 ignores what the log and the peers say, once it has started.
    DeafNode,
    /// Nodes do not notice that they are isolated.
    NoIsolation,
    /// Nodes do not notice that they were paused.
    NoPause,
    /// Nodes never count as fresh.
    AlwaysStale,
}

/// The rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two nodes hold different states at the same revision.
    SameState,
    /// A node's revision decreased.
    NeverReverts,
    /// Of conflicting proposals not exactly the first one won.
    FirstWins,
    /// A proposal counted twice.
    CountsOnce,
    /// A publisher reported something else than the log decided.
    Verdict,
    /// An accepted configuration was not in force on a connected node in time.
    InForce,
    /// An isolated node served.
    Isolated,
    /// A node served after a pause before it had caught up.
    Resumed,
    /// The nodes did not settle after the faults.
    Settles,
}

#[derive(Debug)]
struct Node {
    follower: Follower,
    run: u32,
    running: bool,
    paused: bool,
    paused_at: Duration,
    /// Offset of the node's clock.
    clock: Duration,
    publishers: Vec<(Id, Publisher)>,
    /// What gossip shows of the node.
    shown: (Revision, Option<Duration>),
    seen: Seen,
}

/// What the checks remember of a node.
#[derive(Debug, Default)]
struct Seen {
    revision: Revision,
    log_since: Option<Duration>,
    peers_since: Option<Duration>,
    isolated_since: Option<Duration>,
    /// Revision that the node must hold before it serves after a pause.
    resume_floor: Option<Revision>,
}

#[derive(Debug)]
pub struct World {
    now: Duration,
    nodes: Vec<Node>,
    truth: Truth,
    network: Network,
    rng: SmallRng,
    schedule: Schedule,
    mutant: Mutant,
    ids: u128,
    /// Delays from the landing of each accepted revision to each node that was connected throughout.
    pub delays: Vec<Duration>,
}

/// Runs a schedule and returns the world, or the first rule that was broken.
pub fn run(schedule: Schedule, mutant: Mutant) -> Result<World, Violation> {
    let mut world = World::new(schedule, mutant)?;
    while world.now < ACTIVE + QUIET {
        world.step()?;
    }
    world.check_settled()?;
    Ok(world)
}

fn settings(mutant: Mutant) -> Settings {
    let never = Duration::from_secs(1 << 30);
    let mut settings = Settings {
        snapshot_records: 8,
        snapshot_period: Duration::from_secs(20),
        snapshot_writer_timeout: Duration::from_secs(10),
        ..Settings::default()
    };
    match mutant {
        Mutant::NoIsolation => settings.isolation = never,
        Mutant::NoPause => settings.pause = never,
        Mutant::AlwaysStale => settings.max_staleness = Some(Duration::ZERO),
        _ => {}
    }
    settings
}

fn pool(index: usize, concurrency: u32) -> Object {
    Object::Pool(Pool {
        name: format!("p{index}").into(),
        role: Role::Engine,
        fencing: Fencing::Checked,
        concurrency,
    })
}

fn key(index: usize) -> Key {
    Key::new(ObjectKind::Pool, format!("p{index}"))
}

impl World {
    fn new(schedule: Schedule, mutant: Mutant) -> Result<Self, Violation> {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            truth: Truth::new(mutant),
            network: Network::default(),
            rng: SmallRng::seed_from_u64(schedule.seed),
            mutant,
            ids: 1 << 64,
            schedule,
            delays: Vec::new(),
        };
        let first = Proposal {
            id: Id::from_bits(1 << 65),
            author: "first".to_owned(),
            base: BTreeMap::new(),
            changes: (0..3).map(|it| Change::Put(pool(it, 10))).collect(),
        };
        world
            .truth
            .land(Record::Proposal(first).to_bytes(), Duration::ZERO)?;
        for _ in 0..world.schedule.nodes {
            let clock = Duration::from_millis(world.rng.random_range(0..1_000_000));
            world.nodes.push(Node {
                follower: Follower::new(settings(mutant), clock),
                run: 0,
                running: true,
                paused: false,
                paused_at: Duration::ZERO,
                clock,
                publishers: Vec::new(),
                shown: (0, None),
                seen: Seen::default(),
            });
        }
        Ok(world)
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.now += STEP;
        self.change_processes();
        self.cut_log();
        self.publish();
        while let Some(message) = self.network.arrived(self.now) {
            self.deliver(message)?;
        }
        for index in 0..self.nodes.len() {
            self.run_node(index)?;
        }
        self.check()
    }

    fn active(&self, kind: Kind, node: Option<usize>) -> bool {
        let time = self.now.as_millis() as u64;
        self.schedule.faults.iter().any(|it| {
            let matches = it.kind == kind && node.is_none_or(|node| it.node % self.nodes.len() == node);
            matches && (it.start..it.start + it.length).contains(&time)
        })
    }

    fn reaches_log(&self, node: usize) -> bool {
        !self.active(Kind::Outage, None) && !self.active(Kind::LogCut, Some(node))
    }

    fn reaches(&self, node: usize, other: usize) -> bool {
        let cut = |it| self.active(Kind::PeerCut, Some(it)) || !self.nodes[it].running;
        node != other && !cut(node) && !cut(other)
    }

    fn change_processes(&mut self) {
        for index in 0..self.nodes.len() {
            let killed = self.active(Kind::Replace, Some(index));
            let paused = self.active(Kind::Pause, Some(index));
            let floor = self.resume_floor(index);
            let mutant = self.mutant;
            let now = self.now;
            let node = &mut self.nodes[index];
            if node.running && killed {
                node.publishers.clear();
                node.follower = Follower::new(settings(mutant), now + node.clock);
                node.run += 1;
                node.shown = (0, None);
                let revision = node.seen.revision;
                node.seen = Seen::default();
                if mutant == Mutant::LostState {
                    node.seen.revision = revision;
                }
            }
            if paused && !node.paused {
                node.paused_at = now;
            }
            // Shorter pauses do not matter more than the time between two polls.
            if node.running && !killed && node.paused && !paused && now > node.paused_at + PAUSE {
                node.seen.resume_floor = Some(floor);
            }
            node.running = !killed;
            node.paused = paused;
        }
    }

    /// What a node that resumes now holds once it has heard from the log or from any peer.
    fn resume_floor(&self, index: usize) -> Revision {
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|it| it.0 != index && it.1.running);
        let others = others.map(|it| it.1.follower.state().revision());
        let old_tail = self.active(Kind::OldTail, None);
        let log = if old_tail {
            0
        } else {
            self.truth.revision_at(self.now)
        };
        others.chain([log]).min().unwrap_or_default()
    }

    fn cut_log(&mut self) {
        let time = self.now.as_millis() as u64;
        let step = STEP.as_millis() as u64;
        let due =
            |it: &&schedule::Fault| it.kind == Kind::Retention && (it.start..it.start + step).contains(&time);
        if self.schedule.faults.iter().any(|it| due(&it)) && self.truth.newest_snapshot > self.truth.first {
            self.truth.first = self
                .rng
                .random_range(self.truth.first..=self.truth.newest_snapshot);
        }
    }

    fn publish(&mut self) {
        let time = self.now.as_millis() as u64;
        let due: Vec<_> = self
            .schedule
            .publications
            .iter()
            .filter(|it| it.start == time)
            .copied()
            .collect();
        for publication in due {
            let index = publication.node % self.nodes.len();
            if !self.nodes[index].running || self.nodes[index].follower.state().revision() == 0 {
                continue;
            }
            self.ids += 1;
            let node = &mut self.nodes[index];
            let id = Id::from_bits(self.ids);
            let key = key(publication.pool);
            let proposal = Proposal {
                id,
                author: format!("node-{index}"),
                base: BTreeMap::from([(key.clone(), node.follower.state().revision_of(&key))]),
                changes: vec![Change::Put(pool(publication.pool, publication.concurrency))],
            };
            let now = self.now + node.clock;
            let publisher = Publisher::new(
                proposal,
                now,
                now + Duration::from_secs(20),
                Duration::from_millis(300),
            );
            node.publishers.push((id, publisher));
        }
    }

    fn run_node(&mut self, index: usize) -> Result<(), Violation> {
        if !self.nodes[index].running || self.nodes[index].paused {
            return Ok(());
        }
        self.gossip(index);
        self.handle(index, Event::Tick);
        self.run_publishers(index)
    }

    fn gossip(&mut self, index: usize) {
        if self.rng.random_bool(0.2) {
            let node = &mut self.nodes[index];
            let now = self.now + node.clock;
            node.shown = (node.follower.state().revision(), node.follower.age(now));
        }
        if !self.rng.random_bool(0.3) {
            return;
        }
        let reached = |it: &usize| self.reaches(index, *it) && !self.nodes[*it].paused;
        let reached: Vec<_> = (0..self.nodes.len()).filter(reached).collect();
        let peers = reached.iter().map(|it| Peer {
            host: it.to_string().into(),
            incarnation: Incarnation::from_bits((*it as u128) << 64 | u128::from(self.nodes[*it].run)),
            revision: self.nodes[*it].shown.0,
            age: self.nodes[*it].shown.1,
        });
        let heard = (!reached.is_empty()).then(|| self.now + self.nodes[index].clock);
        self.handle(index, Event::Peers(peers.collect(), heard));
    }

    fn run_publishers(&mut self, index: usize) -> Result<(), Violation> {
        for slot in (0..self.nodes[index].publishers.len()).rev() {
            let now = self.now + self.nodes[index].clock;
            let node = &mut self.nodes[index];
            let (id, publisher) = &mut node.publishers[slot];
            let id = *id;
            let confirmed = node.follower.confirmed();
            match publisher.step(node.follower.state(), confirmed, now) {
                Step::Wait => {}
                Step::Append(payload) => self.append(index, Some(id), payload)?,
                Step::Done(outcome) => {
                    node.publishers.remove(slot);
                    self.check_outcome(id, &outcome)?;
                }
            }
        }
        Ok(())
    }
}
