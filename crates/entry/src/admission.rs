//! Refuses requests that no engine can begin to answer before their deadline; see [`forward::admission`].

use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::admission::{Admission, Arrival, Change, Decision, Queue};
use forward::configuration::RouteKind;
use forward::directory::Engine;
use forward::statement::Access;
use forward::work::Work;
use model::Name;
use serde_json::json;
use tokio::time::sleep;

use crate::attempt;
use crate::clock;
use crate::in_flight::InFlight;
use crate::request::RequestContext;
use crate::response::Refusal;
use crate::shared::{Shared, lock};

/// Interval at which queues are looked at, as often as the means of the reports are computed. A decision about a request
/// then takes a time that does not depend on the number of engines.
const INTERVAL: Duration = Duration::from_millis(100);

/// Follows the queues of the engines of services with shared loads until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(INTERVAL).await;
        let now = clock::now();
        let services = lock(&shared.loads).shared_services(now);
        lock(&shared.admissions).retain(|name, _| services.iter().any(|it| it.0 == *name));
        for (service, mean_waiting) in services {
            let queues = match mean_waiting > 0.0 {
                true => queues(&shared, &service, now),
                false => Vec::new(),
            };
            let mut admissions = lock(&shared.admissions);
            let change = admissions
                .entry(service.clone())
                .or_default()
                .follow(&queues, now);
            drop(admissions);
            if let Some(change) = change {
                log_change(&service, change);
            }
        }
        let admissions = lock(&shared.admissions);
        let overloaded = admissions.values().filter(|it| it.is_overloaded()).count();
        shared.metrics.overloaded_services.set(overloaded as i64);
    }
}

/// The queues of the engines that may serve requests. Those that failed recently may not while there are others.
fn queues(shared: &Shared, service: &Name, now: BootTime) -> Vec<Queue> {
    let engines = shared.available(service, now);
    let accesses: Vec<_> = engines.iter().map(|it| shared.access(it, now)).collect();
    let loads = lock(&shared.loads);
    let queue = |(engine, access): (&Arc<Engine>, &Access)| match access {
        Access::Leaving | Access::Evacuated => None,
        _ if loads.get(engine).is_some_and(|it| it.is_avoided(now)) => None,
        Access::Limited(_) | Access::Closed(_) => Some(Queue::limited(engine)),
        Access::Open => Some(Queue::of(engine, &loads, now)),
    };
    engines.iter().zip(&accesses).filter_map(queue).collect()
}

fn log_change(service: &Name, change: Change) {
    let wait_ms = change.wait.as_millis() as u64;
    match change.is_overloaded {
        true => log::warn!(service = **service, wait_ms; "engines of a service are overloaded"),
        false => log::info!(service = **service, wait_ms; "engines of a service are no longer overloaded"),
    }
}

/// Decides about a request that was not sent; returns the refusal if it cannot be served in time.
pub(crate) fn admit(context: &RequestContext) -> Option<Refusal> {
    record_arrival(context);
    // An earlier run of a stream that the caller resumes has been sent.
    let refusal = match context.metadata.last_event_id {
        Some(_) => None,
        None => refusal(context),
    };
    if refusal.is_none() {
        record_sent(context);
    }
    refusal
}

