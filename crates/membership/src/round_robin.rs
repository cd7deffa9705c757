//! Randomized round-robin selection of members.

use model::Incarnation;
use rand::Rng;
use rand::seq::SliceRandom;

/// Yields every member once per round, each round in a new random order.
///
/// Unlike independent random picks, this bounds the time until a given member is selected.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    remaining: Vec<Incarnation>,
}

impl RoundRobin {
    /// Returns the next member for which `accept` is true; `refill` returns the members of the next round.
    pub fn next(
        &mut self,
        rng: &mut impl Rng,
        accept: impl Fn(&Incarnation) -> bool,
        refill: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if let Some(found) = self.pop(&accept) {
            return Some(found);
        }
        self.remaining = refill();
        self.remaining.shuffle(rng);
        self.pop(&accept)
    }

    /// Like [`RoundRobin::next`], but rounds are not shuffled: members come in the reverse order of `refill`.
    pub fn next_in_order(
        &mut self,
        accept: impl Fn(&Incarnation) -> bool,
        refill: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if let Some(found) = self.pop(&accept) {
            return Some(found);
        }
        self.remaining = refill();
        self.pop(&accept)
    }

    /// Adds a member to the current round at a random position.
    pub fn insert(&mut self, rng: &mut impl Rng, member: Incarnation) {
        let position = rng.random_range(0..=self.remaining.len());
        self.remaining.insert(position, member);
    }

    fn pop(&mut self, accept: impl Fn(&Incarnation) -> bool) -> Option<Incarnation> {
        while let Some(member) = self.remaining.pop() {
            if accept(&member) {
                return Some(member);
            }
        }
        None
    }
}
