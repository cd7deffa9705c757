//! Engines of a pool's subset and the choice among them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::{Class, Domain, Upstream, hash};

use super::call::Call;
use super::event::{Host, HostState};
use super::settings::Settings;
use crate::affinity::{Index, Slot};
use crate::eject::{self, Outlier, Standing};
use crate::estimate::{Best, Estimate};
use crate::fault::{Fault, fault};
use crate::limit::Limit;

/// Time for which a leaving sign outweighs a host list that still, or again, says live; the list lags by seconds.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// Times to first token of one engine before it is compared with others.
const MIN_DOMINANT: u64 = 3;

mod choice;

#[derive(Debug)]
pub(super) struct Engine {
    pub name: Upstream,
    pub membership: Membership,
    pub limit: Limit,
    pub outlier: Outlier,
    domain: Domain,
    hash: u64,
    reserved: bool,
    /// Its own part of the pool's times to first token.
    first_token: [Estimate; Class::ALL.len()],
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
    /// Engines that urgent requests use first, see [`Engines::reserve`].
    reserved: Vec<Slot>,
    outliers: Vec<Slot>,
    first_token: [Estimate; Class::ALL.len()],
    token: Estimate,
    best: [Best; Class::ALL.len()],
    best_token: Best,
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
            reserved: Vec::new(),
            outliers: Vec::new(),
            first_token: Default::default(),
            token: Estimate::default(),
            best: Default::default(),
            best_token: Best::default(),
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

    /// Chooses the engines that urgent requests use first and others avoid, `share` of the healthy ones. Batches there
    /// stay small, so that tokens come fast even when the pool is well loaded. All nodes choose the same engines.
    pub fn reserve(&mut self, share: f64, now: Duration) {
        for slot in self.reserved.drain(..) {
            self.table[slot].reserved = false;
        }
        let healthy = |it: &Slot| self.table[*it].outlier.standing(now) == Standing::Healthy;
        let mut ranked: Vec<(u64, Slot)> = self
            .live()
            .filter(healthy)
            .map(|it| (self.table[it].hash, it))
            .collect();
        ranked.sort_unstable();
        ranked.truncate((ranked.len() as f64 * share).round() as usize);
        for (_, slot) in ranked {
            self.table[slot].reserved = true;
            self.reserved.push(slot);
        }
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
        if self.table[slot].membership == Membership::Live && !fault(Fault::IgnoreLeaving) {
            self.table[slot].membership = Membership::Leaving(now);
            self.index.drop_engine(slot);
            self.relist();
        }
    }

    /// Adds a time to first token. Only urgent classes count: others wait at the engine behind them, which says nothing
    /// about its speed and ejected healthy engines in a rush.
    pub fn first_token(&mut self, slot: Slot, class: Class, latency: Duration, now: Duration) {
        self.table[slot].outlier.reached();
        if is_urgent(class) {
            let seconds = latency.as_secs_f64();
            let pool = self.first_token[class.index()].relative(seconds);
            let slowdown = self.relative_to_others(slot, class, seconds).unwrap_or(pool);
            self.table[slot].first_token[class.index()].add(seconds);
            let inflation = self.best[class.index()].relative(seconds);
            self.compare(slot, slowdown, inflation, now);
        }
    }

    /// A time to first token relative to the median of the other engines, if most of the pool's times are the
    /// engine's own; the pool's mean would then compare it with itself.
    fn relative_to_others(&self, slot: Slot, class: Class, seconds: f64) -> Option<f64> {
        if !self.dominates(slot, class) {
            return None;
        }
        let others = self.live().filter(|it| *it != slot);
        let estimates = others.map(|it| &self.table[it].first_token[class.index()]);
        let mut means: Vec<_> = estimates
            .filter(|it| it.samples() > 0)
            .map(Estimate::mean)
            .collect();
        means.sort_by(f64::total_cmp);
        let median = means.get(means.len() / 2)?;
        Some(seconds / median.max(f64::EPSILON))
    }

    /// Whether more than half of the pool's times to first token are the engine's own.
    fn dominates(&self, slot: Slot, class: Class) -> bool {
        let own = self.table[slot].first_token[class.index()].samples();
        own >= MIN_DOMINANT && own * 2 > self.first_token[class.index()].samples()
    }

    /// Adds the time for each token after the first.
    pub fn token_time(&mut self, slot: Slot, time: Duration, now: Duration) {
        let slowdown = self.token.relative(time.as_secs_f64());
        let inflation = self.best_token.relative(time.as_secs_f64());
        self.compare(slot, slowdown, inflation, now);
    }

    fn compare(&mut self, slot: Slot, slowdown: f64, inflation: f64, now: Duration) {
        let engine = &mut self.table[slot];
        engine.outlier.answered(slowdown, now);
        engine.limit.latency(engine.outlier.slowdown(), inflation, now);
        self.review(slot, now);
    }

    /// Counts a failure or a lost race.
    pub fn failed(&mut self, slot: Slot, now: Duration) {
        self.table[slot].outlier.failed();
        self.review(slot, now);
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
            reserved: false,
            membership: Membership::Live,
            limit: Limit::new(self.concurrency),
            outlier: Outlier::new(),
            first_token: Default::default(),
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

/// Whether a late answer is worth little.
fn is_urgent(class: Class) -> bool {
    matches!(class, Class::Interactive | Class::Transaction)
}
