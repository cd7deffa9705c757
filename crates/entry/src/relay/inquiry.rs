//! Queries other nodes about a topic.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use forward::freshness::Round;
use forward::relay::{AcceptedReply, JournalReply, Position, Query};
use membership::Addresses;
use model::Host;

use super::message::{QueryMessage, ReplyMessage};
use super::query_failure::QueryFailure;
use super::{DirectRead, EngineChange, Plan, QueryFailures, RelayedTopic, candidates};
use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

/// Maximum number of replies to one query.
const MAX_PAGES: usize = 32;

/// Maximum number of nodes that are queried because busy ones have named them.
const MAX_NAMED: usize = 3;

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
