//! Simulation of nodes that replicate and append billing batches, with a log and a network.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::{Incarnation, Name, Usage};

use super::{Events, Violation};
use crate::bill::{Bill, Reader};
use crate::billing::{
    Action, AppendOutcome, BatchId, HoldOutcome, Holder, Key, Limits, Member, Origin, Record, ReleaseReason,
    append_interval, decode,
};

/// Capacity of the origins and holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Capacity {
    /// No schedule reaches the limits.
    Ample,
    /// Many schedules reach the limits.
    Tight,
}

const DOMAINS: [&str; 3] = ["d0", "d1", "d2"];

#[derive(Debug)]
pub(super) struct Node {
    pub member: Member,
    pub alive: bool,
    pub paused: bool,
    /// Offset of the node's clock, because the monotonic clocks of different nodes are unrelated.
    clock_offset: Duration,
    pub origin: Origin,
    pub holder: Holder,
    /// Numbers of the appends without a reply.
    appends: Vec<(Side, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    Origin,
    Holder,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    Hold {
        to: Incarnation,
        id: BatchId,
        payload: Arc<[u8]>,
        rank: u8,
        other: Option<Incarnation>,
    },
    HoldReply {
        from: Incarnation,
        id: BatchId,
        held: bool,
    },
    Settle {
        from: Incarnation,
        to: Incarnation,
        number: u64,
        ids: Vec<BatchId>,
    },
    SettleReply {
        from: Incarnation,
        to: Incarnation,
        number: u64,
    },
    Append {
        from: Incarnation,
        side: Side,
        number: u64,
        payload: Vec<u8>,
    },
    AppendReply {
        to: Incarnation,
        side: Side,
        number: u64,
        outcome: AppendOutcome,
    },
}

#[derive(Debug)]
struct Request {
    batch: BatchId,
    organisation: Name,
    key: Key,
}

#[derive(Debug)]
pub(super) struct Simulation {
    capacity: Capacity,
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub messages: Vec<Message>,
    pub outage: bool,
    pub lose_replies: u32,
    incarnations: u128,
    log: Vec<Vec<u8>>,
    reader: Reader,
    logged: HashSet<BatchId>,
    requests: Vec<Request>,
    /// Peers that have ever confirmed each batch.
    confirmed: BTreeMap<BatchId, BTreeSet<Incarnation>>,
    events: Events,
}

impl Simulation {
    pub(super) fn new(size: usize, capacity: Capacity) -> Self {
        let mut simulation = Self {
            capacity,
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            messages: Vec::new(),
            outage: false,
            lose_replies: 0,
            incarnations: 0,
            log: Vec::new(),
            reader: Reader::default(),
            logged: HashSet::new(),
            requests: Vec::new(),
            confirmed: BTreeMap::new(),
            events: Events::new(),
        };
        for index in 0..size {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
        }
        simulation.sync_views();
        simulation
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.incarnations += 1;
        let member = Member {
            incarnation: Incarnation::from_bits(self.incarnations),
            domain: DOMAINS[index % DOMAINS.len()].into(),
        };
        let clock_offset = Duration::from_secs(1000 * index as u64);
        let now = self.now + clock_offset;
        let (records, held_bytes) = match self.capacity {
            Capacity::Ample => (10_000, usize::MAX),
            Capacity::Tight => (3, 150),
        };
        let limits = Limits {
            records,
            ..Limits::default()
        };
        Node {
            origin: Origin::new(member.clone(), limits, now),
            holder: Holder::new(held_bytes, now),
            member,
            alive: true,
            paused: false,
            clock_offset,
            appends: Vec::new(),
        }
    }

