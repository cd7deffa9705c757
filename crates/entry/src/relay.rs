//! Queries other nodes, by datagrams, for what they read from the store, and replies to such queries.
//!
//! A reply states the age of its read. The querying node counts that age from the time at which it sent the
//! query, so neither a delayed datagram nor a suspended host makes a read look more recent than it is.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use forward::BootTime;
use forward::freshness::{Budget, Duty, Round};
use forward::relay::{AcceptedReply, Journal, JournalReply, Position, Query, READERS_PER_TOPIC};
use forward::uplink::{Source, Uplink};
use membership::{Addresses, Member};
use model::{Host, hash};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::pending::PendingReplies;
use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

mod direct_read;
mod engine_change;
pub(crate) mod operators;
mod plan;
mod query_failure;

pub(crate) use direct_read::DirectRead;
pub(crate) use engine_change::EngineChange;
pub(crate) use plan::Plan;
pub(crate) use query_failure::QueryFailures;

use operators::OperatorsRead;
use query_failure::QueryFailure;

/// Maximum encoded size of a reply. A larger datagram is split into many packets, and the loss of one loses
/// it all.
const MAX_REPLY_BYTES: usize = 8 << 10;

/// Maximum number of replies to one query.
const MAX_PAGES: usize = 32;

/// Maximum number of nodes that are queried because busy ones have named them.
const MAX_NAMED: usize = 3;

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

/// A query from one node to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QueryMessage {
    number: u64,
    #[serde(rename = "subject")]
    topic: RelayedTopic,
    from: u64,
    /// Era of the offset `from`.
    #[serde(default)]
    era: u64,
    /// Number of changes that earlier replies to this query had; `None` from nodes of earlier versions, which expect all
    /// of them in one reply.
    #[serde(default)]
    skip: Option<usize>,
}

/// The reply to a [`QueryMessage`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReplyMessage {
    number: u64,
    /// Next offset of the read, its age in milliseconds, and the changes; `None` if the changes are not
    /// known.
    #[serde(rename = "reading")]
    read: Option<(u64, u64, Vec<EngineChange>)>,
    /// Era of the next offset.
    #[serde(default)]
    era: u64,
    /// Whether further changes have to be queried before the next offset is reached.
    #[serde(default)]
    more: bool,
    /// Whether the age counts from a read that reached the end of the topic. Nodes of earlier versions state that of any
    /// read, also of one that the store cut off.
    #[serde(default)]
    to_end: bool,
    /// Whether this node does not pass the changes on now. Nodes of earlier versions get no changes of engines then, and
    /// still call this node for records of operators.
    #[serde(default, skip_serializing_if = "is_false")]
    busy: bool,
    /// Address for datagrams of a node that has got the changes from this one, if it is busy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    holder: Option<SocketAddr>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !value
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

/// Changes that another node has provided.
#[derive(Debug)]
pub(crate) struct Relayed {
    /// The changes.
    pub reply: AcceptedReply<EngineChange>,
    /// The node.
    pub host: Host,
    /// Address for calls of the node that passes on the records.
    pub peer: SocketAddr,
    /// Whether the node counts the age from a read that reached the end of the topic.
    pub counts_to_end: bool,
}

/// Result of a round of queries.
#[derive(Debug)]
pub(crate) struct Inquiry {
    /// The most recent of what other nodes have provided, if it is newer than what this node knows.
    pub relayed: Option<Relayed>,
    /// Why the store has to be read if it is.
    pub reason: DirectRead,
    /// The nodes that were queried in vain.
    pub failures: QueryFailures,
}

impl Inquiry {
    /// A round in which no node is queried.
    pub(crate) fn none() -> Self {
        Self {
            relayed: None,
            reason: DirectRead::NoReply,
            failures: QueryFailures::default(),
        }
    }

    /// What the round has shown.
    pub(crate) fn round(&self) -> Round {
        match self.reason {
            DirectRead::Behind => Round::Behind,
            DirectRead::NoReply if !self.failures.is_empty() => Round::Silent,
            _ => Round::Followed,
        }
    }

    fn record_failure(&mut self, host: Host, failure: QueryFailure) {
        self.reason = match (self.reason, failure) {
            (DirectRead::Behind, _) | (_, QueryFailure::Unknown | QueryFailure::Busy(_)) => {
                DirectRead::Behind
            }
            (_, QueryFailure::Old(_)) => DirectRead::Stale,
            (reason, QueryFailure::NoReply) => reason,
        };
        self.failures.push(host, failure);
    }
}

