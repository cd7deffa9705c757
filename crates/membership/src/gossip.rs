//! News that this node still has to pass on.

use std::collections::BTreeMap;

use model::Incarnation;

/// Members that there is news about, with the number of datagrams that carried it so far.
///
/// The news itself is read from the table when a datagram is composed, so that it is never older than the table.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    sent: BTreeMap<Incarnation, (Urgency, u32)>,
}

/// Order in which news is passed on.
///
/// When many members start at once, their introductions fill the datagrams for minutes; deaths must not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A member changed its state or readiness, or refuted a suspicion.
    Change,
    /// A member became known.
    Introduction,
}

impl Urgency {
    /// A member that missed an introduction learns of it by a probe, so fewer repeats suffice.
    fn limit(self, repeats: u32) -> u32 {
        match self {
            Self::Change => repeats,
            Self::Introduction => repeats.div_ceil(4),
        }
    }
}

impl Queue {
    /// Starts to pass on the record of a member.
    pub fn push(&mut self, member: Incarnation, urgency: Urgency) {
        self.sent.insert(member, (urgency, 0));
    }

    /// The `count` most urgent and least repeated members; after `repeats` datagrams a member is dropped.
    pub fn take(&mut self, count: usize, repeats: u32) -> Vec<Incarnation> {
        let mut ranked: Vec<_> = self
            .sent
            .iter()
            .map(|(member, place)| (*place, *member))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        for ((urgency, sent), member) in &ranked {
            if sent + 1 >= urgency.limit(repeats) {
                self.sent.remove(member);
            } else {
                self.sent.insert(*member, (*urgency, sent + 1));
            }
        }
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}