    /// Records a request. A refusal because the origin is full is a permitted outcome.
    pub(super) fn record(&mut self, index: usize, organisation: u8, key: Option<u8>) {
        let now = self.now;
        let number = self.requests.len() as u32;
        let Some(node) = self.active(index) else {
            return;
        };
        let Ok(permit) = node.origin.admit() else {
            self.events.insert("origin full");
            return;
        };
        let own = node.origin.next_key();
        let record = Record {
            organisation: format!("org{}", organisation % 2).into(),
            key: key.map_or(own, |it| Key::Idempotency(format!("key{it}").into())),
            version: "v".into(),
            usage: Usage {
                input: 10,
                cached: 0,
                output: number,
            },
            // Distinct powers of four reveal in a sum which of the first 32 requests were counted, and how
            // often.
            cost: 1 << (2 * (number % 32)),
            rejected: 0,
        };
        let (organisation, key) = (record.organisation.clone(), record.key.clone());
        let sequence = node.origin.record(permit, record, now + node.clock_offset);
        let batch = BatchId {
            incarnation: node.member.incarnation,
            sequence,
        };
        self.requests.push(Request {
            batch,
            organisation,
            key,
        });
    }

    pub(super) fn poll(&mut self, index: usize) -> Result<(), Violation> {
        let now = self.now;
        let Some(node) = self.active(index) else {
            return Ok(());
        };
        let actions = node.origin.poll(now + node.clock_offset);
        self.run(index, Side::Origin, actions)?;
        let node = &mut self.nodes[index];
        let actions = node.holder.poll(now + node.clock_offset).into_iter().collect();
        self.run(index, Side::Holder, actions)
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// Starts another incarnation on the host of a dead node.
    pub(super) fn replace(&mut self, index: usize) {
        if !self.nodes[index].alive {
            self.nodes[index] = self.new_node(index);
        }
    }

    /// Sets a node's view of the members, which may be wrong.
    pub(super) fn set_view(&mut self, index: usize, live: &[Incarnation]) {
        let members: Vec<_> = self.nodes.iter().map(|it| it.member.clone()).collect();
        let now = self.now;
        let Some(node) = self.active(index) else {
            return;
        };
        let peers: Vec<_> = members
            .into_iter()
            .filter(|it| live.contains(&it.incarnation))
            .collect();
        node.origin.set_peers(&peers, live.len(), now + node.clock_offset);
        node.holder
            .set_live(live.iter().copied(), now + node.clock_offset);
    }

    pub(super) fn live_incarnations(&self) -> Vec<Incarnation> {
        self.nodes
            .iter()
            .filter(|it| it.alive)
            .map(|it| it.member.incarnation)
            .collect()
    }

    pub(super) fn sync_views(&mut self) {
        let live = self.live_incarnations();
        for index in 0..self.nodes.len() {
            self.set_view(index, &live);
        }
    }

    /// Advances the time without message loss or pauses; an outage of the log continues.
    pub(super) fn run_without_faults(&mut self, rounds: u32) -> Result<(), Violation> {
        for node in &mut self.nodes {
            node.paused = false;
        }
        self.lose_replies = 0;
        for _ in 0..rounds {
            self.now += append_interval(self.nodes.len());
            self.sync_views();
            for index in 0..self.nodes.len() {
                self.poll(index)?;
            }
            // Deliver replies in the same round as the messages that caused them.
            for _ in 0..3 {
                for message in std::mem::take(&mut self.messages) {
                    self.deliver(message)?;
                }
            }
            // Only appends whose replies were lost earlier are left; the replies to current ones were
            // delivered above.
            for index in 0..self.nodes.len() {
                self.time_out(index)?;
            }
        }
        Ok(())
    }

    fn active(&mut self, index: usize) -> Option<&mut Node> {
        let node = &mut self.nodes[index];
        (node.alive && !node.paused).then_some(node)
    }
}

mod checks;
mod network;

impl Message {
    /// Incarnation that receives the message; `None` for the log.
    fn receiver(&self) -> Option<Incarnation> {
        match self {
            Self::Hold { to, .. }
            | Self::Settle { to, .. }
            | Self::SettleReply { to, .. }
            | Self::AppendReply { to, .. } => Some(*to),
            Self::HoldReply { id, .. } => Some(id.incarnation),
            Self::Append { .. } => None,
        }
    }
}
