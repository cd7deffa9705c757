//! Choice of an engine for a call.

use std::time::Duration;

use model::object::service::Repeat;
use rand::Rng;

use super::{Call, Engines, Membership, is_urgent};
use crate::affinity::Slot;
use crate::balance;
use crate::eject::Standing;
use crate::fault::{Fault, fault};

/// Part of the time per token that grows with the batch, relative to a full batch.
const FILL_SLOPE: f64 = 0.6;

/// Factor by which an engine of another failure domain must be cheaper to be preferred; covers the longer way.
const SPILL_FACTOR: f64 = 1.15;

/// Factor by which a reserved engine must be cheaper for other than urgent requests; they use it when the others are
/// about nine tenths full.
const RESERVED_FACTOR: f64 = 1.8;

/// Value of a cached prompt token relative to the time that it saves for the request itself. A request sent elsewhere
/// also displaces blocks of others and slows the whole batch by its prefill; at a value of 1 only 63% of the prompt
/// tokens of conversations came from a cache, at 3 as many as with session hash (86%).
const CACHED_VALUE: f64 = 3.0;

/// Part of a prompt that the home engine of a session is expected to hold when the index does not say. With one batch
/// of cache events in a hundred lost, the cached share is 0.77 at 0.5 and 0.84 at 0.8.
const HOME_CACHED: f64 = 0.8;

/// Random picks before all engines are searched.
const PICKS: usize = 4;

impl Engines {
    /// Chooses an engine for a call.
    pub fn choose(&self, call: &Call, now: Duration, rng: &mut impl Rng) -> Option<Slot> {
        if let Some(slot) = self.engine_to_test(call, now) {
            return Some(slot);
        }
        if let Some(slot) = self.engine_to_compare(call, now) {
            return Some(slot);
        }
        let near = self.better_of_two(&self.near, call, now, rng);
        let far = self.better_of_two(&self.far, call, now, rng);
        let cheapest = match (near, far) {
            (Some(near), Some(far)) if far.0 * SPILL_FACTOR < near.0 => Some(far),
            (near, far) => near.or(far),
        };
        let (held, holder) = self.cheapest_holder(call, now);
        // The home engine is a guess, which a long known prefix makes unnecessary.
        let home = if held < 0.5 { self.home(call, now) } else { None };
        let reserved = match is_urgent(call.request.class) {
            true => self.better_of_two(&self.reserved, call, now, rng),
            false => None,
        };
        let candidates = [holder, home, cheapest, reserved].into_iter().flatten();
        candidates.min_by(|a, b| a.0.total_cmp(&b.0)).map(|it| it.1)
    }

    /// An engine whose ejection is over and that has no attempt to test it yet. Only calls that may be repeated test.
    fn engine_to_test(&self, call: &Call, now: Duration) -> Option<Slot> {
        if call.request.repeat == Repeat::NonIdempotent || !call.tries.is_empty() {
            return None;
        }
        self.outliers.iter().copied().find(|slot| {
            let engine = &self.table[*slot];
            engine.membership == Membership::Live
                && engine.outlier.standing(now) == Standing::Testing
                && engine.limit.inflight() == 0
        })
    }

    /// An engine without a measured time, while one engine has most of the work and is compared with none. It costs
    /// each engine of the subset at most one call, which must be one that may be repeated.
    fn engine_to_compare(&self, call: &Call, now: Duration) -> Option<Slot> {
        let class = call.request.class;
        let repeats = call.request.repeat == Repeat::Idempotent && call.tries.is_empty();
        if !repeats || !is_urgent(class) || !self.live().any(|it| self.dominates(it, class)) {
            return None;
        }
        self.live().find(|slot| {
            let engine = &self.table[*slot];
            let idle = engine.limit.inflight() == 0;
            idle && engine.first_token[class.index()].samples() == 0 && self.takes(*slot, call, now)
        })
    }

