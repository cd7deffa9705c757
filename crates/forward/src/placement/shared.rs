//! Candidates for a request to a service whose loads nodes share.
//!
//! All nodes decide by about the same information. The least loaded engine of all would get the requests of every node
//! until its next report, so a random sample of the engines is compared, and of those only that are not loaded much
//! beyond the mean. A prompt part has its engines in rendezvous order, and the first one that is not loaded beyond the
//! bound is preferred: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018).
//!
//! An engine whose memory has no room for the request is out of bounds as well (see [`crate::engine_memory`]).

use std::cmp::Reverse;
use std::sync::Arc;

use model::hash;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::BootTime;
use crate::directory::Engine;
use crate::engine_memory::Room;
use crate::load::{Load, Loads};

use super::{PlacementRequest, is_avoided, preference_key, weighted_requests};

/// Load up to which an engine is within the bound, relative to the mean of the service.
const BOUND: f64 = 1.25;

/// Shared prompt tokens from which on an engine in another failure domain that has them cached is preferred to one in the
/// node's own domain. Fewer tokens are read about as fast as a request crosses domains twice, and the traffic is billed.
const MIN_REMOTE_TOKENS: u64 = 1000;

/// Engines of a prompt part, in rendezvous order, that are considered. Each one reads the part once.
const PREFERRED_ENGINES: usize = 4;

/// Share of failures among an engine's responses from which on it is out of bounds.
const MAX_ERROR_RATE: f64 = 0.3;

/// Share of the usable engines that must be within the bound for the others to be left out. If fewer are, as after a restart
/// of some, all nodes would send them everything until their next reports.
const MIN_SHARE_IN_BOUND: f64 = 0.25;

/// Engines of the node's own failure domain, and of all, that are compared. Two avoid most of the imbalance of a random
/// choice (Mitzenmacher, 2001).
const SAMPLE_SIZE: usize = 2;

/// Engines that are drawn if too few have room in their memory; the one with the most free memory is used. The roomiest of
/// all would get the requests of every node.
const ROOMIEST_OF: usize = 8;

/// The engines that are compared.
#[derive(Debug, Default)]
pub(super) struct Sample<'a> {
    pub engines: Vec<&'a Arc<Engine>>,
    /// Engines that were left out because their memory has no room.
    pub without_room: usize,
    /// Whether the engine to be used has no room either.
    pub is_over: bool,
}

/// An engine that is not avoided.
#[derive(Debug, Clone, Copy)]
struct Usable<'a, 'b> {
    engine: &'a Arc<Engine>,
    load: Option<&'b Load>,
    /// Tokens that its memory has left with the request; 0 if that is not known.
    left: f64,
}

impl Usable<'_, '_> {
    fn has_room(&self) -> bool {
        self.left >= 0.0
    }
}

/// The engines of which the one of least cost serves the request; none if none is untried.
pub(super) fn candidates<'a>(
    untried: &[&'a Arc<Engine>],
    loads: &Loads,
    request: &PlacementRequest<'_>,
    room: Option<&Room<'_>>,
    now: BootTime,
    rng: &mut impl Rng,
) -> Sample<'a> {
    let usable = untried.iter().copied();
    let usable = usable.filter(|it| !is_avoided(it, loads, request, now));
    let usable = usable.map(|engine| {
        let load = loads.get(engine);
        let left = room.map_or(0.0, |it| it.left(load));
        Usable { engine, load, left }
    });
    let usable: Vec<_> = usable.collect();
    if usable.is_empty() {
        return Sample {
            engines: untried.to_vec(),
            ..Sample::default()
        };
    }
    let with_room = usable.iter().filter(|it| it.has_room()).count();
    let without_room = usable.len() - with_room;
    // The few that have room would get the long requests of all nodes until their next reports.
    if (with_room as f64) < MIN_SHARE_IN_BOUND * usable.len() as f64 {
        let roomiest = roomiest(&usable, rng);
        return Sample {
            engines: roomiest.iter().map(|it| it.engine).collect(),
            without_room,
            is_over: roomiest.is_some_and(|it| !it.has_room()),
        };
    }
    Sample {
        engines: sample(untried, &usable, loads, request, now, rng),
        without_room,
        is_over: false,
    }
}

