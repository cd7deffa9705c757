//! Asks other nodes for retries that they don't need, once this node's part of a retry budget is used up.
//!
//! A node that grants a retry counts it as its own, so the sum over all nodes stays the same. A reply that is lost, or
//! comes too late, wastes the retry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forward::retry_budget::{Reservation, RetryReason};
use model::Name;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::retry::Reserved;
use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

/// Time to wait for a reply: some times the round trip between two failure domains.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Nodes that are asked one after the other.
const MAX_ASKED: usize = 2;

/// Asks a node for a retry of a request to a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RetryQuery {
    number: u64,
    service: Name,
}

/// The reply to a [`RetryQuery`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RetryReply {
    number: u64,
    granted: bool,
}

/// Questions that are being asked for one request. They end when this is dropped, also if the caller leaves meanwhile.
#[derive(Debug)]
struct OpenInquiry<'a> {
    shared: &'a Shared,
    service: &'a Name,
    is_granted: bool,
}

impl Drop for OpenInquiry<'_> {
    fn drop(&mut self) {
        let label = match self.is_granted {
            true => "granted",
            false => "denied",
        };
        let label = [("result", label)];
        self.shared.metrics.retry_queries.get_or_create(&label).inc();
        self.shared
            .retries
            .end_inquiry(self.service, self.is_granted, clock::now());
    }
}

/// Gets a retry of a request to a service from another node.
pub(crate) async fn ask(shared: &Arc<Shared>, service: &Name) -> Option<Reserved> {
    if !shared.retries.try_begin_inquiry(service, clock::now()) {
        return None;
    }
    let mut inquiry = OpenInquiry {
        shared,
        service,
        is_granted: false,
    };
    for peer in peers(shared) {
        if let Some(reserved) = ask_peer(shared, service, peer).await {
            inquiry.is_granted = true;
            return Some(reserved);
        }
    }
    None
}

/// Nodes to ask, in random order. Those of older builds don't reply.
fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let members = lock(&shared.members);
    let present = members.present().filter(|it| it.observed_hosts > 0);
    present
        .map(|it| it.addresses.gossip)
        .choose_multiple(&mut rand::rng(), MAX_ASKED)
}

async fn ask_peer(shared: &Arc<Shared>, service: &Name, peer: SocketAddr) -> Option<Reserved> {
    let pending = shared.retries.pending.begin();
    let query = RetryQuery {
        number: pending.number(),
        service: service.clone(),
    };
    let asked_at = clock::now();
    datagrams::send_retry_query(&shared.socket, &query, peer);
    let reply = pending.reply(REPLY_TIMEOUT).await?;
    let reservation = Reservation::granted(asked_at);
    reply
        .granted
        .then(|| Reserved::granted(shared, service, reservation))
}

/// The reply to a query of another node.
pub(crate) fn reply_to(shared: &Shared, query: &RetryQuery) -> RetryReply {
    // Only the services of the configuration have a budget.
    let is_known = lock(&shared.configuration)
        .value()
        .is_some_and(|it| it.service(&query.service).is_some());
    let now = clock::now();
    let granted = is_known
        && !shared.is_leaving()
        && shared
            .try_reserve_retry(&query.service, RetryReason::Peer, now)
            .is_ok();
    RetryReply {
        number: query.number,
        granted,
    }
}

/// Passes a reply to the query that it answers.
pub(crate) fn deliver_reply(shared: &Shared, reply: RetryReply) {
    shared.retries.pending.deliver(reply.number, reply);
}
