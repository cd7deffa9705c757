//! Queries other nodes, by datagrams, for what they read from the store, and replies to such queries.
//!
//! A reply states the age of its read. The querying node counts that age from the time at which it sent the
//! query, so neither a delayed datagram nor a suspended host makes a read look more recent than it is.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use forward::BootTime;
use forward::freshness::{Budget, Duty};
use forward::relay::{Journal, Position, READERS_PER_TOPIC};
use forward::uplink::Uplink;
use membership::{Addresses, Member};
use model::{Host, hash};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::clock;
use crate::pending::PendingReplies;
use crate::shared::{Shared, lock};

mod direct_read;
mod engine_change;
mod inquiry;
mod message;
pub(crate) mod operators;
mod plan;
mod query_failure;

pub(crate) use direct_read::DirectRead;
pub(crate) use engine_change::EngineChange;
pub(crate) use inquiry::{Inquiry, Relayed, query};
pub(crate) use message::{QueryMessage, reply_to};
pub(crate) use plan::Plan;
pub(crate) use query_failure::QueryFailures;

use message::ReplyMessage;
use operators::OperatorsRead;

/// Nodes that are queried after the readers. They read the store themselves if no reader can.
const DEPUTIES: usize = 2;

/// Other nodes that a node queries which the store has failed: it may have failed the readers and their deputies
/// too.
const RANDOM_NODES: usize = 2;

/// State of the queries between nodes.
#[derive(Debug)]
pub(crate) struct Relay {
    pub operators: Mutex<Journal<OperatorsRead>>,
    pub engines: Mutex<Journal<EngineChange>>,
    pending: PendingReplies<ReplyMessage>,
    /// What this node passes on, by the addresses for datagrams.
    uplink: Mutex<Uplink<RelayedTopic, SocketAddr>>,
}

impl Relay {
    /// Without a read; the link of the host carries `link` bytes a second.
    pub(crate) fn new(link: u64, now: BootTime) -> Self {
        Self {
            operators: Mutex::default(),
            engines: Mutex::default(),
            pending: PendingReplies::default(),
            uplink: Mutex::new(Uplink::new(link as f64, now)),
        }
    }
}

/// Topics that nodes pass on. Release statuses are not among them, as the driver of a release sends these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum RelayedTopic {
    /// Only whether there are new records of operators; the records themselves are read from the store.
    Operators,
    /// Changes of the list of engines.
    Engines,
}

impl RelayedTopic {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Engines => "engines",
        }
    }

    /// How old what a node knows of the topic may become.
    pub(crate) fn budget(self, shared: &Shared) -> Budget {
        let settings = shared.settings();
        let (bounds, store) = (&settings.bounds, &settings.store);
        match self {
            Self::Operators => {
                let bound = bounds
                    .evacuation
                    .map_or(bounds.config, |it| it.min(bounds.config));
                Budget::new(bound, store.config_wait)
            }
            Self::Engines => Budget::new(bounds.drain, store.engine_poll),
        }
    }

    /// Time since this node's knowledge of the topic is known to have been current.
    pub(crate) fn age(self, shared: &Shared) -> Duration {
        let newest = self.newest(&shared.relay, clock::now());
        newest.map_or(Duration::MAX, |it| it.1)
    }

    /// Position after the newest read of the topic, and its age.
    pub(crate) fn newest(self, relay: &Relay, now: BootTime) -> Option<(Position, Duration)> {
        match self {
            Self::Operators => lock(&relay.operators).newest(now),
            Self::Engines => lock(&relay.engines).newest(now),
        }
    }
}

/// What this node has to do about a topic.
pub(crate) fn duty(shared: &Shared, topic: RelayedTopic) -> Duty {
    let table = lock(&shared.members);
    let live = table.live(clock::now());
    let ranked = ranked(topic, &live);
    match ranked.iter().position(|it| **it == *table.local().host) {
        Some(rank) if rank < READERS_PER_TOPIC => Duty::Reader,
        Some(_) => Duty::Deputy,
        None => Duty::Other,
    }
}

/// The readers of a topic, then their deputies, among the live nodes.
fn ranked(topic: RelayedTopic, live: &[Member]) -> Vec<&str> {
    let hosts = live.iter().map(|it| &*it.host);
    hash::highest(topic.name(), hosts, READERS_PER_TOPIC + DEPUTIES)
}

/// Nodes to query about a topic; none if this node is a reader that reaches the store.
///
/// First the readers, that of this failure domain before the others, then their deputies, which read the store
/// once the readers have no recent read. A node that the store has failed queries some others as well.
fn candidates(shared: &Shared, topic: RelayedTopic, is_lost: bool) -> Vec<(Host, Addresses)> {
    let table = lock(&shared.members);
    let own = table.local();
    let live = table.live(clock::now());
    let ranked = ranked(topic, &live);
    let rank = |host: &Host| ranked.iter().position(|it| **it == **host);
    if !is_lost && rank(&own.host).is_some_and(|it| it < READERS_PER_TOPIC) {
        return vec![];
    }
    let others = live.iter().filter(|it| it.host != own.host);
    let (mut chosen, rest): (Vec<_>, Vec<_>) = others.partition(|it| rank(&it.host).is_some());
    chosen.sort_by_key(|it| {
        let rank = rank(&it.host).unwrap_or_default();
        (rank >= READERS_PER_TOPIC, it.domain != own.domain, rank)
    });
    if is_lost {
        chosen.extend(rest.into_iter().choose_multiple(&mut rand::rng(), RANDOM_NODES));
    }
    chosen
        .into_iter()
        .map(|it| (it.host.clone(), it.addresses))
        .collect()
}

/// Whether this node reads a topic and others are known that may rely on it.
pub(crate) fn is_reader_for_others(shared: &Shared, topic: RelayedTopic) -> bool {
    let is_alone = lock(&shared.members).live(clock::now()).len() <= 1;
    !is_alone && duty(shared, topic) == Duty::Reader
}

/// State of each topic for operators: its offset, the age of that, and whether this node reads the store.
pub(crate) fn state(shared: &Shared, now: BootTime) -> Vec<serde_json::Value> {
    let topic = |topic: RelayedTopic| {
        let newest = topic.newest(&shared.relay, now);
        json!({
            "subject": topic.name(),
            "era": newest.map(|it| it.0.era),
            "offset": newest.map(|it| it.0.offset),
            "age_ms": newest.map(|it| it.1.as_millis() as u64),
            "reads_store": duty(shared, topic) == Duty::Reader,
        })
    };
    [RelayedTopic::Operators, RelayedTopic::Engines].map(topic).into()
}

/// Passes a reply to the task that waits for it; a late one is dropped.
pub(crate) fn deliver_reply(shared: &Shared, reply: ReplyMessage) {
    shared.relay.pending.deliver(reply.number, reply);
}
