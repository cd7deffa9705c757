//! Selects the engine for an attempt by what the engines have stated, and gets a permit if it limits its requests.

use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::permit::{self as decision, Decision};
use forward::placement;
use forward::release::Arm;
use forward::statement::Access;
use forward::work::Work;
use model::Name;
use tokio::time::sleep;

use crate::engine_memory::{self, Need};
use crate::occupancy::{self, Place};
use crate::request::RequestContext;
use crate::shared::{Shared, lock};
use crate::{clock, permit};

mod criteria;

pub(crate) use criteria::Criteria;

/// Time that a request waits for a permit of the best engine rather than using another one.
const SHORT_WAIT: Duration = Duration::from_millis(20);

/// Engines that are asked for a permit before only those without a limit are considered. Each question costs a
/// round trip between nodes.
const MAX_QUESTIONS: usize = 3;

/// As [`MAX_QUESTIONS`], if all engines are cold: a request that is denied by these is refused.
const MAX_COLD_QUESTIONS: usize = 8;

/// Interval at which a request that waits for an engine looks at all engines again: another one may take it, or this
/// one may leave.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An engine that a request may be sent to.
#[derive(Debug)]
pub(crate) struct Selected {
    pub engine: Arc<Engine>,
    pub arm: Arm,
    /// What the request needs of its memory, if that is known.
    pub need: Option<Need>,
    /// The request's place, if the engine is brittle.
    pub place: Option<Place>,
    /// Until when the request's permit may be used, if it has one.
    pub permit_end: Option<BootTime>,
}

/// Result of a selection.
#[derive(Debug)]
pub(crate) enum Selection {
    /// The request may be sent to this engine.
    Engine(Selected),
    /// No engine takes the request in time.
    None,
}

/// Why no engine of a service takes a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// The first that may take one limits its requests; this node may ask for a permit after this time.
    Limited(Duration),
    /// The first that may take one is closed, and opens after this time.
    Closed(Duration),
    /// All leave.
    Leaving,
    /// All are in failure domains that operators have ordered to evacuate.
    Evacuated,
    /// None is usable.
    NoEngine,
}

/// An engine that a request was not sent to, and whether it takes the request.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub engine: Arc<Engine>,
    pub access: Access,
    /// Whether it is not warm.
    pub is_cold: bool,
}

impl Candidate {
    /// Whether the request may be sent to the engine now, after `questions` questions for permits. `has_open` says whether
    /// another engine takes it without one.
    pub(crate) fn is_usable(&self, questions: usize, has_open: bool) -> bool {
        match self.access {
            Access::Open => true,
            Access::Limited(wait) => {
                let max = match (self.is_cold, has_open) {
                    // After an outage many engines are cold at once, and seem to have nothing to do.
                    (true, true) => 1,
                    // All may be cold, and the preferred ones are asked by all nodes.
                    (true, false) => MAX_COLD_QUESTIONS,
                    (false, _) => MAX_QUESTIONS,
                };
                questions < max && wait.is_zero()
            }
            Access::Closed(_) | Access::Leaving | Access::Evacuated => false,
        }
    }
}

/// Selects an engine that was not tried. Waits only if no engine takes the request now.
pub(crate) async fn select(context: &RequestContext, work: Option<Work>) -> Selection {
    if let Some(work) = work.filter(|_| context.tried.is_empty()) {
        context.shared.record_work(&context.service, work);
    }
    let need = Need::of(context);
    let mut questions = 0;
    loop {
        let (candidates, arm) = candidates(context, &context.tried);
        let has_open = candidates.iter().any(|it| it.access == Access::Open);
        let is_usable = |it: &&Candidate| it.is_usable(questions, has_open);
        let usable: Vec<_> = candidates.iter().filter(is_usable).collect();
        let engine = match choose(context, need.as_ref(), &usable) {
            Some(Candidate {
                engine,
                access: Access::Open,
                ..
            }) => {
                return Selection::Engine(Selected {
                    engine: engine.clone(),
                    arm,
                    need,
                    place: None,
                    permit_end: None,
                });
            }
            Some(Candidate { engine, .. }) => {
                questions += 1;
                match ask(context, engine, SHORT_WAIT).await {
                    Some(granted) => usable_after(context, engine, granted).await,
                    None => None,
                }
            }
            None => match wait_for_engine(context, &candidates).await {
                Wait::Usable(selected) => Some(selected),
                Wait::Again => None,
                Wait::TooLong => return Selection::None,
            },
        };
        if let Some(selected) = engine {
            return Selection::Engine(Selected { need, ..selected });
        }
    }
}

