//! Simulation of a few nodes with the real follower and publisher, a log and a network in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use config::follow::{Event, Follower, Peer, Settings};
use config::publish::{Publisher, Step};
use config::record::{Change, Proposal, ProposalId, Record};
use model::object::pool::{Fencing, Role};
use model::object::{Key, Kind as ObjectKind, Pool};
use model::{Incarnation, Object, Revision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

mod checks;
mod io;
mod network;
mod reference;
pub mod schedule;

use network::Network;
use reference::Reference;
use schedule::{Kind, Schedule};

/// Simulation step.
pub const STEP: Duration = Duration::from_millis(100);

/// Duration of faults and publications.
const FAULT_TIME: Duration = Duration::from_secs(56);
/// Time without faults afterwards, in which all nodes must catch up.
const SETTLE_TIME: Duration = Duration::from_secs(14);

/// A node that was paused for longer must catch up before it serves.
const MIN_DETECTED_PAUSE: Duration = Duration::from_millis(2200);

/// A deliberate defect that one of the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Node 0 reads altered records.
    AlteredRecords,
    /// A replaced process is taken for the same one, so that its revision appears to decrease.
    LostState,
    /// The base revisions of proposals are ignored.
    IgnoredBases,
    /// The ids of proposals are ignored.
    IgnoredIds,
    /// The publisher reports success on the reply to its append.
    TrustedReply,
    /// Node 0 ignores replies from the log and the peers once it has started.
    IgnoredMessages,
    /// Nodes do not detect that they are isolated.
    UndetectedIsolation,
    /// Nodes do not detect that they were paused.
    UndetectedPause,
    /// Nodes always consider their configuration stale.
    AlwaysStale,
}

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A node's state differs from that of the log at the same revision.
    StateDiverged,
    /// A node's revision decreased.
    RevisionDecreased,
    /// A proposal had another result than the reference rules give, for example a conflicting one was
    /// accepted.
    WrongResult,
    /// A proposal took effect twice.
    AppliedTwice,
    /// A publisher reported another outcome than the one in the log.
    WrongOutcomeReported,
    /// An accepted change was not in force on a connected node in time.
    NotInForce,
    /// An isolated node served.
    IsolatedNodeServed,
    /// A node served after a pause before it had caught up.
    ServedBeforeCatchUp,
    /// Some node had not caught up or did not serve at the end.
    NotSettled,
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
    publishers: Vec<(ProposalId, Publisher)>,
    /// Revision and age that gossip reports for the node.
    advertised: (Revision, Option<Duration>),
    observed: Observed,
}

/// State of a node as recorded by the checks.
#[derive(Debug, Default)]
struct Observed {
    revision: Revision,
    log_since: Option<Duration>,
    peers_since: Option<Duration>,
    isolated_since: Option<Duration>,
    /// Minimum revision of the node before it may serve after a pause.
    min_resume_revision: Option<Revision>,
}

#[derive(Debug)]
pub struct World {
    now: Duration,
    nodes: Vec<Node>,
    reference: Reference,
    network: Network,
    rng: SmallRng,
    schedule: Schedule,
    mutant: Mutant,
    last_id: u128,
    /// Time from the append of each revision until each node that was connected throughout had applied it.
    pub delays: Vec<Duration>,
}

/// Runs a schedule; returns the final world or the first violation.
pub fn run(schedule: Schedule, mutant: Mutant) -> Result<World, Violation> {
    let mut world = World::new(schedule, mutant)?;
    while world.now < FAULT_TIME + SETTLE_TIME {
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
        Mutant::UndetectedIsolation => settings.isolation_timeout = never,
        Mutant::UndetectedPause => settings.pause_threshold = never,
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
            reference: Reference::new(mutant),
            network: Network::default(),
            rng: SmallRng::seed_from_u64(schedule.seed),
            mutant,
            last_id: 1 << 64,
            schedule,
            delays: Vec::new(),
        };
        let first = Proposal {
            id: ProposalId::from_bits(1 << 65),
            author: "first".to_owned(),
            base: BTreeMap::new(),
            changes: (0..3).map(|it| Change::Put(pool(it, 10))).collect(),
        };
        world
            .reference
            .append(Record::Proposal(first).to_bytes(), Duration::ZERO)?;
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
                advertised: (0, None),
                observed: Observed::default(),
            });
        }
        Ok(world)
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.now += STEP;
        self.update_processes();
        self.truncate_log();
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
        !self.active(Kind::LogOutage, None) && !self.active(Kind::LogUnreachable, Some(node))
    }

    fn reaches(&self, node: usize, other: usize) -> bool {
        let cut = |it| self.active(Kind::PeersUnreachable, Some(it)) || !self.nodes[it].running;
        node != other && !cut(node) && !cut(other)
    }

    fn update_processes(&mut self) {
        for index in 0..self.nodes.len() {
            let killed = self.active(Kind::Replace, Some(index));
            let paused = self.active(Kind::Pause, Some(index));
            let floor = self.min_resume_revision(index);
            let mutant = self.mutant;
            let now = self.now;
            let node = &mut self.nodes[index];
            if node.running && killed {
                node.publishers.clear();
                node.follower = Follower::new(settings(mutant), now + node.clock);
                node.run += 1;
                node.advertised = (0, None);
                let revision = node.observed.revision;
                node.observed = Observed::default();
                if mutant == Mutant::LostState {
                    node.observed.revision = revision;
                }
            }
            if paused && !node.paused {
                node.paused_at = now;
            }
            // A shorter pause has no more effect than the time between two polls.
            if node.running && !killed && node.paused && !paused && now > node.paused_at + MIN_DETECTED_PAUSE
            {
                node.observed.min_resume_revision = Some(floor);
            }
            node.running = !killed;
            node.paused = paused;
        }
    }

    /// Minimum revision that a node resuming now reaches after contact with the log or any peer.
    fn min_resume_revision(&self, index: usize) -> Revision {
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|it| it.0 != index && it.1.running);
        let others = others.map(|it| it.1.follower.state().revision());
        let stale_reads = self.active(Kind::StaleReads, None);
        let log = if stale_reads {
            0
        } else {
            self.reference.revision_at(self.now)
        };
        others.chain([log]).min().unwrap_or_default()
    }

    fn truncate_log(&mut self) {
        let time = self.now.as_millis() as u64;
        let step = STEP.as_millis() as u64;
        let due = |it: &&schedule::Fault| {
            it.kind == Kind::Truncation && (it.start..it.start + step).contains(&time)
        };
        if self.schedule.faults.iter().any(|it| due(&it))
            && self.reference.newest_snapshot > self.reference.first
        {
            self.reference.first = self
                .rng
                .random_range(self.reference.first..=self.reference.newest_snapshot);
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
            self.last_id += 1;
            let node = &mut self.nodes[index];
            let id = ProposalId::from_bits(self.last_id);
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
            node.advertised = (node.follower.state().revision(), node.follower.age(now));
        }
        if !self.rng.random_bool(0.3) {
            return;
        }
        let reached = |it: &usize| self.reaches(index, *it) && !self.nodes[*it].paused;
        let reached: Vec<_> = (0..self.nodes.len()).filter(reached).collect();
        let peers = reached.iter().map(|it| Peer {
            host: it.to_string().into(),
            incarnation: Incarnation::from_bits((*it as u128) << 64 | u128::from(self.nodes[*it].run)),
            revision: self.nodes[*it].advertised.0,
            age: self.nodes[*it].advertised.1,
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
            let confirmed = node.follower.confirmed_at();
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
