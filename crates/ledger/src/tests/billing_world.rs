//! A small set of nodes with a log and a network for billing.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::{Incarnation, Name, Usage};

use super::{Events, Violation};
use crate::bill::{Bill, Reader};
use crate::billing::{
    Action, Append, Basis, Held, Hold, Id, Key, Limits, Member, Origin, Record, append_interval, decode,
};

/// Room at the origins and for held batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Room {
    /// No schedule reaches the bounds.
    Plenty,
    /// Many schedules do.
    Tight,
}

const DOMAINS: [&str; 3] = ["d0", "d1", "d2"];

#[derive(Debug)]
pub(super) struct Node {
    pub member: Member,
    pub alive: bool,
    pub paused: bool,
    /// Clocks of nodes have nothing in common.
    offset: Duration,
    pub origin: Origin,
    pub held: Held,
    /// Numbers of the appends that wait for a reply.
    appends: Vec<(Side, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    Origin,
    Held,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    Hold {
        to: Incarnation,
        id: Id,
        payload: Arc<[u8]>,
        rank: u8,
        other: Option<Incarnation>,
    },
    HoldReply {
        from: Incarnation,
        id: Id,
        held: bool,
    },
    Settle {
        from: Incarnation,
        to: Incarnation,
        number: u64,
        ids: Vec<Id>,
    },
    Settled {
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
        outcome: Append,
    },
}

#[derive(Debug)]
struct Request {
    batch: Id,
    organisation: Name,
    key: Key,
}

#[derive(Debug)]
pub(super) struct World {
    room: Room,
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub messages: Vec<Message>,
    pub outage: bool,
    pub lose_replies: u32,
    incarnations: u128,
    log: Vec<Vec<u8>>,
    reader: Reader,
    logged: HashSet<Id>,
    requests: Vec<Request>,
    /// Peers that ever confirmed a batch.
    confirmed: BTreeMap<Id, BTreeSet<Incarnation>>,
    events: Events,
}

impl World {
    pub(super) fn new(size: usize, room: Room) -> Self {
        let mut world = Self {
            room,
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
            let node = world.node(index);
            world.nodes.push(node);
        }
        world.true_views();
        world
    }

    fn node(&mut self, index: usize) -> Node {
        self.incarnations += 1;
        let member = Member {
            incarnation: Incarnation::from_bits(self.incarnations),
            domain: DOMAINS[index % DOMAINS.len()].into(),
        };
        let offset = Duration::from_secs(1000 * index as u64);
        let now = self.now + offset;
        let (records, held_bytes) = match self.room {
            Room::Plenty => (10_000, usize::MAX),
            Room::Tight => (3, 150),
        };
        let limits = Limits {
            records,
            ..Limits::default()
        };
        Node {
            origin: Origin::new(member.clone(), limits, now),
            held: Held::new(held_bytes, now),
            member,
            alive: true,
            paused: false,
            offset,
            appends: Vec::new(),
        }
    }

    /// Records a request; a refusal for lack of room is an allowed outcome.
    pub(super) fn record(&mut self, index: usize, organisation: u8, key: Option<u8>) {
        let now = self.now;
        let number = self.requests.len() as u32;
        let Some(node) = self.active(index) else {
            return;
        };
        let Ok(permit) = node.origin.admit() else {
            self.events.insert("no room at the origin");
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
            // Powers of two tell in a sum which requests were added up, and how often, for the first 32 requests.
            cost: 1 << (2 * (number % 32)),
            rejected: 0,
        };
        let (organisation, key) = (record.organisation.clone(), record.key.clone());
        let sequence = node.origin.record(permit, record, now + node.offset);
        let batch = Id {
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
        let actions = node.origin.poll(now + node.offset);
        self.run(index, Side::Origin, actions)?;
        let node = &mut self.nodes[index];
        let actions = node.held.poll(now + node.offset).into_iter().collect();
        self.run(index, Side::Held, actions)
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// Starts another incarnation on the host of a dead node.
    pub(super) fn replace(&mut self, index: usize) {
        if !self.nodes[index].alive {
            self.nodes[index] = self.node(index);
        }
    }

    /// Gives a node a view of the members, which may be wrong.
    pub(super) fn view(&mut self, index: usize, live: &[Incarnation]) {
        let members: Vec<_> = self.nodes.iter().map(|it| it.member.clone()).collect();
        let now = self.now;
        let Some(node) = self.active(index) else {
            return;
        };
        let peers: Vec<_> = members
            .into_iter()
            .filter(|it| live.contains(&it.incarnation))
            .collect();
        node.origin.set_peers(&peers, live.len(), now + node.offset);
        node.held.set_live(live.iter().copied(), now + node.offset);
    }

    pub(super) fn live(&self) -> Vec<Incarnation> {
        self.nodes
            .iter()
            .filter(|it| it.alive)
            .map(|it| it.member.incarnation)
            .collect()
    }

    pub(super) fn true_views(&mut self) {
        let live = self.live();
        for index in 0..self.nodes.len() {
            self.view(index, &live);
        }
    }

    /// Lets time pass without any fault.
    pub(super) fn calm(&mut self, rounds: u32) -> Result<(), Violation> {
        for node in &mut self.nodes {
            node.paused = false;
        }
        self.lose_replies = 0;
        for _ in 0..rounds {
            self.now += append_interval(self.nodes.len());
            self.true_views();
            for index in 0..self.nodes.len() {
                self.poll(index)?;
            }
            // Replies to the messages of this round are delivered in it as well.
            for _ in 0..3 {
                for message in std::mem::take(&mut self.messages) {
                    self.deliver(message)?;
                }
            }
            // An append of an earlier time whose reply was lost; current ones got their replies above.
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
    /// Incarnation that gets the message; `None` for the log.
    fn receiver(&self) -> Option<Incarnation> {
        match self {
            Self::Hold { to, .. }
            | Self::Settle { to, .. }
            | Self::Settled { to, .. }
            | Self::AppendReply { to, .. } => Some(*to),
            Self::HoldReply { id, .. } => Some(id.incarnation),
            Self::Append { .. } => None,
        }
    }
}
