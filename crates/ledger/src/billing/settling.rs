//! Peers that still have to learn which batches the log holds.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Incarnation;

use super::{Action, Id, RETRY};

/// Batches remembered per peer. A peer that misses one keeps it until the origin dies and then appends a duplicate.
const PEER_LIMIT: usize = 1 << 16;

/// Batches in one message.
const MESSAGE_LIMIT: usize = 4096;

/// Time after which a peer that is not live is forgotten; a paused peer is back sooner.
const FORGET: Duration = Duration::from_secs(600);

/// Number of no call.
pub(super) const UNSENT: u64 = 0;

/// Batches to be reported, by peer.
#[derive(Debug, Default)]
pub(super) struct Settling {
    peers: BTreeMap<Incarnation, Peer>,
    calls: u64,
}

#[derive(Debug)]
struct Peer {
    /// Batches with the number of the last call that named them, [`UNSENT`] if none did since the batch was added. The
    /// reply to an earlier call proves nothing about a batch that the peer took again after it.
    sequences: BTreeMap<u64, u64>,
    next: Duration,
    absent_since: Option<Duration>,
}

impl Settling {
    pub(super) fn add(&mut self, peer: Incarnation, sequence: u64, now: Duration) {
        let peer = self.peers.entry(peer).or_insert_with(|| Peer {
            sequences: BTreeMap::new(),
            next: now,
            absent_since: None,
        });
        peer.sequences.insert(sequence, UNSENT);
        if peer.sequences.len() > PEER_LIMIT {
            peer.sequences.pop_first();
        }
    }

    pub(super) fn confirmed(&mut self, peer: Incarnation, number: u64) {
        let Some(entry) = self.peers.get_mut(&peer).filter(|_| number != UNSENT) else {
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
                .is_none_or(|since| now.saturating_sub(since) < FORGET)
        });
    }

    pub(super) fn poll(&mut self, own: Incarnation, now: Duration, actions: &mut Vec<Action>) {
        for (incarnation, peer) in &mut self.peers {
            if peer.absent_since.is_some() || peer.next > now {
                continue;
            }
            peer.next = now + RETRY;
            self.calls += 1;
            let ids = peer
                .sequences
                .iter_mut()
                .take(MESSAGE_LIMIT)
                .map(|(sequence, call)| {
                    *call = self.calls;
                    Id {
                        incarnation: own,
                        sequence: *sequence,
                    }
                });
            actions.push(Action::Settle {
                peer: *incarnation,
                number: self.calls,
                ids: ids.collect(),
            });
        }
    }

    pub(super) fn wakeup(&self) -> Option<Duration> {
        self.peers
            .values()
            .filter(|it| it.absent_since.is_none())
            .map(|it| it.next)
            .min()
    }
}
