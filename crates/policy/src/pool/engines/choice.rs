//! Selection of an engine for a call.

use std::time::Duration;

use model::object::service::Repeat;
use rand::Rng;

use super::{Call, Engines, Membership, is_urgent};
use crate::affinity::Slot;
use crate::fault::{Fault, is_injected};
use crate::outlier::Health;
use crate::subsetting;

/// Fraction of the time per token at a full batch that is proportional to the batch size.
const UTILISATION_SLOPE: f64 = 0.6;

/// Factor by which an engine of another failure domain must be cheaper to be preferred; accounts for the
/// longer network path.
const REMOTE_COST_FACTOR: f64 = 1.15;

/// Factor by which a reserved engine must be cheaper to be used for non-urgent requests. They use it when the
/// other engines are about 90% utilised.
const RESERVED_COST_FACTOR: f64 = 1.8;

/// Weight of a cached prompt token relative to the time that it saves the request itself. A request sent to
/// another engine also evicts other blocks there and slows the whole batch by its prefill. At a weight of 1
/// only 63% of the prompt tokens of conversations came from a cache; at 3 as many as with hashing by session
/// (86%).
const CACHED_TOKEN_VALUE: f64 = 3.0;

/// Fraction of a prompt that the preferred engine of a session is assumed to hold where the index gives no
/// answer. With 1% of the batches of cache events lost, the cached fraction of prompt tokens is 0.77 at a
/// value of 0.5 and 0.84 at 0.8.
const SESSION_CACHED_FRACTION: f64 = 0.8;

/// Number of random samples before all engines are scanned.
const RANDOM_SAMPLES: usize = 4;

impl Engines {
    /// Selects an engine for a call, or `None` if no engine can accept it.
    pub fn choose(&self, call: &Call, now: Duration, rng: &mut impl Rng) -> Option<Slot> {
        if let Some(slot) = self.engine_to_probe(call, now) {
            return Some(slot);
        }
        if let Some(slot) = self.engine_to_compare(call, now) {
            return Some(slot);
        }
        let local = self.best_of_two_random(&self.local, call, now, rng);
        let remote = self.best_of_two_random(&self.remote, call, now, rng);
        let cheapest = match (local, remote) {
            (Some(local), Some(remote)) if remote.0 * REMOTE_COST_FACTOR < local.0 => Some(remote),
            (local, remote) => local.or(remote),
        };
        let (held, holder) = self.cheapest_holder(call, now);
        // The session's engine is only an assumption, which a known prefix of at least half of the prompt
        // replaces.
        let session_engine = if held < 0.5 {
            self.session_engine(call, now)
        } else {
            None
        };
        let reserved = match is_urgent(call.request.class) {
            true => self.best_of_two_random(&self.reserved, call, now, rng),
            false => None,
        };
        let candidates = [holder, session_engine, cheapest, reserved].into_iter().flatten();
        candidates.min_by(|a, b| a.0.total_cmp(&b.0)).map(|it| it.1)
    }

    /// Returns an engine whose ejection has ended and that has no probing attempt yet. Only calls that may be
    /// repeated are used as probes.
    fn engine_to_probe(&self, call: &Call, now: Duration) -> Option<Slot> {
        if call.request.repeat == Repeat::NonIdempotent || !call.attempts.is_empty() {
            return None;
        }
        self.outliers.iter().copied().find(|slot| {
            let engine = &self.table[*slot];
            engine.membership == Membership::Live
                && engine.outlier.health(now) == Health::Probing
                && engine.limit.inflight() == 0
        })
    }

    /// Returns an engine without latency samples if most samples are from one engine, which then has no other
    /// to be compared with. This sends at most one call to each unmeasured engine of the subset, and only a
    /// call that may be repeated.
    fn engine_to_compare(&self, call: &Call, now: Duration) -> Option<Slot> {
        let class = call.request.class;
        let repeats = call.request.repeat == Repeat::Idempotent && call.attempts.is_empty();
        if !repeats || !is_urgent(class) || !self.live().any(|it| self.has_most_samples(it, class)) {
            return None;
        }
        self.live().find(|slot| {
            let engine = &self.table[*slot];
            let idle = engine.limit.inflight() == 0;
            idle && engine.first_token[class.index()].samples() == 0 && self.can_accept(*slot, call, now)
        })
    }

