//! Exchange of counters about the quality of versions.
//!
//! Each node calls one of a few fixed partners at a time, and both sides merge what the other knows. The partners
//! form a random graph over the fleet, so counters reach all nodes in a number of exchanges that grows with the
//! logarithm of the fleet's size, while the cost of a node stays the same.

use std::time::Duration;

use rand::seq::SliceRandom;
use wire::peer::{MergeEvidenceReply, MergeEvidenceRequest};

use super::evidence::{counters, evidence_message, posterior_message};
use crate::evidence::{self, Counters};
use crate::phase::Phase;
use crate::shared::Shared;

/// Partners of a node. Connections are probed while they are idle, so their number must not grow with the fleet.
const PARTNERS: usize = 4;

/// Least interval between two exchanges, which applies at small sizes.
const LEAST_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval between two exchanges.
const LONGEST_INTERVAL: Duration = Duration::from_secs(5);

/// Part of the interval for each member.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(15);

/// Greatest number of adequacy counters in a message, about 1 KB. With 64 of them the exchange alone took 2.4 of the
/// 3 KB/s that a node may send for control at 340 nodes.
const ADEQUACY_LIMIT: usize = 16;

/// Adequacy counters that grew within so many intervals are sent. More of them than fit are drawn at random, so each
/// has several chances.
const WINDOW_INTERVALS: u32 = 10;

/// Exchanges counters until the node stops.
pub(crate) fn run(shared: &Shared) {
    for turn in 0_usize.. {
        let live = shared.peers.live(shared.now());
        let interval = interval(live.len() + 1);
        shared
            .planner
            .retain(|incarnation| live.iter().any(|it| it.incarnation == incarnation));
        exchange(shared, turn, interval);
        shared.pause(interval);
        if shared.phase.get() >= Phase::Stopped {
            return;
        }
    }
}

/// Answers a partner's call.
pub(crate) fn answer(shared: &Shared, message: &MergeEvidenceRequest) -> MergeEvidenceReply {
    merge(shared, counters(&message.evidence, &message.posteriors));
    let own = recent(shared, interval(shared.peers.live(shared.now()).len() + 1));
    MergeEvidenceReply {
        evidence: own.rollouts.iter().map(evidence_message).collect(),
        posteriors: own.adequacy.iter().map(posterior_message).collect(),
    }
}

fn exchange(shared: &Shared, turn: usize, interval: Duration) {
    let mut partners = shared.peers.table_holders(shared.incarnation);
    partners.truncate(PARTNERS);
    if partners.is_empty() {
        return;
    }
    let own = recent(shared, interval);
    let message = MergeEvidenceRequest {
        evidence: own.rollouts.iter().map(evidence_message).collect(),
        posteriors: own.adequacy.iter().map(posterior_message).collect(),
    };
    match shared
        .client
        .merge_evidence(partners[turn % partners.len()], message)
    {
        Ok(reply) => {
            shared.metrics.peers.evidence_exchanged.inc();
            merge(shared, counters(&reply.evidence, &reply.posteriors));
        }
        Err(_) => {
            shared.metrics.peers.evidence_failures.inc();
        }
    }
}

/// Merges counters, but not the adequacy counters of incarnations that are not live: what was learnt from a dead
/// incarnation stays, and its counters would count a second time.
fn merge(shared: &Shared, mut counters: Counters) {
    let live = shared.peers.live(shared.now());
    counters
        .adequacy
        .retain(|record| live.iter().any(|it| it.incarnation == record.incarnation));
    let received = counters.adequacy.len() + counters.rollouts.len();
    shared.metrics.peers.evidence_received.inc_by(received as u64);
    evidence::merge(shared, &counters);
}

fn recent(shared: &Shared, interval: Duration) -> Counters {
    let since = shared.now().saturating_sub(interval * WINDOW_INTERVALS);
    let mut recent = evidence::counters(shared, since);
    if recent.adequacy.len() > ADEQUACY_LIMIT {
        recent.adequacy.shuffle(&mut shared.rng());
        recent.adequacy.truncate(ADEQUACY_LIMIT);
    }
    recent
}

fn interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    INTERVAL_PER_MEMBER
        .saturating_mul(members)
        .clamp(LEAST_INTERVAL, LONGEST_INTERVAL)
}
