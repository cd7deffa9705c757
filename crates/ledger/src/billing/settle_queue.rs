//! Notification of peers about batches that are in the log.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Incarnation;

use super::{Action, BatchId, SETTLE_RETRY_INTERVAL};

/// Maximum number of queued batches per peer. A peer that is not notified of a batch holds it until the
/// origin dies and then appends a duplicate.
const MAX_BATCHES_PER_PEER: usize = 1 << 16;

/// Maximum number of batches in one settle call.
const MAX_BATCHES_PER_CALL: usize = 4096;

/// Period after which the queue of an absent peer is dropped; a paused peer returns sooner.
const ABSENT_PEER_RETENTION: Duration = Duration::from_secs(600);

/// Call number that is never assigned to a settle call.
pub(super) const NO_CALL: u64 = 0;

/// Logged batches by the peer to be notified.
#[derive(Debug, Default)]
pub(super) struct SettleQueue {
    peers: BTreeMap<Incarnation, PeerQueue>,
    last_call: u64,
}

#[derive(Debug)]
struct PeerQueue {
    /// Sequence numbers with the number of the last call that contained them, or [`NO_CALL`] if none has
    /// since the batch was added. A reply to an earlier call does not cover a batch that the peer accepted
    /// again afterwards.
    sequences: BTreeMap<u64, u64>,
    next_call: Duration,
    absent_since: Option<Duration>,
}

impl SettleQueue {
    pub(super) fn add(&mut self, peer: Incarnation, sequence: u64, now: Duration) {
        let peer = self.peers.entry(peer).or_insert_with(|| PeerQueue {
            sequences: BTreeMap::new(),
            next_call: now,
            absent_since: None,
        });
        peer.sequences.insert(sequence, NO_CALL);
        if peer.sequences.len() > MAX_BATCHES_PER_PEER {
            peer.sequences.pop_first();
        }
    }

    pub(super) fn confirmed(&mut self, peer: Incarnation, number: u64) {
        let Some(entry) = self.peers.get_mut(&peer).filter(|_| number != NO_CALL) else {
            return;
        };
        entry.sequences.retain(|_, call| *call != number);
        if entry.sequences.is_empty() {
            self.peers.remove(&peer);
        }
    }

    pub(super) fn set_live(&mut self, is_live: impl Fn(Incarnation) -> bool, now: Duration) {
        for (incarnation, peer) in &mut self.peers {
            peer.absent_since = if is_live(*incarnation) {
                None
            } else {
                peer.absent_since.or(Some(now))
            };
        }
        self.peers.retain(|_, it| {
            it.absent_since
                .is_none_or(|since| now.saturating_sub(since) < ABSENT_PEER_RETENTION)
        });
    }

    pub(super) fn poll(&mut self, own: Incarnation, now: Duration, actions: &mut Vec<Action>) {
        for (incarnation, peer) in &mut self.peers {
            if peer.absent_since.is_some() || peer.next_call > now {
                continue;
            }
            peer.next_call = now + SETTLE_RETRY_INTERVAL;
            self.last_call += 1;
            let ids = peer
                .sequences
                .iter_mut()
                .take(MAX_BATCHES_PER_CALL)
                .map(|(sequence, call)| {
                    *call = self.last_call;
                    BatchId {
                        incarnation: own,
                        sequence: *sequence,
                    }
                });
            actions.push(Action::Settle {
                peer: *incarnation,
                number: self.last_call,
                ids: ids.collect(),
            });
        }
    }

    pub(super) fn wakeup(&self) -> Option<Duration> {
        self.peers
            .values()
            .filter(|it| it.absent_since.is_none())
            .map(|it| it.next_call)
            .min()
    }
}
