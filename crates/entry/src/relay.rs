//! Queries other nodes, by datagrams, for what they read from the store, and replies to such queries.
//!
//! A reply states the age of its read. The querying node counts that age from the time at which it sent the
//! query, so neither a delayed datagram nor a suspended host makes a read look more recent than it is.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::relay::{AcceptedReply, Journal, JournalReply, Position, Query, READERS_PER_TOPIC};
use model::{Host, Upstream, hash};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::pending::PendingReplies;
use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

/// Timeout of a reply: some tens of times the round trip between two failure domains, so that only a lost
/// datagram or a busy host exceeds it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Maximum encoded size of a reply. A larger datagram is split into many packets, and the loss of one loses
/// it all.
const MAX_REPLY_BYTES: usize = 8 << 10;

/// Maximum age of a usable reply, in read intervals. An older one shows that its node cannot read the store
/// reliably.
const MAX_AGE_INTERVALS: f64 = 1.2;

/// Nodes queried in addition to the readers after the store has failed this node: if it rejects the readers
/// as well, these nodes read it themselves.
const EXTRA_READERS: usize = 2;

/// Queries per read interval.
pub(crate) const QUERIES_PER_INTERVAL: f64 = 2.0;

/// State of the queries between nodes.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    pub operators: Mutex<Journal<EngineChange>>,
    pub engines: Mutex<Journal<EngineChange>>,
    pending: PendingReplies<ReplyMessage>,
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
}

/// Topics that nodes pass on. Release statuses are not among them, as the driver of a release sends these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayedTopic {
    /// Only whether there are new records of operators; the records themselves are read from the store.
    Operators,
    /// Changes of the list of engines.
    Engines,
}

/// A change of an engine's registry entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EngineChange {
    id: String,
    engine: Option<EngineEntry>,
}

/// Registry entry of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EngineEntry {
    #[serde(rename = "born")]
    started_ms: u64,
    service: String,
    address: SocketAddr,
    domain: String,
    version: String,
    slots: u32,
    draining: bool,
}

impl RelayedTopic {
    fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Engines => "engines",
        }
    }

    /// Interval between two reads of the store.
    fn read_interval(self, shared: &Shared) -> Duration {
        let store = &shared.settings().store;
        match self {
            Self::Operators => store.config_wait,
            Self::Engines => store.engine_poll,
        }
    }

    fn journal(self, relay: &Relay) -> &Mutex<Journal<EngineChange>> {
        match self {
            Self::Operators => &relay.operators,
            Self::Engines => &relay.engines,
        }
    }
}

impl EngineChange {
    pub(crate) fn new(id: &Upstream, engine: Option<&Engine>) -> Self {
        Self {
            id: id.to_string(),
            engine: engine.map(|it| EngineEntry {
                started_ms: it.started_ms,
                service: it.service.to_string(),
                address: it.address,
                domain: it.domain.to_string(),
                version: it.version.to_string(),
                slots: it.slots,
                draining: it.draining,
            }),
        }
    }

    /// The engine's id, and its entry; `None` if it was removed.
    pub(crate) fn into_entry(self) -> (Upstream, Option<Engine>) {
        let id: Upstream = self.id.into();
        let engine = self.engine.map(|it| Engine {
            id: id.clone(),
            started_ms: it.started_ms,
            service: it.service.into(),
            address: it.address,
            domain: it.domain.into(),
            version: it.version.into(),
            slots: it.slots,
            draining: it.draining,
        });
        (id, engine)
    }
}

