//! Short numbers for incarnations, so that a batch in memory does not repeat 16 bytes per peer.

use std::collections::BTreeMap;

use model::Incarnation;

/// Number of an incarnation.
pub(super) type Peer = u32;

/// Incarnations by number. They are kept for the life of the process: 360 replaced hosts a day take 20 KB.
#[derive(Debug, Default)]
pub(super) struct Peers {
    incarnations: Vec<Incarnation>,
    numbers: BTreeMap<Incarnation, Peer>,
}

impl Peers {
    /// Number of an incarnation, new if it is not known yet.
    pub(super) fn number(&mut self, incarnation: Incarnation) -> Peer {
        // 2^32 incarnations do not occur.
        let next = Peer::try_from(self.incarnations.len()).unwrap_or(Peer::MAX);
        *self.numbers.entry(incarnation).or_insert_with(|| {
            self.incarnations.push(incarnation);
            next
        })
    }

    /// Incarnation with a number that [`Peers::number`] gave.
    pub(super) fn incarnation(&self, peer: Peer) -> Incarnation {
        self.incarnations[peer as usize]
    }
}