    /// Returns the fraction of the prompt's blocks that some engine holds, and the cheapest such engine with
    /// capacity.
    fn cheapest_holder(&self, call: &Call, now: Duration) -> (f64, Option<(f64, Slot)>) {
        let blocks = &call.request.blocks;
        if blocks.is_empty() {
            return (0.0, None);
        }
        let (held, holders) = self.index.longest_prefix(blocks);
        let cached = held as f64 * self.block_tokens;
        let cheapest = holders
            .filter(|it| self.can_accept(*it, call, now))
            .map(|it| (self.cost(it, call, cached), it))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        (held as f64 / blocks.len() as f64, cheapest)
    }

    /// Returns the engine that all nodes with the same subset prefer for a session. It leads requests back to
    /// the cached blocks after a gap in the events has removed an engine from the index.
    fn session_engine(&self, call: &Call, now: Duration) -> Option<(f64, Slot)> {
        let session = call.request.session?;
        let healthy = |it: &Slot| self.table[*it].outlier.health(now) == Health::Healthy;
        let weight = |it: &Slot| subsetting::splitmix64(self.table[*it].hash ^ session);
        let session_engine = self.live().filter(healthy).max_by_key(weight)?;
        let cached = f64::from(call.request.prompt) * SESSION_CACHED_FRACTION;
        self.can_accept(session_engine, call, now)
            .then(|| (self.cost(session_engine, call, cached), session_engine))
    }

    /// Returns the cheaper of two random engines that can accept the call (power of two choices).
    fn best_of_two_random(
        &self,
        slots: &[Slot],
        call: &Call,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(f64, Slot)> {
        let picked = self.sample_two(slots, call, now, rng);
        let (first, second) = picked.or_else(|| self.scan_for_two(slots, call, now, rng))?;
        let cost = |slot| (self.cost(slot, call, 0.0), slot);
        let (first, second) = (cost(first), cost(second));
        Some(if second.0 < first.0 { second } else { first })
    }

    /// Samples two different engines at random; often fails when few engines have capacity.
    fn sample_two(
        &self,
        slots: &[Slot],
        call: &Call,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(Slot, Slot)> {
        if slots.len() < 2 {
            return None;
        }
        let mut found = None;
        for _ in 0..RANDOM_SAMPLES {
            let slot = slots[rng.random_range(0..slots.len())];
            if found == Some(slot) || !self.can_accept(slot, call, now) {
                continue;
            }
            match found {
                Some(first) => return Some((first, slot)),
                None => found = Some(slot),
            }
        }
        None
    }

    /// Scans all engines for two random ones that can accept the call; returns the same one twice if it is
    /// the only one.
    fn scan_for_two(
        &self,
        slots: &[Slot],
        call: &Call,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(Slot, Slot)> {
        let mut pair = None;
        let fitting = slots.iter().copied().filter(|it| self.can_accept(*it, call, now));
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

    /// Whether an engine may receive a call and has capacity for it.
    pub fn can_accept(&self, slot: Slot, call: &Call, now: Duration) -> bool {
        let engine = &self.table[slot];
        let healthy = engine.outlier.health(now) == Health::Healthy || is_injected(Fault::UseEjected);
        engine.membership == Membership::Live
            && healthy
            && engine.limit.has_capacity()
            && !call.attempted_on(slot)
    }

    /// Expected duration of a call at an engine, in units of the time per generated token of an idle engine.
    fn cost(&self, slot: Slot, call: &Call, cached: f64) -> f64 {
        let engine = &self.table[slot];
        let utilisation = engine.limit.utilisation();
        let prompt = (f64::from(call.request.prompt) - CACHED_TOKEN_VALUE * cached) * self.prompt_weight;
        let work = prompt + f64::from(call.request.output) + 1.0;
        let wait = (utilisation - 1.0).max(0.0) * work;
        let avoided = engine.reserved && !is_urgent(call.request.class);
        let factor = if avoided { RESERVED_COST_FACTOR } else { 1.0 };
        (work * (1.0 - UTILISATION_SLOPE + UTILISATION_SLOPE * utilisation) + wait)
            * engine.outlier.slowdown().max(1.0)
            * factor
    }
}
