//! Order in which members are probed.

use model::Incarnation;
use rand::Rng;
use rand::seq::SliceRandom;

/// Every member once per round, each round in another random order.
///
/// In contrast to independent random picks this bounds the time until a given member is probed.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    open: Vec<Incarnation>,
}

impl Ring {
    /// The next member that `accept` admits; `refill` gives the members of the next round.
    pub fn next(
        &mut self,
        rng: &mut impl Rng,
        accept: impl Fn(&Incarnation) -> bool,
        refill: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if let Some(found) = self.pop(&accept) {
            return Some(found);
        }
        self.open = refill();
        self.open.shuffle(rng);
        self.pop(&accept)
    }

    /// As [`Ring::next`], but the rounds keep the order of `refill`.
    pub fn next_in_order(
        &mut self,
        accept: impl Fn(&Incarnation) -> bool,
        refill: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if let Some(found) = self.pop(&accept) {
            return Some(found);
        }
        self.open = refill();
        self.pop(&accept)
    }

    /// Adds a member to the current round at a random place.
    pub fn insert(&mut self, rng: &mut impl Rng, member: Incarnation) {
        let place = rng.random_range(0..=self.open.len());
        self.open.insert(place, member);
    }

    fn pop(&mut self, accept: impl Fn(&Incarnation) -> bool) -> Option<Incarnation> {
        while let Some(member) = self.open.pop() {
            if accept(&member) {
                return Some(member);
            }
        }
        None
    }
}