/// Queries the readers of a topic for changes from the position `from` on, if this node is none, until one has a recent
/// read.
///
/// A node that cannot reach the store (`is_lost`) queries other nodes also if it is a reader or the store is due, and
/// queries more of them.
pub(crate) async fn query(shared: &Shared, plan: Plan, from: Position, is_lost: bool) -> Inquiry {
    let Plan { topic, budget, .. } = plan;
    let mut inquiry = Inquiry::none();
    let mut nodes: VecDeque<_> = candidates(shared, topic, is_lost).into();
    let mut named = 0;
    while let Some((host, addresses)) = nodes.pop_front() {
        let sent_at = clock::now();
        let age = topic.age(shared);
        if age >= plan.due && !is_lost {
            break;
        }
        let answer = match query_reader(shared, addresses.gossip, plan, from, is_lost).await {
            Ok(it) => it,
            Err(failure) => {
                if let QueryFailure::Busy(Some(holder)) = failure
                    && named < MAX_NAMED
                {
                    named += 1;
                    if let Some(member) = member_at(shared, holder) {
                        nodes.push_front(member);
                    }
                }
                inquiry.record_failure(host, failure);
                continue;
            }
        };
        let holder = answer.holder.and_then(|it| member_at(shared, it));
        if answer.busy && holder.is_none() {
            inquiry.record_failure(host, QueryFailure::Busy(None));
            continue;
        }
        let Answer {
            reply, counts_to_end, ..
        } = answer;
        let reply_age = reply.age;
        // A node that was named may not have got the changes yet.
        let is_missed = inquiry.reason == DirectRead::Behind && reply.next <= from;
        let query = Query { from, age, sent_at };
        let known_at = match &inquiry.relayed {
            Some(it) => it.reply.current_at,
            None => sent_at.saturating_sub(age),
        };
        let accepted = query.accept(reply, clock::now(), Duration::MAX);
        if let Some(reply) = accepted.filter(|it| it.current_at > known_at) {
            inquiry.relayed = Some(Relayed {
                reply,
                host: host.clone(),
                peer: holder.as_ref().map_or(addresses.peer, |it| it.1.peer),
                counts_to_end,
            });
        }
        if reply_age <= budget.max_reply_age() && !is_missed {
            inquiry.reason = DirectRead::Stale;
            break;
        }
        inquiry.record_failure(host, QueryFailure::Old(reply_age));
    }
    if inquiry.relayed.is_some() {
        let label = [("subject", topic.name())];
        shared.metrics.relayed.get_or_create(&label).inc();
    }
    inquiry
}