    /// Part of the prompt's blocks that some engine holds, and the cheapest such engine with room.
    fn cheapest_holder(&self, call: &Call, now: Duration) -> (f64, Option<(f64, Slot)>) {
        let blocks = &call.request.blocks;
        if blocks.is_empty() {
            return (0.0, None);
        }
        let (held, holders) = self.index.longest(blocks);
        let cached = held as f64 * self.block_tokens;
        let cheapest = holders
            .filter(|it| self.takes(*it, call, now))
            .map(|it| (self.cost(it, call, cached), it))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        (held as f64 / blocks.len() as f64, cheapest)
    }

    /// Engine that all nodes with the same subset prefer for a session. It finds the cache again after a gap in the
    /// events has dropped an engine from the index.
    fn home(&self, call: &Call, now: Duration) -> Option<(f64, Slot)> {
        let session = call.request.session?;
        let healthy = |it: &Slot| self.table[*it].outlier.standing(now) == Standing::Healthy;
        let weight = |it: &Slot| balance::mix(self.table[*it].hash ^ session);
        let home = self.live().filter(healthy).max_by_key(weight)?;
        let cached = f64::from(call.request.prompt) * HOME_CACHED;
        self.takes(home, call, now)
            .then(|| (self.cost(home, call, cached), home))
    }

    /// The cheaper of two random engines that take the call.
    fn better_of_two(
        &self,
        slots: &[Slot],
        call: &Call,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(f64, Slot)> {
        let picked = self.pick(slots, call, now, rng);
        let (first, second) = picked.or_else(|| self.search(slots, call, now, rng))?;
        let cost = |slot| (self.cost(slot, call, 0.0), slot);
        let (first, second) = (cost(first), cost(second));
        Some(if second.0 < first.0 { second } else { first })
    }

    /// Two different engines by a few random picks; fails often when few engines have room.
    fn pick(&self, slots: &[Slot], call: &Call, now: Duration, rng: &mut impl Rng) -> Option<(Slot, Slot)> {
        if slots.len() < 2 {
            return None;
        }
        let mut found = None;
        for _ in 0..PICKS {
            let slot = slots[rng.random_range(0..slots.len())];
            if found == Some(slot) || !self.takes(slot, call, now) {
                continue;
            }
            match found {
                Some(first) => return Some((first, slot)),
                None => found = Some(slot),
            }
        }
        None
    }

    /// Two random ones of all engines that take the call; twice the same if there is only one.
    fn search(&self, slots: &[Slot], call: &Call, now: Duration, rng: &mut impl Rng) -> Option<(Slot, Slot)> {
        let mut pair = None;
        let fitting = slots.iter().copied().filter(|it| self.takes(*it, call, now));
        for (seen, slot) in fitting.enumerate() {
            pair = Some(match pair {
                None => (slot, slot),
                Some((first, _)) if seen == 1 => (first, slot),
                Some((first, second)) => match rng.random_range(0..=seen) {
                    0 => (slot, second),
                    1 => (first, slot),
                    _ => (first, second),
                },
            });
        }
        pair
    }

    /// Whether an engine may get a call and has room for it.
    pub fn takes(&self, slot: Slot, call: &Call, now: Duration) -> bool {
        let engine = &self.table[slot];
        let healthy = engine.outlier.standing(now) == Standing::Healthy || fault(Fault::UseEjected);
        engine.membership == Membership::Live && healthy && engine.limit.has_room() && !call.tried(slot)
    }

    /// Expected time of a call at an engine, in generated tokens of an idle engine.
    fn cost(&self, slot: Slot, call: &Call, cached: f64) -> f64 {
        let engine = &self.table[slot];
        let fill = engine.limit.fill();
        let prompt = (f64::from(call.request.prompt) - CACHED_VALUE * cached) * self.prompt_weight;
        let work = prompt + f64::from(call.request.output) + 1.0;
        let wait = (fill - 1.0).max(0.0) * work;
        let avoided = engine.reserved && !is_urgent(call.request.class);
        let factor = if avoided { RESERVED_FACTOR } else { 1.0 };
        (work * (1.0 - FILL_SLOPE + FILL_SLOPE * fill) + wait) * engine.outlier.slowdown().max(1.0) * factor
    }
}
