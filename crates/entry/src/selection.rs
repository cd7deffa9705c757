//! Selects the engine for an attempt, and gets a permit if that engine limits its requests.

use std::sync::Arc;
use std::time::Duration;

use forward::directory::Engine;
use forward::permit::{self as decision, Decision};
use forward::placement::{self, PlacementRequest};
use forward::release::Arm;
use forward::work::Work;
use tokio::time::sleep;

use crate::request::RequestContext;
use crate::shared::lock;
use crate::{clock, permit};

/// Time that a request waits for a permit of the best engine rather than using another one.
const SHORT_WAIT: Duration = Duration::from_millis(20);

/// Engines that are asked for a permit before only those without a limit are considered. Each question costs a
/// round trip between nodes.
const MAX_QUESTIONS: usize = 3;

/// Result of a selection.
#[derive(Debug)]
pub(crate) enum Selection {
    /// The request may be sent to this engine.
    Engine(Arc<Engine>, Arm),
    /// All engines left limit their requests; the next permit is free after this time.
    Limited(Duration),
    /// No engine is left.
    None,
}

/// Selects an engine that was not tried. Waits for a permit only if no engine takes the request without one.
pub(crate) async fn select(context: &RequestContext, work: Option<Work>) -> Selection {
    if let Some(work) = work.filter(|_| context.tried.is_empty()) {
        context.shared.record_work(&context.service, work);
    }
    let mut questions = 0;
    loop {
        let (engines, arm) = untried(context);
        let is_open = |it: &Arc<Engine>| match questions < MAX_QUESTIONS {
            true => denied_for(context, it).is_zero(),
            false => !is_limited(context, it),
        };
        let open: Vec<_> = engines.iter().filter(|it| is_open(it)).cloned().collect();
        let Some(engine) = choose(context, &open) else {
            return wait_for_permit(context, &engines).await;
        };
        if !is_limited(context, &engine) {
            return Selection::Engine(engine, arm);
        }
        if let Decision::Granted(wait) = ask(context, &engine, SHORT_WAIT).await {
            return send_after(context, engine, wait).await;
        }
        questions += 1;
    }
}

/// Whether an engine without a limit is left, so that the next attempt is certain to be possible.
pub(crate) fn has_unlimited(context: &RequestContext, tried: &[Arc<Engine>]) -> bool {
    let (engines, _) = context
        .shared
        .engines(&context.service, context.subject(), clock::now());
    let is_tried = |engine: &Arc<Engine>| tried.iter().any(|it| it.id == engine.id);
    engines.iter().any(|it| !is_tried(it) && !is_limited(context, it))
}

/// Waits for the next permit of any engine, if that is in time for the caller.
async fn wait_for_permit(context: &RequestContext, engines: &[Arc<Engine>]) -> Selection {
    let Some(engine) = engines.iter().min_by_key(|it| denied_for(context, it)) else {
        return Selection::None;
    };
    match ask(context, engine, patience(context, engine)).await {
        Decision::Granted(wait) => send_after(context, engine.clone(), wait).await,
        Decision::Denied(wait) => Selection::Limited(wait),
    }
}

/// Time that a request can wait for a permit and still be answered in time. It waits for at least one permit, as
/// it may be the only one that asks.
fn patience(context: &RequestContext, engine: &Engine) -> Duration {
    let waited = clock::now().saturating_sub(context.arrived);
    let rate = lock(&context.shared.request_limits)
        .rate(engine)
        .unwrap_or_default();
    let in_time = context.route.latency_goal.saturating_sub(waited);
    in_time.max(decision::interval(rate)).min(context.remaining() / 2)
}

/// Selects an engine whose permit is valid after a wait, unless the engine leaves meanwhile.
async fn send_after(context: &RequestContext, engine: Arc<Engine>, wait: Duration) -> Selection {
    if !wait.is_zero() {
        sleep(wait).await;
    }
    let (engines, arm) = untried(context);
    let is_same_run = |it: &Arc<Engine>| it.id == engine.id && it.started_ms == engine.started_ms;
    match engines.into_iter().find(is_same_run) {
        Some(engine) => Selection::Engine(engine, arm),
        None => Selection::Limited(wait),
    }
}

async fn ask(context: &RequestContext, engine: &Engine, max_wait: Duration) -> Decision {
    let decision = permit::acquire(&context.shared, engine, max_wait).await;
    if let Decision::Denied(wait) = decision {
        let wait_ms = wait.as_millis() as u64;
        log::info!(id = context.id, engine = *engine.id, wait_ms; "permit denied");
    }
    decision
}

fn untried(context: &RequestContext) -> (Vec<Arc<Engine>>, Arm) {
    let (mut engines, arm) = context
        .shared
        .engines(&context.service, context.subject(), clock::now());
    engines.retain(|it| context.tried.iter().all(|tried| tried.id != it.id));
    (engines, arm)
}

fn choose(context: &RequestContext, engines: &[Arc<Engine>]) -> Option<Arc<Engine>> {
    let request = PlacementRequest {
        domain: &context.shared.settings().node.failure_domain,
        affinity: context.affinity(),
        model: context.model.as_ref(),
        mean_work: context.shared.mean_work(&context.service),
        max_in_flight: max_in_flight(context),
        tried: &context.tried,
    };
    let loads = lock(&context.shared.loads);
    placement::choose(engines, &loads, &request, clock::now(), &mut rand::rng())
}

/// This node's share of the connections that an engine of the service accepts.
fn max_in_flight(context: &RequestContext) -> u32 {
    let configuration = lock(&context.shared.configuration).value().cloned();
    let service = configuration.as_ref().and_then(|it| it.service(&context.service));
    let nodes = u32::try_from(context.shared.host_counts().known).unwrap_or(u32::MAX);
    service.map_or(u32::MAX, |it| (it.max_connections / nodes).max(1))
}

fn is_limited(context: &RequestContext, engine: &Engine) -> bool {
    lock(&context.shared.request_limits).rate(engine).is_some()
}

fn denied_for(context: &RequestContext, engine: &Engine) -> Duration {
    lock(&context.shared.request_limits).denied_for(engine, clock::now())
}
