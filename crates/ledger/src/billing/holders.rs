//! Choice of holders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Domain, Incarnation, hash};

use super::Member;

/// Time for which a peer that failed to hold a batch is chosen only if no other is left.
const AVOIDANCE: Duration = Duration::from_secs(5);

/// Live peers in the order in which this origin prefers them.
#[derive(Debug)]
pub(super) struct Holders {
    own: Member,
    preferred: Vec<Member>,
    live: BTreeSet<Incarnation>,
    avoided: BTreeMap<Incarnation, Duration>,
}

impl Holders {
    pub(super) fn new(own: Member) -> Self {
        Self {
            own,
            preferred: Vec::new(),
            live: BTreeSet::new(),
            avoided: BTreeMap::new(),
        }
    }

    /// Replaces the live peers; the order is by rendezvous hash, so that origins spread over holders and keep them.
    pub(super) fn set(&mut self, peers: &[Member], now: Duration) {
        let own = self.own.incarnation.to_string();
        self.preferred = peers
            .iter()
            .filter(|it| it.incarnation != self.own.incarnation)
            .cloned()
            .collect();
        self.preferred
            .sort_by_cached_key(|it| std::cmp::Reverse(hash::rendezvous(&own, &it.incarnation.to_string())));
        self.live = self.preferred.iter().map(|it| it.incarnation).collect();
        self.avoided.retain(|_, until| *until > now);
    }

    pub(super) fn is_live(&self, peer: Incarnation) -> bool {
        self.live.contains(&peer)
    }

    pub(super) fn avoid(&mut self, peer: Incarnation, now: Duration) {
        self.avoided.insert(peer, now + AVOIDANCE);
    }

    /// A live peer for one copy while `other` has the second one.
    ///
    /// Peers outside the own failure domain come first, even if they failed lately: a copy inside is lost together
    /// with this node. Among these come peers that did not fail lately, then peers in a third domain.
    pub(super) fn choose(&self, other: Option<Incarnation>, now: Duration) -> Option<Incarnation> {
        let other_domain = other.and_then(|it| self.domain(it));
        let candidates = self.preferred.iter().filter(|it| Some(it.incarnation) != other);
        let best = candidates.min_by_key(|it| {
            let avoided = self
                .avoided
                .get(&it.incarnation)
                .is_some_and(|until| *until > now);
            (
                it.domain == self.own.domain,
                avoided,
                Some(&it.domain) == other_domain,
            )
        });
        best.map(|it| it.incarnation)
    }

    /// Whether a copy at the peer may stay there: the peer is live, and outside the own failure domain if two are.
    pub(super) fn is_suitable(&self, peer: Incarnation) -> bool {
        let outside = self
            .preferred
            .iter()
            .filter(|it| it.domain != self.own.domain)
            .count();
        self.is_live(peer) && (outside < 2 || !self.shares_domain(peer))
    }

    /// Whether the peer is in the own failure domain.
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
