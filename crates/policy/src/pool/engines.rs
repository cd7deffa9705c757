//! Engines of a pool's subset and the choice among them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::object::service::Repeat;
use model::{Class, Domain, Upstream, hash};
use rand::Rng;

use super::call::Call;
use super::event::{Host, HostState};
use super::settings::Settings;
use crate::affinity::{Index, Slot};
use crate::balance;
use crate::eject::{self, Outlier, Standing};
use crate::estimate::Estimate;
use crate::fault::{Fault, fault};
use crate::limit::Limit;

/// Time for which a leaving sign outweighs a host list that still, or again, says live; the list lags by seconds.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// Part of the time per token that grows with the batch, relative to a full batch.
const FILL_SLOPE: f64 = 0.6;

/// Factor by which an engine of another failure domain must be cheaper to be preferred; covers the longer way.
const SPILL_FACTOR: f64 = 1.15;

/// Value of a cached prompt token relative to the time that it saves for the request itself. A request sent elsewhere
/// also displaces blocks of others and slows the whole batch by its prefill; at a value of 1 only 63% of the prompt
/// tokens of conversations came from a cache, at 3 as many as with session hash (86%).
const CACHED_VALUE: f64 = 3.0;

/// Part of a prompt that the home engine of a session is expected to hold when the index does not say. With one batch
/// of cache events in a hundred lost, the cached share is 0.77 at 0.5 and 0.84 at 0.8.
const HOME_CACHED: f64 = 0.8;

/// Random picks before all engines are searched.
const PICKS: usize = 4;

#[derive(Debug)]
pub(super) struct Engine {
    pub name: Upstream,
    pub membership: Membership,
    pub limit: Limit,
    pub outlier: Outlier,
    domain: Domain,
    hash: u64,
}

/// Relation of an engine to the subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Membership {
    /// In the subset.
    Live,
    /// In the subset and about to stop since the given time.
    Leaving(Duration),
    /// Out of the subset; the slot is reused when nothing is in flight.
    Outside,
}

/// Engines of a pool.
#[derive(Debug)]
pub(super) struct Engines {
    pub index: Index,
    pub sharers: f64,
    table: Vec<Engine>,
    by_name: HashMap<Upstream, Slot>,
    near: Vec<Slot>,
    far: Vec<Slot>,
    outliers: Vec<Slot>,
    first_token: [Estimate; Class::ALL.len()],
    domain: Domain,
    concurrency: u32,
    prompt_weight: f64,
    block_tokens: f64,
}

impl Engines {
    pub fn new(settings: &Settings, domain: Domain) -> Self {
        Self {
            index: Index::new(settings.blocks),
            sharers: 1.0,
            table: Vec::new(),
            by_name: HashMap::new(),
            near: Vec::new(),
            far: Vec::new(),
            outliers: Vec::new(),
            first_token: Default::default(),
            domain,
            concurrency: settings.concurrency,
            prompt_weight: settings.prompt_weight,
            block_tokens: f64::from(settings.block_tokens),
        }
    }

    pub fn get(&self, slot: Slot) -> &Engine {
        &self.table[slot]
    }

    pub fn get_mut(&mut self, slot: Slot) -> &mut Engine {
        &mut self.table[slot]
    }

    pub fn slot(&self, name: &Upstream) -> Option<Slot> {
        self.by_name.get(name).copied()
    }

