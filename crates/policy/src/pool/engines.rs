//! Engines of a pool's subset: health, limits and latency statistics.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::{Class, Domain, Upstream, hash};

use super::call::Call;
use super::event::{Host, HostState};
use super::settings::Settings;
use crate::affinity::{PrefixIndex, Slot};
use crate::estimate::{DecayingMinimum, Estimate};
use crate::fault::{Fault, is_injected};
use crate::limit::ConcurrencyLimit;
use crate::outlier::{self, Health, OutlierDetector};

/// Time for which a leaving notice takes precedence over a host list that lists the engine as live; the list
/// lags by seconds.
const LEAVING_PRECEDENCE: Duration = Duration::from_secs(60);

/// Minimum number of samples of the time to first token before an engine is compared with the others.
const MIN_DOMINANT_SAMPLES: u64 = 3;

mod choice;

#[derive(Debug)]
pub(super) struct Engine {
    pub name: Upstream,
    pub membership: Membership,
    pub limit: ConcurrencyLimit,
    pub outlier: OutlierDetector,
    domain: Domain,
    hash: u64,
    reserved: bool,
    /// Times to first token of this engine alone, by class.
    first_token: [Estimate; Class::ALL.len()],
}

/// Membership of an engine in the subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Membership {
    /// In the subset.
    Live,
    /// In the subset, and known since the given time to be about to stop.
    Leaving(Duration),
    /// Not in the subset. The slot is reused once no request is in flight.
    Outside,
}

/// Engines of a pool.
#[derive(Debug)]
pub(super) struct Engines {
    pub index: PrefixIndex,
    pub nodes_per_engine: f64,
    table: Vec<Engine>,
    by_name: HashMap<Upstream, Slot>,
    local: Vec<Slot>,
    remote: Vec<Slot>,
    /// Engines preferred by urgent requests, see [`Engines::reserve`].
    reserved: Vec<Slot>,
    outliers: Vec<Slot>,
    first_token: [Estimate; Class::ALL.len()],
    token_time: Estimate,
    best_first_token: [DecayingMinimum; Class::ALL.len()],
    best_token_time: DecayingMinimum,
    domain: Domain,
    concurrency: u32,
    prompt_weight: f64,
    block_tokens: f64,
}

impl Engines {
    pub fn new(settings: &Settings, domain: Domain) -> Self {
        Self {
            index: PrefixIndex::new(settings.max_blocks),
            nodes_per_engine: 1.0,
            table: Vec::new(),
            by_name: HashMap::new(),
            local: Vec::new(),
            remote: Vec::new(),
            reserved: Vec::new(),
            outliers: Vec::new(),
            first_token: Default::default(),
            token_time: Estimate::default(),
            best_first_token: Default::default(),
            best_token_time: DecayingMinimum::default(),
            domain,
            concurrency: settings.initial_concurrency,
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

    /// Slots of the engines that may receive requests.
    pub fn live(&self) -> impl Iterator<Item = Slot> + '_ {
        self.local.iter().chain(&self.remote).copied()
    }

    /// Whether any engine may receive requests.
    pub fn has_live(&self) -> bool {
        !(self.local.is_empty() && self.remote.is_empty())
    }

    /// Whether some engine that may receive requests has not had an attempt of the call.
    pub fn has_untried(&self, call: &Call) -> bool {
        self.live().any(|it| !call.attempted_on(it))
    }

    /// Sum of the concurrency limits of the healthy engines.
    pub fn total_limit(&self, now: Duration) -> f64 {
        self.live()
            .map(|it| &self.table[it])
            .filter(|it| it.outlier.health(now) == Health::Healthy)
            .map(|it| it.limit.get())
            .sum()
    }

    /// Reserves `share` of the healthy engines for urgent requests; other requests avoid them. Batches there
    /// stay small, so that tokens are generated fast even when the pool is highly loaded. All nodes choose
    /// the same engines.
    pub fn reserve(&mut self, share: f64, now: Duration) {
        for slot in self.reserved.drain(..) {
            self.table[slot].reserved = false;
        }
        let healthy = |it: &Slot| self.table[*it].outlier.health(now) == Health::Healthy;
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

    /// Replaces the engines of the subset.
    pub fn update_hosts(&mut self, hosts: &[&Host], nodes_per_engine: f64, now: Duration) {
        self.nodes_per_engine = nodes_per_engine;
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
                    if now.saturating_sub(since) < LEAVING_PRECEDENCE =>
                {
                    Membership::Leaving(since)
                }
                (HostState::Live, _) => Membership::Live,
            };
        }
        self.rebuild_lists();
    }

