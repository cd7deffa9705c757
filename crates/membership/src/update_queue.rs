//! Queue of membership updates to piggyback on datagrams.

use std::collections::BTreeMap;

use model::Incarnation;

/// Members with updates to disseminate, with the number of datagrams that carried each update so far.
///
/// The record is read from the table when a datagram is composed, so an update is never older than the table.
#[derive(Debug, Clone, Default)]
pub struct UpdateQueue {
    transmissions: BTreeMap<Incarnation, (Priority, u32)>,
}

/// Order in which updates are sent.
///
/// When many members start at once, their introductions fill the datagrams for minutes; updates about deaths
/// must not wait for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// The state or readiness of a member changed, or the member refuted a suspicion.
    Change,
    /// A new member was added.
    Introduction,
}

impl Priority {
    /// Number of transmissions. A member that missed an introduction learns of it from a probe, so
    /// introductions need fewer of them.
    fn transmit_limit(self, limit: u32) -> u32 {
        match self {
            Self::Change => limit,
            Self::Introduction => limit.div_ceil(4),
        }
    }
}

impl UpdateQueue {
    /// Queues the record of a member, with its transmission count reset.
    pub fn push(&mut self, member: Incarnation, priority: Priority) {
        self.transmissions.insert(member, (priority, 0));
    }

    /// Returns up to `count` members, ordered by priority and then by fewest transmissions. A member is
    /// removed once its update was sent in `limit` datagrams, or in a quarter of these for an introduction.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<Incarnation> {
        let mut ranked: Vec<_> = self
            .transmissions
            .iter()
            .map(|(member, rank)| (*rank, *member))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        for ((priority, sent), member) in &ranked {
            if sent + 1 >= priority.transmit_limit(limit) {
                self.transmissions.remove(member);
            } else {
                self.transmissions.insert(*member, (*priority, sent + 1));
            }
        }
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}