    /// Slots of engines that may get work.
    pub fn live(&self) -> impl Iterator<Item = Slot> + '_ {
        self.near.iter().chain(&self.far).copied()
    }

    /// Whether any engine may get work.
    pub fn any_live(&self) -> bool {
        !(self.near.is_empty() && self.far.is_empty())
    }

    /// Whether an engine that may get work has not had an attempt of the call yet.
    pub fn any_untried(&self, call: &Call) -> bool {
        self.live().any(|it| !call.tried(it))
    }

    /// Sum of the limits of the engines that take work.
    pub fn places(&self, now: Duration) -> f64 {
        self.live()
            .map(|it| &self.table[it])
            .filter(|it| it.outlier.standing(now) == Standing::Healthy)
            .map(|it| it.limit.get())
            .sum()
    }

    /// Replaces the subset.
    pub fn replace(&mut self, hosts: &[&Host], sharers: f64, now: Duration) {
        self.sharers = sharers;
        let listed: HashSet<&Upstream> = hosts.iter().map(|it| &it.name).collect();
        for engine in &mut self.table {
            if !listed.contains(&engine.name) {
                engine.membership = Membership::Outside;
            }
        }
        for host in hosts {
            let slot = self.slot_for(host);
            let engine = &mut self.table[slot];
            engine.membership = match (host.state, engine.membership) {
                (HostState::Leaving, Membership::Leaving(since)) => Membership::Leaving(since),
                (HostState::Leaving, _) => Membership::Leaving(now),
                (HostState::Live, Membership::Leaving(since))
                    if now.saturating_sub(since) < LEAVING_MEMORY =>
                {
                    Membership::Leaving(since)
                }
                (HostState::Live, _) => Membership::Live,
            };
        }
        self.relist();
    }

    /// Marks an engine that is about to stop.
    pub fn leaving(&mut self, slot: Slot, now: Duration) {
        if self.table[slot].membership == Membership::Live {
            self.table[slot].membership = Membership::Leaving(now);
            self.index.drop_engine(slot);
            self.relist();
        }
    }

    /// Adds a time to first token.
    pub fn first_token(&mut self, slot: Slot, class: Class, latency: Duration, now: Duration) {
        let usual = &mut self.first_token[class.index()];
        let slowdown = match usual.mean() {
            0.0 => 1.0,
            mean => latency.as_secs_f64() / mean,
        };
        usual.add(latency.as_secs_f64().min(usual.mean().max(1e-4) * 10.0));
        let engine = &mut self.table[slot];
        engine.outlier.answered(slowdown, now);
        engine.limit.latency(engine.outlier.slowdown(), now);
        self.review(slot, now);
    }

    /// Counts a failure or a lost race.
    pub fn failed(&mut self, slot: Slot, now: Duration) {
        self.table[slot].outlier.failed();
        self.review(slot, now);
    }

    /// Chooses an engine for a call.
    pub fn choose(&self, call: &Call, now: Duration, rng: &mut impl Rng) -> Option<Slot> {
        if let Some(slot) = self.engine_to_test(call, now) {
            return Some(slot);
        }
        let near = self.better_of_two(&self.near, call, now, rng);
        let far = self.better_of_two(&self.far, call, now, rng);
        let cheapest = match (near, far) {
            (Some(near), Some(far)) if far.0 * SPILL_FACTOR < near.0 => Some(far),
            (near, far) => near.or(far),
        };
        let preferred = [self.cheapest_holder(call, now), self.home(call, now)];
        let candidates = preferred.into_iter().flatten().chain(cheapest);
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

    fn cheapest_holder(&self, call: &Call, now: Duration) -> Option<(f64, Slot)> {
        if call.request.blocks.is_empty() {
            return None;
        }
        let (held, holders) = self.index.longest(&call.request.blocks);
        let cached = held as f64 * self.block_tokens;
        holders
            .filter(|it| self.takes(*it, call, now))
            .map(|it| (self.cost(it, call, cached), it))
            .min_by(|a, b| a.0.total_cmp(&b.0))
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

    fn takes(&self, slot: Slot, call: &Call, now: Duration) -> bool {
        let engine = &self.table[slot];
        let healthy =
            engine.membership == Membership::Live && engine.outlier.standing(now) == Standing::Healthy;
        (healthy || fault(Fault::AnyEngine)) && engine.limit.has_room() && !call.tried(slot)
    }

    /// Expected time of a call at an engine, in generated tokens of an idle engine.
    fn cost(&self, slot: Slot, call: &Call, cached: f64) -> f64 {
        let engine = &self.table[slot];
        let fill = engine.limit.fill();
        let prompt = (f64::from(call.request.prompt) - CACHED_VALUE * cached) * self.prompt_weight;
        let work = prompt + f64::from(call.request.output) + 1.0;
        let wait = (fill - 1.0).max(0.0) * work;
        (work * (1.0 - FILL_SLOPE + FILL_SLOPE * fill) + wait) * engine.outlier.slowdown().max(1.0)
    }

    /// Ejects an engine if its history calls for it and the cap allows it.
    fn review(&mut self, slot: Slot, now: Duration) {
        let table = &self.table;
        self.outliers.retain(|it| {
            table[*it].membership != Membership::Outside
                && table[*it].outlier.standing(now) != Standing::Healthy
        });
        if !self.table[slot].outlier.is_outlier(now) {
            return;
        }
        let listed = self.outliers.contains(&slot);
        if !listed && self.outliers.len() >= eject::cap(self.near.len() + self.far.len()) {
            return;
        }
        self.table[slot].outlier.eject(now);
        self.index.drop_engine(slot);
        if !listed {
            self.outliers.push(slot);
        }
    }

    fn slot_for(&mut self, host: &Host) -> Slot {
        if let Some(slot) = self.slot(&host.name) {
            return slot;
        }
        let engine = Engine {
            name: host.name.clone(),
            domain: host.domain.clone(),
            hash: hash::stable(host.name.as_bytes()),
            membership: Membership::Live,
            limit: Limit::new(self.concurrency),
            outlier: Outlier::new(),
        };
        let free = self
            .table
            .iter()
            .position(|it| it.membership == Membership::Outside && it.limit.inflight() == 0);
        let slot = match free {
            Some(slot) => {
                self.by_name.remove(&self.table[slot].name);
                self.index.drop_engine(slot);
                self.table[slot] = engine;
                slot
            }
            None => {
                self.table.push(engine);
                self.table.len() - 1
            }
        };
        self.by_name.insert(host.name.clone(), slot);
        slot
    }

    fn relist(&mut self) {
        let live = |it: &Slot| self.table[*it].membership == Membership::Live;
        let (near, far) = (0..self.table.len())
            .filter(live)
            .partition(|it| self.table[*it].domain == self.domain);
        self.near = near;
        self.far = far;
        let table = &self.table;
        self.outliers
            .retain(|it| table[*it].membership != Membership::Outside);
    }
}