    /// Marks an engine that is about to stop and excludes it from dispatch.
    pub fn mark_leaving(&mut self, slot: Slot, now: Duration) {
        if self.table[slot].membership == Membership::Live && !is_injected(Fault::IgnoreLeaving) {
            self.table[slot].membership = Membership::Leaving(now);
            self.index.drop_engine(slot);
            self.rebuild_lists();
        }
    }

    /// Records a time to first token. Only urgent classes count: other requests queue at the engine behind
    /// urgent ones, so their times say nothing about its speed and caused healthy engines to be ejected under
    /// peak load.
    pub fn record_first_token(&mut self, slot: Slot, class: Class, latency: Duration, now: Duration) {
        self.table[slot].outlier.reset_failures();
        if is_urgent(class) {
            let seconds = latency.as_secs_f64();
            let pool = self.first_token[class.index()].add_and_compare(seconds);
            let slowdown = self.relative_to_others(slot, class, seconds).unwrap_or(pool);
            self.table[slot].first_token[class.index()].add(seconds);
            let inflation = self.best_first_token[class.index()].add_and_compare(seconds);
            self.record_relative_latency(slot, slowdown, inflation, now);
        }
    }

    /// Returns a time to first token relative to the median of the other engines if most of the pool's
    /// samples are from this engine. The pool's mean would then compare the engine with itself.
    fn relative_to_others(&self, slot: Slot, class: Class, seconds: f64) -> Option<f64> {
        if !self.has_most_samples(slot, class) {
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

    /// Whether more than half of the pool's samples of the time to first token are from this engine.
    fn has_most_samples(&self, slot: Slot, class: Class) -> bool {
        let own = self.table[slot].first_token[class.index()].samples();
        own >= MIN_DOMINANT_SAMPLES && own * 2 > self.first_token[class.index()].samples()
    }

    /// Records the time per token after the first.
    pub fn record_token_time(&mut self, slot: Slot, time: Duration, now: Duration) {
        let slowdown = self.token_time.add_and_compare(time.as_secs_f64());
        let inflation = self.best_token_time.add_and_compare(time.as_secs_f64());
        self.record_relative_latency(slot, slowdown, inflation, now);
    }

    fn record_relative_latency(&mut self, slot: Slot, slowdown: f64, inflation: f64, now: Duration) {
        let engine = &mut self.table[slot];
        engine.outlier.record_latency(slowdown, now);
        engine
            .limit
            .apply_latency(engine.outlier.slowdown(), inflation, now);
        self.eject_if_outlier(slot, now);
    }

    /// Records a failure, or a first attempt that lost to its hedge.
    pub fn record_failure(&mut self, slot: Slot, now: Duration) {
        self.table[slot].outlier.record_failure();
        self.eject_if_outlier(slot, now);
    }

    /// Ejects an engine if it is an outlier and the limit on ejected engines allows it.
    fn eject_if_outlier(&mut self, slot: Slot, now: Duration) {
        let table = &self.table;
        self.outliers.retain(|it| {
            table[*it].membership != Membership::Outside && table[*it].outlier.health(now) != Health::Healthy
        });
        if !self.table[slot].outlier.is_outlier(now) {
            return;
        }
        let listed = self.outliers.contains(&slot);
        if !listed && self.outliers.len() >= outlier::max_ejected(self.local.len() + self.remote.len()) {
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
            limit: ConcurrencyLimit::new(self.concurrency),
            outlier: OutlierDetector::new(),
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

    fn rebuild_lists(&mut self) {
        let live = |it: &Slot| self.table[*it].membership == Membership::Live;
        let (local, remote) = (0..self.table.len())
            .filter(live)
            .partition(|it| self.table[*it].domain == self.domain);
        self.local = local;
        self.remote = remote;
        let table = &self.table;
        self.outliers
            .retain(|it| table[*it].membership != Membership::Outside);
    }
}

/// Whether a class is urgent, so that a late answer has little value.
fn is_urgent(class: Class) -> bool {
    matches!(class, Class::Interactive | Class::Transaction)
}
