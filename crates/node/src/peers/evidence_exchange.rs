//! Exchange of counters about the quality of versions.
//!
//! Each node calls its few fixed partners in turn, and both sides merge each other's counters. The partners
//! form a random graph over the fleet, so the number of exchanges until a counter reaches all nodes grows
//! with the logarithm of the fleet's size, while the cost per node is constant.

use std::time::Duration;

use rand::seq::SliceRandom;
use wire::peer::{MergeEvidenceReply, MergeEvidenceRequest};

use super::convert::evidence::{counters, evidence_message, posterior_message};
use crate::evidence::{self, Counters};
use crate::phase::Phase;
use crate::shared::Shared;

/// Number of partners of a node. Idle connections are probed, so their number must not grow with the fleet.
const PARTNERS: usize = 4;

/// Minimum interval between two exchanges; applies to small fleets.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between two exchanges.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two exchanges, per member of the fleet.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(15);

/// Maximum number of adequacy counters in a message, about 1 KB. With 64 of them, the exchange alone used 2.4
/// of the 3 KB/s that a node may send as control traffic at 340 nodes.
const MAX_ADEQUACY_COUNTERS: usize = 16;

/// Number of intervals within which an adequacy counter must have increased to be sent. If there are too many
/// for a message, a random sample is sent, so that each counter has several chances.
const WINDOW_INTERVALS: u32 = 10;

/// Exchanges counters until the node stops.
pub(crate) fn run(shared: &Shared) {
    for round in 0_usize.. {
        let live = shared.peers.live(shared.now());
        let interval = interval(live.len() + 1);
        shared
            .planner
            .retain(|incarnation| live.iter().any(|it| it.incarnation == incarnation));
        exchange(shared, round, interval);
        shared.sleep(interval);
        if shared.phase.get() >= Phase::Stopped {
            return;
        }
    }
}

/// Merges the counters in a partner's call and returns the reply with this node's counters.
pub(crate) fn reply(shared: &Shared, message: &MergeEvidenceRequest) -> MergeEvidenceReply {
    merge(shared, counters(&message.evidence, &message.posteriors));
    let own = recent(shared, interval(shared.peers.live(shared.now()).len() + 1));
    MergeEvidenceReply {
        evidence: own.rollouts.iter().map(evidence_message).collect(),
        posteriors: own.adequacy.iter().map(posterior_message).collect(),
    }
}

fn exchange(shared: &Shared, round: usize, interval: Duration) {
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
        .merge_evidence(partners[round % partners.len()], message)
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

/// Merges counters, except the adequacy counters of incarnations that are not live. The estimates keep the
/// ratings from dead incarnations, so merging their counters again would count these ratings twice.
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
    if recent.adequacy.len() > MAX_ADEQUACY_COUNTERS {
        recent.adequacy.shuffle(&mut shared.rng());
        recent.adequacy.truncate(MAX_ADEQUACY_COUNTERS);
    }
    recent
}

fn interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    INTERVAL_PER_MEMBER
        .saturating_mul(members)
        .clamp(MIN_INTERVAL, MAX_INTERVAL)
}