/// The live node with an address for datagrams.
fn member_at(shared: &Shared, gossip: SocketAddr) -> Option<(Host, Addresses)> {
    let live = lock(&shared.members).live(clock::now());
    let member = live.into_iter().find(|it| it.addresses.gossip == gossip)?;
    Some((member.host, member.addresses))
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

/// Reply of a node with all of its changes.
#[derive(Debug)]
struct Answer {
    reply: JournalReply<EngineChange>,
    /// Whether the node counts the age from a read that reached the end of the topic.
    counts_to_end: bool,
    /// Whether the node does not pass the records of operators on now.
    busy: bool,
    /// Address for datagrams of another one that does.
    holder: Option<SocketAddr>,
}

/// Queries a node until it has replied with all of its changes.
///
/// # Errors
/// Changes are known to be missing here, but were not received, or only a part of them before the store is due.
async fn query_reader(
    shared: &Shared,
    reader: SocketAddr,
    plan: Plan,
    from: Position,
    is_lost: bool,
) -> Result<Answer, QueryFailure> {
    let topic = plan.topic;
    let timeout = plan.budget.reply_timeout();
    let mut changes = vec![];
    for _ in 0..MAX_PAGES {
        let has_part = !changes.is_empty();
        if has_part && !is_lost && topic.age(shared) >= plan.due {
            return Err(QueryFailure::Unknown);
        }
        let reply = match query_page(shared, reader, topic, from, changes.len(), timeout).await {
            Some(reply) => reply,
            None if has_part => return Err(QueryFailure::Unknown),
            None => return Err(QueryFailure::NoReply),
        };
        let (busy, holder) = (reply.busy, reply.holder);
        let (offset, age_ms, page) = reply.read.ok_or(match busy {
            true => QueryFailure::Busy(holder),
            false => QueryFailure::Unknown,
        })?;
        let is_last = !reply.more || page.is_empty();
        changes.extend(page);
        if is_last {
            // An empty page that is not the last one is a change that fits into no reply.
            let next = Position {
                era: reply.era,
                offset,
            };
            let age = Duration::from_millis(age_ms);
            return match reply.more {
                false => Ok(Answer {
                    reply: JournalReply { next, age, changes },
                    counts_to_end: reply.to_end,
                    busy,
                    holder,
                }),
                true => Err(QueryFailure::Unknown),
            };
        }
    }
    Err(QueryFailure::Unknown)
}

async fn query_page(
    shared: &Shared,
    reader: SocketAddr,
    topic: RelayedTopic,
    from: Position,
    skip: usize,
    timeout: Duration,
) -> Option<ReplyMessage> {
    let pending = shared.relay.pending.begin();
    let message = QueryMessage {
        number: pending.number(),
        topic,
        from: from.offset,
        era: from.era,
        skip: Some(skip),
    };
    datagrams::send_query(&shared.socket, &message, reader);
    let reply = pending.reply(timeout).await;
    if reply.is_none() {
        log::debug!(subject = topic.name(), reader:%; "no reply to a query about a topic");
    }
    reply
}

/// The encoded reply to a query of the node at an address; `None` if it cannot be encoded.
pub(crate) fn reply_to(shared: &Shared, query: &QueryMessage, from: SocketAddr) -> Option<Vec<u8>> {
    let known = Position {
        era: query.era,
        offset: query.from,
    };
    let now = clock::now();
    match query.topic {
        // The records themselves are too large for a datagram.
        RelayedTopic::Operators => {
            let (newest, missing) = {
                let journal = lock(&shared.relay.operators);
                (journal.newest(now), journal.since(known, now))
            };
            let read = newest.map(|(next, age)| JournalReply {
                next,
                age,
                changes: vec![],
            });
            let size = |it: &OperatorsRead| it.reply.body().len();
            let size = missing.map_or(0, |it| it.changes.iter().map(size).sum());
            let next = newest.map_or(known, |it| it.0);
            let source = assign(shared, query.topic, from, next, size, now);
            encode(&reply(query, read, &source))
        }
        RelayedTopic::Engines => {
            let read = lock(&shared.relay.engines).since(known, now);
            // The first page stands for all.
            let is_first = query.skip.unwrap_or_default() == 0;
            let size = |it: &JournalReply<EngineChange>| -> usize {
                it.changes.iter().map(EngineChange::max_encoded_len).sum()
            };
            let source = match &read {
                Some(it) if is_first => assign(shared, query.topic, from, it.next, size(it), now),
                _ => Source::Own,
            };
            let read = read.filter(|_| source == Source::Own).map(|it| JournalReply {
                changes: it.changes.into_iter().map(|change| change.at(now)).collect(),
                ..it
            });
            encode(&reply(query, read, &source))
        }
    }
}

/// Decides who passes changes on to the node at an address.
fn assign(
    shared: &Shared,
    topic: RelayedTopic,
    to: SocketAddr,
    next: Position,
    size: usize,
    now: BootTime,
) -> Source<SocketAddr> {
    let source = lock(&shared.relay.uplink).assign(topic, &to, next, size, now);
    let result = match source {
        Source::Own => "own",
        Source::Other(_) => "other",
        Source::None => "none",
    };
    if size > 0 {
        let label = [("subject", topic.name()), ("source", result)];
        shared.metrics.changes_passed_on.get_or_create(&label).inc();
    }
    source
}

/// The reply with as many changes as fit into it, of a node that has decided who passes them on.
fn reply(
    query: &QueryMessage,
    read: Option<JournalReply<EngineChange>>,
    source: &Source<SocketAddr>,
) -> ReplyMessage {
    let number = query.number;
    let busy = *source != Source::Own;
    let holder = match source {
        Source::Other(holder) => Some(*holder),
        Source::Own | Source::None => None,
    };
    let unknown = ReplyMessage {
        number,
        read: None,
        era: 0,
        more: false,
        to_end: true,
        busy,
        holder,
    };
    let Some(read) = read else {
        return unknown;
    };
    let skip = query.skip.unwrap_or_default();
    let left = read.changes.get(skip..).unwrap_or_default();
    let mut size = 0;
    let fits = |it: &&EngineChange| {
        size += it.max_encoded_len();
        size <= MAX_REPLY_BYTES
    };
    let page: Vec<_> = left.iter().take_while(fits).cloned().collect();
    let more = page.len() < left.len();
    if more && query.skip.is_none() {
        return unknown;
    }
    ReplyMessage {
        era: read.next.era,
        read: Some((read.next.offset, read.age.as_millis() as u64 + 1, page)),
        more,
        ..unknown
    }
}

fn encode(reply: &ReplyMessage) -> Option<Vec<u8>> {
    serde_json::to_vec(reply)
        .inspect_err(|err| log::error!("cannot encode the reply to another node: {err}"))
        .ok()
}

/// Passes a reply to the task that waits for it; a late one is dropped.
pub(crate) fn deliver_reply(shared: &Shared, reply: ReplyMessage) {
    shared.relay.pending.deliver(reply.number, reply);
}