/// The engine with the most free memory of some that are drawn.
fn roomiest<'a, 'b>(usable: &[Usable<'a, 'b>], rng: &mut impl Rng) -> Option<Usable<'a, 'b>> {
    let drawn = usable.iter().copied().choose_multiple(rng, ROOMIEST_OF);
    drawn.into_iter().max_by(|a, b| a.left.total_cmp(&b.left))
}

/// The engines to be compared of those that have room, of which there is at least one.
fn sample<'a>(
    untried: &[&'a Arc<Engine>],
    usable: &[Usable<'a, '_>],
    loads: &Loads,
    request: &PlacementRequest<'_>,
    now: BootTime,
    rng: &mut impl Rng,
) -> Vec<&'a Arc<Engine>> {
    let in_bound = in_bound(usable, loads, now);
    // A retry goes by the costs alone, which favour engines that have succeeded.
    if let Some(part) = request.affinity
        && request.tried.is_empty()
        && let Some(engine) = preferred(untried, &in_bound, request, part)
    {
        return vec![engine];
    }
    let with_room = usable.iter().filter(|it| it.has_room());
    let with_room: Vec<_> = with_room.map(|it| it.engine).collect();
    let is_enough = in_bound.len() as f64 >= MIN_SHARE_IN_BOUND * with_room.len() as f64;
    let compared = if is_enough { in_bound } else { with_room };
    let local = compared.iter().copied();
    let local = local.filter(|it| *it.domain == **request.domain);
    let mut sample = local.choose_multiple(rng, SAMPLE_SIZE);
    sample.extend(compared.iter().copied().choose_multiple(rng, SAMPLE_SIZE));
    sample
}

/// The engines with room that are not loaded much beyond the mean of all that may be used.
fn in_bound<'a>(usable: &[Usable<'a, '_>], loads: &Loads, now: BootTime) -> Vec<&'a Arc<Engine>> {
    let known = usable.iter().filter_map(|it| Some((it.engine, it.load?)));
    let (mut sum, mut count) = (0.0, 0.0);
    known.for_each(|(engine, load)| {
        sum += weighted_load(engine, load, loads, now);
        count += 1.0;
    });
    let mean = sum / f64::max(count, 1.0);
    // With little load, a bound below the next whole request would exclude every engine that has one.
    let bound = (BOUND * mean).max(mean + 1.0);
    let is_in_bound = |it: &&Usable<'a, '_>| match it.load {
        _ if !it.has_room() => false,
        Some(load) => {
            weighted_load(it.engine, load, loads, now) <= bound && load.error_rate(now) < MAX_ERROR_RATE
        }
        None => true,
    };
    usable.iter().filter(is_in_bound).map(|it| it.engine).collect()
}

/// Requests at an engine, weighted by the time that they take there.
fn weighted_load(engine: &Engine, load: &Load, loads: &Loads, now: BootTime) -> f64 {
    weighted_requests(engine, load, now) * loads.latency_ratio(load) * load.work_factor(now)
}

/// The first engine of a prompt part that is within the bound.
fn preferred<'a>(
    untried: &[&'a Arc<Engine>],
    in_bound: &[&'a Arc<Engine>],
    request: &PlacementRequest<'_>,
    prompt_part: u64,
) -> Option<&'a Arc<Engine>> {
    let key = preference_key(request, prompt_part);
    let may_cross = request.shared_tokens >= MIN_REMOTE_TOKENS;
    let near = untried
        .iter()
        .filter(|it| may_cross || *it.domain == **request.domain);
    let mut ranked: Vec<_> = near
        .map(|it| (Reverse(hash::rendezvous(&key, &it.id)), *it))
        .collect();
    ranked.sort_unstable_by_key(|it| it.0);
    let mut engines = ranked.into_iter().map(|it| it.1).take(PREFERRED_ENGINES);
    engines.find(|it| in_bound.iter().any(|other| Arc::ptr_eq(it, other)))
}