/// Whether the next attempt is almost certain to be possible: an engine takes requests without a permit, or several that
/// warm up have not denied one. All engines of a new version warm up together.
pub(crate) fn has_open(context: &RequestContext, tried: &[Arc<Engine>]) -> bool {
    let (candidates, _) = candidates(context, tried);
    let is_ready = |it: &&Candidate| it.is_cold && it.access.wait().is_some_and(|it| it.is_zero());
    candidates.iter().any(|it| it.access == Access::Open)
        || candidates.iter().filter(is_ready).count() > MAX_QUESTIONS
}

/// Why no engine takes the request now, whether it was tried or not; `None` if one does.
pub(crate) fn shortage(context: &RequestContext) -> Option<Shortage> {
    let (candidates, _) = candidates(context, &[]);
    shortage_of(&context.shared, &context.service, &candidates)
}

/// Like [`shortage`], with the engines of a service that may be used.
pub(crate) fn shortage_of(shared: &Shared, service: &Name, candidates: &[Candidate]) -> Option<Shortage> {
    match first_to_open(candidates).map(|it| it.access) {
        Some(access) if access.wait().is_some_and(|it| it.is_zero()) => None,
        Some(Access::Limited(wait)) => Some(Shortage::Limited(wait)),
        Some(Access::Closed(wait)) => Some(Shortage::Closed(wait)),
        _ => {
            let listed = shared.listed_access(service, clock::now());
            Some(match listed.as_slice() {
                // Others replace those that leave.
                it if it.contains(&Access::Leaving) => Shortage::Leaving,
                [_, ..] if listed.iter().all(|it| *it == Access::Evacuated) => Shortage::Evacuated,
                _ => Shortage::NoEngine,
            })
        }
    }
}

/// The engines that may be used for a request, except `tried`, with what they have stated. Every use of an engine
/// begins here.
fn candidates(context: &RequestContext, tried: &[Arc<Engine>]) -> (Vec<Candidate>, Arm) {
    criteria(context, tried).candidates()
}

fn criteria<'a>(context: &'a RequestContext, tried: &'a [Arc<Engine>]) -> Criteria<'a> {
    Criteria {
        shared: &context.shared,
        service: &context.service,
        subject: context.subject(),
        affinity: context.affinity(),
        shared_tokens: context.metadata.shared_tokens,
        model: context.model.as_ref(),
        memory: None,
        tried,
    }
}

fn first_to_open(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates
        .iter()
        .min_by_key(|it| it.access.wait().unwrap_or(Duration::MAX))
}

/// How a wait for an engine ended.
#[derive(Debug)]
enum Wait {
    /// The engine takes the request.
    Usable(Selected),
    /// The engines have to be looked at again.
    Again,
    /// No engine takes the request in time.
    TooLong,
}

/// Waits for the first engine that opens, or for the next permit of an engine, if that is in time for the caller.
async fn wait_for_engine(context: &RequestContext, candidates: &[Candidate]) -> Wait {
    let opening = opening_in_time(context, candidates);
    for (questions, Candidate { engine, access, .. }) in limited_before(candidates, opening).enumerate() {
        let patience = permit_patience(context, engine);
        // A denial by one engine says nothing about the permits of the others.
        if questions > 0 && access.wait() > Some(patience) {
            break;
        }
        if let Some(granted) = ask(context, engine, patience).await {
            return match usable_after(context, engine, granted).await {
                Some(selected) => Wait::Usable(selected),
                None => Wait::Again,
            };
        }
    }
    let Some(wait) = opening else {
        return Wait::TooLong;
    };
    sleep(wait.min(RECHECK_INTERVAL)).await;
    Wait::Again
}

/// The engines with a limit that may be asked for a permit before the first closed engine opens, in the order in which they may
/// be asked.
fn limited_before(candidates: &[Candidate], opening: Option<Duration>) -> impl Iterator<Item = &Candidate> {
    let is_limited = |it: &&Candidate| matches!(it.access, Access::Limited(_));
    let is_before = |it: &&Candidate| opening.is_none() || it.access.wait() <= opening;
    let mut limited: Vec<_> = candidates.iter().filter(is_limited).filter(is_before).collect();
    limited.sort_by_key(|it| it.access.wait());
    limited.into_iter().take(MAX_QUESTIONS)
}

