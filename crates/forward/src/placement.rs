//! Which engine serves a request.
//!
//! Engines whose prefix cache probably holds the shared parts of the prompt are preferred: rendezvous hashing names
//! the same few engines for a part on every node, without messages. Load decides among them, and among all engines
//! when the preferred ones are busier than the rest by more than the cached tokens are worth.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use model::hash;
use model::{Domain, Name};
use rand::Rng;

use crate::Moment;
use crate::directory::Engine;
use crate::lane::Work;
use crate::load::Loads;

/// What is to be placed.
#[derive(Debug, Clone)]
pub struct Demand<'a> {
    /// Failure domain of this node.
    pub domain: &'a Domain,
    /// Key of the prompt's part that should be found in a cache; `None` if nothing can be shared.
    pub affinity: Option<u64>,
    /// Model that will run it, which has a cache of its own.
    pub model: Option<&'a Name>,
    /// Its size; `None` if sizes do not matter.
    pub size: Option<Size>,
    /// Requests of this node that an engine may have at the same time.
    pub max_in_flight: u32,
    /// Engines that were tried already.
    pub tried: &'a [Arc<Engine>],
}

/// Size of a request among others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Place among the engines of a domain, from 0 for the smallest.
    pub lane: f64,
    /// Mean work of a request.
    pub mean: Work,
}

/// Engines among which a part of a prompt is spread.
const AFFINE: usize = 2;

/// Fraction of an engine's slots that an engine outside of the node's failure domain must be less loaded by; bytes
/// between domains are priced, and each way adds about a millisecond.
const DOMAIN_COST: f64 = 0.15;

/// Fraction of the slots that an engine without the cached part must be less loaded by: reading the part again costs
/// about as much as a few percent of a batch.
const AFFINITY_GAIN: f64 = 0.08;

/// Fraction of the slots that an engine at the other end of the sizes must be less loaded by.
const LANE_COST: f64 = 0.4;

/// Fraction of the slots that each request of mean work counts for while the engine may be reading its prompt.
const PENDING_COST: f64 = 0.015;

/// Fraction of the slots that an engine all of whose answers fail must be less loaded by. One that fails at once always
/// looks idle, and would get most of the traffic.
const ERROR_COST: f64 = 1.0;

/// Fraction of the slots that an engine without a recent good answer must be less loaded by for a request that has
/// failed elsewhere.
const UNPROVEN_COST: f64 = 0.5;

/// Load that an avoided engine seems to have more, so that it is used only if all others are full.
const AVOIDED: f64 = 10.0;

/// Greatest random difference, which keeps nodes with equal views from choosing the same engine.
const JITTER: f64 = 0.01;

/// The engine for a request, or `None` if there is none that was not tried.
pub fn choose(
    engines: &[Arc<Engine>],
    loads: &Loads,
    demand: &Demand<'_>,
    now: Moment,
    rng: &mut impl Rng,
) -> Option<Arc<Engine>> {
    let affine = demand.affinity.map(|it| preferred(engines, demand, it));
    let lanes = demand
        .size
        .map(|it| lane_costs(engines, it.lane))
        .unwrap_or_default();
    let mean = demand.size.map_or(f64::INFINITY, |it| it.mean.max(1.0));
    let untried = engines
        .iter()
        .filter(|it| demand.tried.iter().all(|tried| tried.id != it.id));
    let scored = untried.map(|it| {
        let near = *it.domain == **demand.domain;
        let cached = affine.as_ref().is_some_and(|ids| ids.contains(&&*it.id));
        let lane = lanes.get(&*it.id).copied().unwrap_or_default();
        let pending = loads.get(it).map_or(0.0, |load| load.pending) / mean;
        let score = score(it, loads, demand, now)
            + lane
            + PENDING_COST * pending
            + if near { 0.0 } else { DOMAIN_COST }
            - if cached { AFFINITY_GAIN } else { 0.0 }
            + rng.random_range(0.0..JITTER);
        (score, it)
    });
    scored
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, it)| it.clone())
}

/// Share of the slots in use, weighted by how slow the engine is.
fn score(engine: &Engine, loads: &Loads, demand: &Demand<'_>, now: Moment) -> f64 {
    let unproven = if demand.tried.is_empty() {
        0.0
    } else {
        UNPROVEN_COST
    };
    let Some(load) = loads.get(engine) else {
        return unproven;
    };
    let unproven = if load.is_proven(now) { 0.0 } else { unproven };
    let used = (load.requests(now) + 1.0) / f64::from(engine.slots.max(1));
    let avoid = load.is_avoided(now) || load.in_flight >= demand.max_in_flight;
    let avoided = if avoid { AVOIDED } else { 0.0 };
    used * load.slowness() + avoided + unproven + ERROR_COST * load.errors(now)
}

fn preferred<'a>(engines: &'a [Arc<Engine>], demand: &Demand<'_>, part: u64) -> Vec<&'a str> {
    let model = demand.model.map_or("", |it| it);
    let key = format!("{part:x}/{model}");
    let near = engines.iter().filter(|it| *it.domain == **demand.domain);
    let near: Vec<_> = hash::highest(&key, near.map(|it| &*it.id), AFFINE);
    if near.is_empty() {
        return hash::highest(&key, engines.iter().map(|it| &*it.id), AFFINE);
    }
    near
}

/// What it costs to use each engine for a request at the place `lane` among all sizes.
fn lane_costs(engines: &[Arc<Engine>], lane: f64) -> HashMap<&str, f64> {
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(&engine.id);
    }
    let mut costs = HashMap::with_capacity(engines.len());
    for ids in domains.values_mut() {
        ids.sort_unstable();
        let half = 0.5 / ids.len() as f64;
        for (rank, id) in ids.iter().enumerate() {
            let middle = (2 * rank + 1) as f64 * half;
            let distance = ((lane - middle).abs() - half).max(0.0);
            costs.insert(*id, LANE_COST * distance);
        }
    }
    costs
}
