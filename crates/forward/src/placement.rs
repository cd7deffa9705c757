//! Which engine serves a request.
//!
//! The engine whose prefix cache probably holds the shared parts of the prompt is preferred: rendezvous hashing
//! selects the same one for a part on every node, without messages. Any other engine is chosen when the preferred
//! one is busier by more than the cached tokens save.
//!
//! For a service whose loads nodes share, see [`shared`].

use std::sync::Arc;

use model::hash;
use model::{Domain, Name};
use rand::Rng;

use crate::BootTime;
use crate::directory::Engine;
use crate::engine_memory::{Demand, Room};
use crate::load::{Load, Loads};
use crate::work::Work;

mod shared;

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Failure domain of this node.
    pub domain: &'a Domain,
    /// Hash of the prompt part that is looked for in prefix caches; `None` if no part is shared.
    pub affinity: Option<u64>,
    /// Prompt tokens up to the end of that part.
    pub shared_tokens: u64,
    /// Model that will run it; each model has its own cache.
    pub model: Option<&'a Name>,
    /// Mean work of a request; `None` if requests differ little.
    pub mean_work: Option<Work>,
    /// Maximum number of concurrent requests of this node at one engine.
    pub max_in_flight: u32,
    /// What it needs of the engines' memory; `None` if that is not known. Counts where nodes share loads.
    pub memory: Option<Demand<'a>>,
    /// Engines that were already tried.
    pub tried: &'a [Arc<Engine>],
}

// Costs are fractions of an engine's slots: an engine with a cost is chosen only if its load is lower by at
// least that.

/// Cost of an engine outside the node's failure domain: traffic between domains is billed, and each direction
/// adds about a millisecond.
const REMOTE_DOMAIN_COST: f64 = 0.05;

/// Cost reduction of the engine that has the prompt part cached. Reading the part again is billed and delays all
/// requests of the engine, by more than the traffic from another failure domain costs.
const CACHE_HIT_GAIN: f64 = 0.3;

/// Cost of each request of mean work while the engine may be reading its prompt. Prompts are read one after the
/// other, so a waiting one delays a new request more than one that is being answered.
const PENDING_REQUEST_COST: f64 = 0.03;

/// Requests being answered that a request waiting at an engine counts as. It is the ratio of [`PENDING_REQUEST_COST`] to the
/// share of one of 64 slots, plus the slot itself: prompts are read one after the other there, too.
const WAITING_WEIGHT: f64 = 3.0;

/// Cost of an engine whose responses all fail. An engine that fails immediately always looks idle, and would
/// otherwise get most of the traffic.
const ERROR_RATE_COST: f64 = 1.0;

/// Cost of an engine without a recent success, for a request that has failed on another engine.
const NO_RECENT_SUCCESS_COST: f64 = 0.5;

/// Cost of an avoided engine; high enough that it is used only if all others are full.
const AVOIDED_COST: f64 = 10.0;

/// Upper bound of a random cost, which keeps nodes with the same information from choosing the same engine.
const MAX_JITTER: f64 = 0.01;

/// What the choice of an engine costs a request; the engine with the lowest sum is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Fraction of the slots in use, weighted by the latency ratio. Waiting requests count more where nodes share loads.
    pub load: f64,
    /// Prompts of this node that the engine may still be reading.
    pub pending_work: f64,
    /// Traffic between failure domains.
    pub remote_domain: f64,
    /// Cached prompt part, which lowers the cost.
    pub cache_hit: f64,
    /// Recent failures, or too many requests of this node.
    pub avoided: f64,
    /// No recent success, for a request that has failed elsewhere.
    pub no_recent_success: f64,
    /// Share of responses that fail.
    pub errors: f64,
    /// Memory that requests hold, for a request that needs much of it or has no room.
    pub memory: f64,
}

impl Cost {
    /// The terms with their names.
    pub fn terms(&self) -> [(&'static str, f64); 8] {
        [
            ("load", self.load),
            ("pending_work", self.pending_work),
            ("remote_domain", self.remote_domain),
            ("cache_hit", self.cache_hit),
            ("avoided", self.avoided),
            ("no_recent_success", self.no_recent_success),
            ("errors", self.errors),
            ("memory", self.memory),
        ]
    }

    /// Sum of the terms.
    pub fn total(&self) -> f64 {
        self.terms().iter().map(|it| it.1).sum()
    }
}

/// The engine chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Engines that were left out because their memory has no room for the request.
    pub without_room: usize,
    /// Whether the engine has no room either.
    pub is_over: bool,
}

/// The engine for a request; `None` if all engines were already tried.
pub fn choose(
    engines: &[Arc<Engine>],
    loads: &Loads,
    request: &PlacementRequest<'_>,
    now: BootTime,
    rng: &mut impl Rng,
) -> Option<Arc<Engine>> {
    decide(engines, loads, request, now, rng).map(|it| it.engine)
}

/// Like [`choose`], with what the engines' memory has to do with it.
pub fn decide(
    engines: &[Arc<Engine>],
    loads: &Loads,
    request: &PlacementRequest<'_>,
    now: BootTime,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let mut without_room = 0;
    let mut is_over = false;
    let candidates = match is_shared(engines, loads, now) {
        true => {
            let untried: Vec<_> = untried(engines, request).collect();
            let room = room(engines, loads, request, now);
            let sample = shared::candidates(&untried, loads, request, room.as_ref(), now, rng);
            without_room = sample.without_room;
            is_over = sample.is_over;
            with_costs(sample.engines.into_iter(), None, room, loads, request, now).collect()
        }
        false => costs(engines, loads, request, now).collect::<Vec<_>>(),
    };
    let costs = candidates
        .into_iter()
        .map(|(it, cost)| (cost.total() + rng.random_range(0.0..MAX_JITTER), it));
    let (_, engine) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice {
        engine: engine.clone(),
        without_room,
        is_over,
    })
}