/// Time until the first closed engine opens, if that is in time for the caller.
fn opening_in_time(context: &RequestContext, candidates: &[Candidate]) -> Option<Duration> {
    let closed = candidates.iter().filter_map(|it| match it.access {
        Access::Closed(wait) => Some(wait),
        _ => None,
    });
    closed.min().filter(|it| *it <= patience(context))
}

/// Time that a request can wait and still be answered within its latency goal.
fn patience(context: &RequestContext) -> Duration {
    let (route, model, tokens) = (
        &context.route.name,
        context.model.as_ref(),
        context.prompt_tokens(),
    );
    let expected = lock(&context.shared.first_byte_times).expected(route, model, tokens);
    let waited = clock::now().saturating_sub(context.arrived);
    let in_time = context
        .route
        .latency_goal
        .saturating_sub(waited + expected.unwrap_or_default());
    in_time.min(context.remaining() / 2)
}

/// Time that a request can wait for a permit and still be answered in time. It waits for at least one permit, as
/// it may be the only one that asks.
fn permit_patience(context: &RequestContext, engine: &Engine) -> Duration {
    let waited = clock::now().saturating_sub(context.arrived);
    let rate = lock(&context.shared.statements).rate(engine, clock::now());
    let rate = rate.unwrap_or_default();
    let in_time = context.route.latency_goal.saturating_sub(waited);
    in_time.max(decision::interval(rate)).min(context.remaining() / 2)
}

/// Waits until a permit is valid; `None` as soon as the engine takes no more requests.
async fn usable_after(context: &RequestContext, engine: &Engine, granted: Granted) -> Option<Selected> {
    let Granted {
        wait,
        permit_end,
        place,
    } = granted;
    let valid_at = clock::now() + wait;
    let is_same_run = |it: &Candidate| it.engine.id == engine.id && it.engine.started_ms == engine.started_ms;
    loop {
        let (candidates, arm) = candidates(context, &context.tried);
        let candidate = candidates.into_iter().find(is_same_run)?;
        if !candidate.access.may_send() {
            return None;
        }
        let remaining = valid_at.saturating_sub(clock::now());
        if remaining.is_zero() {
            return Some(Selected {
                engine: candidate.engine,
                arm,
                need: None,
                place,
                permit_end,
            });
        }
        sleep(remaining.min(RECHECK_INTERVAL)).await;
    }
}

/// A permit for a request to an engine.
#[derive(Debug)]
struct Granted {
    /// Time until it is valid.
    wait: Duration,
    /// Until when it may be used.
    permit_end: Option<BootTime>,
    place: Option<Place>,
}

/// Asks for what the engine demands: a place, a permit, or both; `None` if it was denied.
async fn ask(context: &RequestContext, engine: &Engine, max_wait: Duration) -> Option<Granted> {
    let shared = &context.shared;
    let needs_place = lock(&shared.statements)
        .brittle
        .needs_place(&engine.service, clock::now());
    let mut place = None;
    if needs_place {
        match occupancy::acquire(shared, engine, context.remaining(), max_wait).await {
            Ok(it) => place = Some(it),
            Err(wait) => {
                log_denied(context, engine, wait, "place denied");
                return None;
            }
        }
    }
    let permit = permit::acquire(shared, engine, max_wait).await;
    match permit.decision {
        Decision::Granted(wait) => Some(Granted {
            wait,
            permit_end: permit.valid_until,
            place,
        }),
        Decision::Denied(wait) => {
            log_denied(context, engine, wait, "permit denied");
            None
        }
    }
}

fn log_denied(context: &RequestContext, engine: &Engine, wait: Duration, what: &str) {
    let wait_ms = wait.as_millis() as u64;
    log::info!(id = context.id, engine = *engine.id, wait_ms; "{what}");
}

fn choose<'a>(
    context: &RequestContext,
    need: Option<&Need>,
    usable: &[&'a Candidate],
) -> Option<&'a Candidate> {
    let engines: Vec<_> = usable.iter().map(|it| it.engine.clone()).collect();
    let criteria = Criteria {
        memory: need.map(Need::demand),
        ..criteria(context, &context.tried)
    };
    let choice = criteria.place(|request, loads| {
        placement::decide(&engines, loads, request, clock::now(), &mut rand::rng())
    })?;
    if let Some(need) = need {
        engine_memory::record_choice(context, need, &choice);
    }
    usable.iter().copied().find(|it| it.engine.id == choice.engine.id)
}