/// Queries the readers of a topic for changes from the position `from` on.
///
/// `None` if this node must read the store itself, because it is a reader or because no reader has a recent
/// read. A node that cannot reach the store (`is_lost`) queries other nodes even if it is a reader, and
/// queries more of them.
pub(crate) async fn query(
    shared: &Shared,
    topic: RelayedTopic,
    from: Position,
    is_lost: bool,
) -> Option<AcceptedReply<EngineChange>> {
    let interval = topic.read_interval(shared);
    for reader in readers(shared, topic, is_lost)? {
        let sent_at = clock::now();
        let own = lock(topic.journal(&shared.relay)).newest(sent_at);
        let age = own.map_or(Duration::MAX, |(_, age)| age);
        let Some(reply) = query_reader(shared, reader, topic, from).await else {
            continue;
        };
        let query = Query { from, age, sent_at };
        let accepted = query.accept(reply, clock::now(), interval.mul_f64(MAX_AGE_INTERVALS));
        if accepted.is_some() {
            let label = [("subject", topic.name())];
            shared.metrics.relayed.get_or_create(&label).inc();
            return accepted;
        }
    }
    None
}

/// Nodes to query, those of this failure domain first; `None` if this node is a reader itself.
fn readers(shared: &Shared, topic: RelayedTopic, is_lost: bool) -> Option<Vec<SocketAddr>> {
    let table = lock(&shared.members);
    let own = table.local();
    let live = table.live(clock::now());
    let count = if is_lost {
        READERS_PER_TOPIC + EXTRA_READERS
    } else {
        READERS_PER_TOPIC
    };
    let mut chosen = hash::highest(topic.name(), live.iter().map(|it| &*it.host), count);
    if is_lost {
        chosen.retain(|it| *it != &*own.host);
    } else if chosen.contains(&&*own.host) {
        return None;
    }
    let is_chosen = |host: &Host| chosen.contains(&&**host);
    let mut readers: Vec<_> = live.iter().filter(|it| is_chosen(&it.host)).collect();
    readers.sort_by_key(|it| it.domain != own.domain);
    Some(readers.into_iter().map(|it| it.addresses.gossip).collect())
}

/// State of each topic for operators: its offset, the age of that, and whether this node reads the store.
pub(crate) fn state(shared: &Shared, now: BootTime) -> Vec<serde_json::Value> {
    let topic = |topic: RelayedTopic| {
        let newest = lock(topic.journal(&shared.relay)).newest(now);
        json!({
            "subject": topic.name(),
            "era": newest.map(|it| it.0.era),
            "offset": newest.map(|it| it.0.offset),
            "age_ms": newest.map(|it| it.1.as_millis() as u64),
            "reads_store": readers(shared, topic, false).is_none(),
        })
    };
    [RelayedTopic::Operators, RelayedTopic::Engines].map(topic).into()
}

async fn query_reader(
    shared: &Shared,
    reader: SocketAddr,
    topic: RelayedTopic,
    from: Position,
) -> Option<JournalReply<EngineChange>> {
    let pending = shared.relay.pending.begin();
    let message = QueryMessage {
        number: pending.number(),
        topic,
        from: from.offset,
        era: from.era,
    };
    datagrams::send_query(&shared.socket, &message, reader);
    let Some(reply) = pending.reply(REPLY_TIMEOUT).await else {
        log::debug!(subject = topic.name(), reader:%; "no reply to a query about a topic");
        return None;
    };
    let (offset, age_ms, changes) = reply.read?;
    Some(JournalReply {
        next: Position {
            era: reply.era,
            offset,
        },
        age: Duration::from_millis(age_ms),
        changes,
    })
}

/// The encoded reply to a query; `None` if it cannot be encoded.
pub(crate) fn reply_to(shared: &Shared, query: &QueryMessage) -> Option<Vec<u8>> {
    let journal = lock(query.topic.journal(&shared.relay));
    let from = Position {
        era: query.era,
        offset: query.from,
    };
    let read = journal.since(from, clock::now());
    drop(journal);
    let era = read.as_ref().map_or(0, |it| it.next.era);
    let read = read.map(|it| (it.next.offset, it.age.as_millis() as u64 + 1, it.changes));
    let number = query.number;
    let encoded = encode(&ReplyMessage { number, read, era })?;
    if encoded.len() <= MAX_REPLY_BYTES {
        return Some(encoded);
    }
    let read = None;
    encode(&ReplyMessage { number, read, era })
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
