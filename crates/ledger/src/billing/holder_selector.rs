//! Selection of the peers that hold replicas of this node's batches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Domain, Incarnation, hash};

use super::Member;

/// Period during which a peer that failed to hold a batch is used only as a fallback.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

/// Live peers in this origin's order of preference.
#[derive(Debug)]
pub(super) struct HolderSelector {
    own: Member,
    preferred: Vec<Member>,
    live: BTreeSet<Incarnation>,
    avoided_until: BTreeMap<Incarnation, Duration>,
}

impl HolderSelector {
    pub(super) fn new(own: Member) -> Self {
        Self {
            own,
            preferred: Vec::new(),
            live: BTreeSet::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// Replaces the live peers. They are ordered by rendezvous hash, which distributes origins evenly over
    /// holders and keeps the assignment stable when members change.
    pub(super) fn set_peers(&mut self, peers: &[Member], now: Duration) {
        let own = self.own.incarnation.to_string();
        self.preferred = peers
            .iter()
            .filter(|it| it.incarnation != self.own.incarnation)
            .cloned()
            .collect();
        self.preferred
            .sort_by_cached_key(|it| std::cmp::Reverse(hash::rendezvous(&own, &it.incarnation.to_string())));
        self.live = self.preferred.iter().map(|it| it.incarnation).collect();
        self.avoided_until.retain(|_, until| *until > now);
    }

    pub(super) fn is_live(&self, peer: Incarnation) -> bool {
        self.live.contains(&peer)
    }

    pub(super) fn avoid(&mut self, peer: Incarnation, now: Duration) {
        self.avoided_until.insert(peer, now + AVOIDANCE_PERIOD);
    }

    /// Selects a live peer for one replica while `other` holds the other one.
    ///
    /// Peers outside this node's failure domain come first, even if they failed recently, because a replica
    /// inside the domain would be lost together with this node. The next criteria are that the peer has not
    /// failed recently and that its domain differs from that of `other`.
    pub(super) fn choose(&self, other: Option<Incarnation>, now: Duration) -> Option<Incarnation> {
        let other_domain = other.and_then(|it| self.domain(it));
        let candidates = self.preferred.iter().filter(|it| Some(it.incarnation) != other);
        let best = candidates.min_by_key(|it| {
            let is_avoided = self
                .avoided_until
                .get(&it.incarnation)
                .is_some_and(|until| *until > now);
            (
                it.domain == self.own.domain,
                is_avoided,
                Some(&it.domain) == other_domain,
            )
        });
        best.map(|it| it.incarnation)
    }

    /// Whether the peer may keep a replica: it must be live, and outside this node's failure domain if at
    /// least two live peers are.
    pub(super) fn is_suitable(&self, peer: Incarnation) -> bool {
        let outside = self
            .preferred
            .iter()
            .filter(|it| it.domain != self.own.domain)
            .count();
        self.is_live(peer) && (outside < 2 || !self.shares_domain(peer))
    }

    /// Whether the peer is in this node's failure domain.
    pub(super) fn shares_domain(&self, peer: Incarnation) -> bool {
        self.domain(peer) == Some(&self.own.domain)
    }

    fn domain(&self, peer: Incarnation) -> Option<&Domain> {
        self.preferred
            .iter()
            .find(|it| it.incarnation == peer)
            .map(|it| &it.domain)
    }
}