fn refusal(context: &RequestContext) -> Option<Refusal> {
    let (shared, now) = (&context.shared, clock::now());
    let has_queue = |it: &Admission| it.has_queue(now);
    if !lock(&shared.admissions)
        .get(&context.service)
        .is_some_and(has_queue)
    {
        return None;
    }
    let arrival = Arrival {
        route: &context.route.name,
        // The node may use the smallest model if a larger one would be too late.
        model: context.model.as_ref().and(context.route.models.first()),
        tokens: context.prompt_tokens(),
        urgency: urgency(context),
        left: context.remaining(),
        sender: sender(context),
    };
    let decision = {
        let admissions = lock(&shared.admissions);
        let admission = admissions.get(&context.service)?;
        admission.decide(&arrival, now, &mut rand::rng())
    };
    let (result, refused) = match decision {
        Decision::Admitted => return None,
        Decision::Sampled => ("sampled", None),
        Decision::Refused(it) => ("refused", Some(it)),
    };
    shared
        .metrics
        .admissions
        .get_or_create(&[("result", result)])
        .inc();
    let organisation = arrival.sender.map_or("", |it| &**it.0);
    let left_ms = arrival.left.as_millis() as u64;
    let missing_ms = refused.map(|it| it.missing.as_millis() as u64);
    log::info!(
        id = context.id, service = *context.service, organisation, urgency = arrival.urgency, left_ms, missing_ms, result;
        "request exceeds what the engines can serve"
    );
    refused.map(|it| Refusal::Overloaded(it.retry_after))
}

fn sender(context: &RequestContext) -> Option<(&Name, u8)> {
    let organisation = context.organisation.as_ref()?;
    let priority = organisation.priority.unwrap_or(context.route.priority);
    Some((&organisation.name, priority))
}

/// Work of a request, the same for all where they do not state their size.
fn work(context: &RequestContext) -> Work {
    context.work().unwrap_or(1.0).max(1.0)
}

fn urgency(context: &RequestContext) -> Option<u8> {
    let is_stream = matches!(context.route.kind, RouteKind::Stream { .. });
    is_stream.then(|| attempt::urgency(context, context.work()))
}

fn record_arrival(context: &RequestContext) {
    let Some((organisation, priority)) = sender(context) else {
        return;
    };
    let shared = &context.shared;
    if !lock(&shared.admissions).contains_key(&context.service) {
        return;
    }
    let work = work(context);
    if let Some(admission) = lock(&shared.admissions).get_mut(&context.service) {
        admission.record_arrival(organisation, priority, work, clock::now());
    }
}

fn record_sent(context: &RequestContext) {
    let shared = &context.shared;
    if !lock(&shared.admissions).contains_key(&context.service) {
        return;
    }
    let urgency = urgency(context);
    if let Some(admission) = lock(&shared.admissions).get_mut(&context.service) {
        admission.record_sent(urgency, context.route.latency_goal);
    }
}

/// Records the time to the first byte of a request, unless requests waited at the engine or it is cold.
pub(crate) fn record_begin(context: &RequestContext, in_flight: &InFlight, time: Duration) {
    record_served(context);
    if in_flight.was_queued || context.shared.is_cold(&in_flight.engine, clock::now()) {
        return;
    }
    if let Some(admission) = lock(&context.shared.admissions).get_mut(&context.service) {
        let (route, model) = (&context.route.name, context.model.as_ref());
        admission.record_begin(route, model, context.prompt_tokens(), time);
    }
}

fn record_served(context: &RequestContext) {
    // A further attempt is not a further request.
    if context.organisation.is_none() || context.retry_state.runs() > 1 {
        return;
    }
    let work = work(context);
    if let Some(admission) = lock(&context.shared.admissions).get_mut(&context.service) {
        admission.record_served(work, clock::now());
    }
}

/// Records the time from the first byte of a response to the end of the request.
pub(crate) fn record_rest(shared: &Shared, service: &Name, time: Duration) {
    if let Some(admission) = lock(&shared.admissions).get_mut(service) {
        admission.record_rest(time);
    }
}

/// State of each service with shared loads.
pub(crate) fn state(shared: &Shared, now: BootTime) -> Vec<serde_json::Value> {
    let millis = |it: Duration| it.as_millis() as u64;
    let admissions = lock(&shared.admissions);
    let services = admissions.iter().map(|(service, it)| {
        json!({
            "service": **service,
            "overloaded": it.is_overloaded(),
            "wait_ms": it.median_wait(now).map(millis),
            "slot_time_ms": it.slot_time().map(millis),
        })
    });
    services.collect()
}
