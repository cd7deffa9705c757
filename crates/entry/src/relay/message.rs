//! Messages between nodes about topics, and replies to queries.

use std::net::SocketAddr;

use forward::BootTime;
use forward::relay::{JournalReply, Position};
use forward::uplink::Source;
use serde::{Deserialize, Serialize};

use super::operators::OperatorsRead;
use super::{EngineChange, RelayedTopic};
use crate::clock;
use crate::shared::{Shared, lock};

/// Maximum encoded size of a reply. A larger datagram is split into many packets, and the loss of one loses
/// it all.
const MAX_REPLY_BYTES: usize = 8 << 10;

/// A query from one node to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QueryMessage {
    pub(super) number: u64,
    #[serde(rename = "subject")]
    pub(super) topic: RelayedTopic,
    pub(super) from: u64,
    /// Era of the offset `from`.
    #[serde(default)]
    pub(super) era: u64,
    /// Number of changes that earlier replies to this query had; `None` from nodes of earlier versions, which expect all
    /// of them in one reply.
    #[serde(default)]
    pub(super) skip: Option<usize>,
}

/// The reply to a [`QueryMessage`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReplyMessage {
    pub(super) number: u64,
    /// Next offset of the read, its age in milliseconds, and the changes; `None` if the changes are not
    /// known.
    #[serde(rename = "reading")]
    pub(super) read: Option<(u64, u64, Vec<EngineChange>)>,
    /// Era of the next offset.
    #[serde(default)]
    pub(super) era: u64,
    /// Whether further changes have to be queried before the next offset is reached.
    #[serde(default)]
    pub(super) more: bool,
    /// Whether the age counts from a read that reached the end of the topic. Nodes of earlier versions state that of any
    /// read, also of one that the store cut off.
    #[serde(default)]
    pub(super) to_end: bool,
    /// Whether this node does not pass the changes on now. Nodes of earlier versions get no changes of engines then, and
    /// still call this node for records of operators.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) busy: bool,
    /// Address for datagrams of a node that has got the changes from this one, if it is busy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) holder: Option<SocketAddr>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !value
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