/// The engines that were not tried, with their costs for a request. Where nodes share loads, only a sample is compared.
pub fn costs<'a>(
    engines: &'a [Arc<Engine>],
    loads: &'a Loads,
    request: &'a PlacementRequest<'_>,
    now: BootTime,
) -> impl Iterator<Item = (&'a Arc<Engine>, Cost)> {
    let (preferred_id, room) = match is_shared(engines, loads, now) {
        true => (None, room(engines, loads, request, now)),
        false => (
            request.affinity.and_then(|it| preferred(engines, request, it)),
            None,
        ),
    };
    with_costs(untried(engines, request), preferred_id, room, loads, request, now)
}

fn with_costs<'a>(
    engines: impl Iterator<Item = &'a Arc<Engine>>,
    preferred_id: Option<&str>,
    room: Option<Room<'_>>,
    loads: &Loads,
    request: &PlacementRequest<'_>,
    now: BootTime,
) -> impl Iterator<Item = (&'a Arc<Engine>, Cost)> {
    let mean_work = request.mean_work.map_or(f64::INFINITY, |it| it.max(1.0));
    engines.map(move |it| {
        let is_local = *it.domain == **request.domain;
        let is_preferred = preferred_id == Some(&*it.id);
        let pending = loads.get(it).map_or(0.0, |load| load.pending_work) / mean_work;
        let cost = Cost {
            pending_work: PENDING_REQUEST_COST * pending,
            remote_domain: if is_local { 0.0 } else { REMOTE_DOMAIN_COST },
            cache_hit: if is_preferred { -CACHE_HIT_GAIN } else { 0.0 },
            memory: room.as_ref().map_or(0.0, |room| room.cost(loads.get(it))),
            ..load_cost(it, loads, request, now)
        };
        (it, cost)
    })
}

/// Room for the request at the engines of a service with shared loads; `None` if their memory is not known.
fn room<'a>(
    engines: &[Arc<Engine>],
    loads: &Loads,
    request: &PlacementRequest<'a>,
    now: BootTime,
) -> Option<Room<'a>> {
    let service = &engines.first()?.service;
    request.memory.map(|it| Room::new(loads, service, it, now))
}

/// Fraction of the slots in use, weighted by the latency ratio, and the costs of failures.
fn load_cost(engine: &Engine, loads: &Loads, request: &PlacementRequest<'_>, now: BootTime) -> Cost {
    let no_success_cost = if request.tried.is_empty() {
        0.0
    } else {
        NO_RECENT_SUCCESS_COST
    };
    let Some(load) = loads.get(engine) else {
        return Cost {
            no_recent_success: no_success_cost,
            ..Cost::default()
        };
    };
    let no_success_cost = if load.has_recent_success(now) {
        0.0
    } else {
        no_success_cost
    };
    let used = (weighted_requests(engine, load, now) + 1.0) / f64::from(engine.slots.max(1));
    let avoided = match is_avoided(engine, loads, request, now) {
        true => AVOIDED_COST,
        false => 0.0,
    };
    Cost {
        load: used * loads.latency_ratio(load) * load.work_factor(now),
        avoided,
        no_recent_success: no_success_cost,
        errors: ERROR_RATE_COST * load.error_rate(now),
        ..Cost::default()
    }
}

/// Estimated requests at an engine, those that wait weighted by [`WAITING_WEIGHT`].
fn weighted_requests(engine: &Engine, load: &Load, now: BootTime) -> f64 {
    load.estimated_requests(now) + (WAITING_WEIGHT - 1.0) * load.estimated_waiting(engine.slots, now)
}

/// Whether an engine failed recently, or has as many requests of this node as it may have.
fn is_avoided(engine: &Engine, loads: &Loads, request: &PlacementRequest<'_>, now: BootTime) -> bool {
    let load = loads.get(engine);
    load.is_some_and(|it| it.is_avoided(now) || it.in_flight >= request.max_in_flight)
}

/// Whether nodes share the loads of the service that the engines belong to.
fn is_shared(engines: &[Arc<Engine>], loads: &Loads, now: BootTime) -> bool {
    let first = engines.first();
    first.is_some_and(|it| loads.is_shared(&it.service, now))
}

/// The engines that were not tried.
fn untried<'a>(
    engines: &'a [Arc<Engine>],
    request: &PlacementRequest<'_>,
) -> impl Iterator<Item = &'a Arc<Engine>> {
    let is_tried = |it: &Engine| request.tried.iter().any(|tried| tried.id == it.id);
    engines.iter().filter(move |it| !is_tried(it))
}

/// The engine that serves requests with a prompt part on a model, on every node.
fn preferred<'a>(
    engines: &'a [Arc<Engine>],
    request: &PlacementRequest<'_>,
    prompt_part: u64,
) -> Option<&'a str> {
    let key = preference_key(request, prompt_part);
    let ids = engines.iter().map(|it| &*it.id);
    ids.max_by_key(|it| hash::rendezvous(&key, it))
}

/// Key by which engines are ranked for a prompt part on a model.
fn preference_key(request: &PlacementRequest<'_>, prompt_part: u64) -> String {
    let model = request.model.map_or("", |it| it);
    format!("{prompt_part:x}/{model}")
}
