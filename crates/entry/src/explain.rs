//! Explains where a request would be sent now, and why, without sending it and without changing any state.
//!
//! It calls the code that decides about requests. The choice of an engine is partly random, so it is made several times, and
//! the share of each engine is stated.

use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::configuration::{Configuration, Route, RouteKind};
use forward::directory::Engine;
use forward::engine_memory::{Demand, Footprint};
use forward::placement::{self, Cost};
use forward::release::{Arm, Subject};
use forward::statement::Access;
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use model::object::service::Repeat;
use model::{Name, Upstream};
use serde_json::{Map, Value, json};

use crate::response::{ResponseBody, full_response};
use crate::selection::{Candidate, Criteria, Shortage, shortage_of};
use crate::shared::{Shared, lock};
use crate::{authorisation, clock, engine_memory, follow, model_choice, occupancy, retry};

mod query;

use query::Query;

/// Path of the control interface.
const PATH: &str = "/explain";

/// Number of times that an engine is chosen, for the shares.
const DRAWS: u32 = 200;

/// Why a request cannot be explained.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum Error {
    #[error("the parameter {0:?} is missing")]
    Missing(&'static str),
    #[error("there is no parameter {0:?}")]
    UnknownParameter(String),
    #[error("the parameter {0:?} is repeated")]
    Repeated(String),
    #[error("the parameter {0:?} has to be {1}")]
    Malformed(&'static str, &'static str),
    #[error("this node has no configuration")]
    NotConfigured,
    #[error("no route has the host {0:?}")]
    UnknownHost(String),
    #[error("no route of the host {host:?} has the path {path:?}; their prefixes are {prefixes:?}")]
    NoRoute {
        host: String,
        path: String,
        prefixes: Vec<String>,
    },
    #[error(
        "the node chooses none of the models of the route {route:?} by the name {model:?}; it has {models:?}"
    )]
    UnknownModel {
        route: String,
        model: String,
        models: Vec<String>,
    },
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Self::Missing(_) | Self::UnknownParameter(_) | Self::Repeated(_) | Self::Malformed(..) => {
                StatusCode::BAD_REQUEST
            }
            Self::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownHost(_) | Self::NoRoute { .. } | Self::UnknownModel { .. } => StatusCode::NOT_FOUND,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::Missing(_) | Self::UnknownParameter(_) | Self::Repeated(_) | Self::Malformed(..) => {
                "malformed"
            }
            Self::NotConfigured => "not_configured",
            Self::UnknownHost(_) => "unknown_host",
            Self::NoRoute { .. } => "no_route",
            Self::UnknownModel { .. } => "unknown_model",
        }
    }
}

/// The response to a call for an explanation; `None` if the call is another one.
pub(crate) fn respond(shared: &Shared, head: &Parts) -> Option<Response<ResponseBody>> {
    if head.uri.path() != PATH || head.method != Method::GET {
        return None;
    }
    let query = Query::parse(head.uri.query().unwrap_or_default());
    let (status, body) = match query.and_then(|it| explain(shared, &it, clock::now())) {
        Ok(explanation) => (StatusCode::OK, explanation),
        Err(err) => {
            let body = json!({ "code": err.code(), "message": err.to_string() });
            (err.status(), body)
        }
    };
    Some(full_response(status, "application/json", body.to_string().into()))
}

fn explain(shared: &Shared, query: &Query, now: BootTime) -> Result<Value, Error> {
    let (configuration, age) = {
        let cached = lock(&shared.configuration);
        let configuration = cached.value().cloned().ok_or(Error::NotConfigured)?;
        (configuration, cached.age(now))
    };
    let route = find_route(&configuration, &query.head)?;
    let model = query
        .model
        .as_deref()
        .map(|it| find_model(route, it))
        .transpose()?;
    let services: Vec<_> = route
        .split
        .iter()
        .map(|(name, share)| service(shared, query, route, model, name, *share, now))
        .collect();
    Ok(json!({
        "node": *shared.settings().node.host,
        "configuration": {
            "version": configuration.version,
            "age_ms": age.map(millis),
            "accepts_keys": shared.is_current(now),
        },
        "route": {
            "name": *route.name,
            "path_prefix": route.path_prefix,
            "kind": kind(route.kind),
            "public": route.public || !configuration.needs_keys(),
            "attempts": route.max_attempts,
            "timeout_ms": millis(route.timeout),
            "goal_ms": millis(route.latency_goal),
        },
        "services": services,
    }))
}

fn find_route<'a>(configuration: &'a Configuration, head: &Parts) -> Result<&'a Arc<Route>, Error> {
    if let Some(route) = authorisation::find_route(configuration, head) {
        return Ok(route);
    }
    let host = authorisation::host(head).to_owned();
    let prefixes: Vec<_> = configuration.path_prefixes(&host).map(str::to_owned).collect();
    if prefixes.is_empty() {
        return Err(Error::UnknownHost(host));
    }
    let path = head.uri.path().to_owned();
    Err(Error::NoRoute { host, path, prefixes })
}

fn find_model<'a>(route: &'a Route, model: &str) -> Result<&'a Name, Error> {
    let found = route.models.iter().find(|it| ***it == *model);
    found.ok_or_else(|| Error::UnknownModel {
        route: route.name.to_string(),
        model: model.to_owned(),
        models: route.models.iter().map(ToString::to_string).collect(),
    })
}

fn kind(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Call(Repeat::Idempotent) => "idempotent call",
        RouteKind::Call(Repeat::NonIdempotent) => "call that runs at most once",
        RouteKind::Stream { resumable: true } => "resumable stream",
        RouteKind::Stream { resumable: false } => "stream that runs at most once",
    }
}

/// What a service of the route would do with the request.
fn service(
    shared: &Shared,
    query: &Query,
    route: &Route,
    model: Option<&Name>,
    name: &Name,
    share: u32,
    now: BootTime,
) -> Value {
    let (first, models) = model_choice::first_model(shared, route, name, query.tokens, now);
    let model = model.or_else(|| route.models.get(first));
    let models = route
        .models
        .iter()
        .zip(models)
        .map(|(name, it)| json!({ "model": **name, "price": it.price, "timely": it.timely }));
    let models: Vec<_> = models.collect();
    let (prompt, output) = query.tokens.unwrap_or_default();
    let expected = lock(&shared.first_byte_times).expected(&route.name, model, prompt);
    let footprint = Footprint::new(prompt, output, []);
    let engine_tokens = engine_memory::capacity(shared, name);
    let memory = engine_tokens.map(|capacity| Demand {
        footprint: &footprint,
        capacity,
    });
    let criteria = Criteria {
        shared,
        service: name,
        subject: Subject::Request(query.id.as_bytes()),
        affinity: query.part,
        // An upper bound: the query does not state which part of the prompt other requests share.
        shared_tokens: prompt,
        model,
        memory,
        tried: &[],
    };
    let (candidates, arm) = criteria.candidates();
    let lost_path = shared.paths.lost().into_iter().find(|it| it.0 == *name);
    json!({
        "service": **name,
        "share": share,
        "model": model.map(|it| &**it),
        "models": models,
        "expected_first_byte_ms": expected.map(millis),
        "release": release(shared, name, arm),
        "path": match lost_path {
            None => "direct",
            Some((_, true)) => "lost, through peers",
            Some((_, false)) => "lost",
        },
        "max_in_flight": criteria.max_in_flight(),
        "mean_work": shared.mean_work(name),
        "engine_tokens": engine_tokens,
        "too_large": engine_memory::is_too_large(shared, name, footprint.tokens(), now),
        "retries": retry::explain(shared, name, now),
        "shortage": shortage_of(shared, name, &candidates).map(shortage),
        "engines": engines(&criteria, &candidates, now),
    })
}

fn release(shared: &Shared, service: &Name, arm: Arm) -> Option<Value> {
    let releases = lock(&shared.releases);
    let release = releases.get(service)?;
    Some(json!({
        "target": *release.order().target,
        "stage": format!("{:?}", release.stage()),
        "halted": release.is_halted(),
        "arm": match arm {
            Arm::New => "new",
            Arm::Old => "old",
        },
    }))
}

fn shortage(shortage: Shortage) -> Value {
    let (reason, wait) = match shortage {
        Shortage::Limited(wait) => ("limited", Some(wait)),
        Shortage::Closed(wait) => ("closed", Some(wait)),
        Shortage::Leaving => ("leaving", None),
        Shortage::Evacuated => ("evacuated", None),
        Shortage::NoEngine => ("no engine", None),
    };
    json!({ "reason": reason, "wait_ms": wait.map(millis) })
}

/// All engines of the service, the cheapest candidates first.
fn engines(criteria: &Criteria<'_>, candidates: &[Candidate], now: BootTime) -> Vec<Value> {
    let Criteria { shared, service, .. } = *criteria;
    let has_open = candidates.iter().any(|it| it.access == Access::Open);
    let usable = candidates.iter().filter(|it| it.is_usable(0, has_open));
    let usable: Vec<_> = usable.map(|it| it.engine.clone()).collect();
    let all: Vec<_> = candidates.iter().map(|it| it.engine.clone()).collect();
    let (costs, chosen) = criteria.place(|request, loads| {
        let costs: Vec<(Upstream, Cost)> = placement::costs(&all, loads, request, now)
            .map(|(engine, cost)| (engine.id.clone(), cost))
            .collect();
        let rng = &mut rand::rng();
        let chosen: Vec<_> = (0..DRAWS)
            .filter_map(|_| placement::choose(&usable, loads, request, now, rng))
            .collect();
        (costs, chosen)
    });
    let mut listed = follow::engines::listed(shared);
    listed.retain(|it| it.service == *service);
    let cost = |engine: &Engine| costs.iter().find(|it| it.0 == engine.id).map(|it| it.1);
    let order = |engine: &Engine| cost(engine).map_or(f64::INFINITY, |it| it.total());
    listed.sort_by(|a, b| order(a).total_cmp(&order(b)));
    let values = listed.iter().map(|it| {
        let times = chosen.iter().filter(|chosen| chosen.id == it.id).count();
        let candidate = candidates.iter().find(|candidate| candidate.engine.id == it.id);
        let share = times as f64 / f64::from(DRAWS);
        engine(shared, it, candidate, cost(it), share, now)
    });
    values.collect()
}

fn engine(
    shared: &Shared,
    engine: &Engine,
    candidate: Option<&Candidate>,
    cost: Option<Cost>,
    chosen: f64,
    now: BootTime,
) -> Value {
    let access = candidate.map_or_else(|| shared.access(engine, now), |it| it.access);
    let is_available = {
        let directory = lock(&shared.directory);
        directory
            .available(&engine.service, now)
            .any(|it| it.id == engine.id)
    };
    let reason = match candidate {
        Some(_) => access_name(access),
        None if engine.draining => "draining",
        None if !is_available => "not listed",
        None if access == Access::Leaving => access_name(access),
        None => "other version",
    };
    let terms = cost.map(|it| {
        let terms = it
            .terms()
            .into_iter()
            .map(|(name, value)| (name.to_owned(), json!(value)));
        terms.collect::<Map<_, _>>()
    });
    let engine_tokens = engine_memory::capacity(shared, &engine.service);
    let (requests, in_flight, held_tokens) = {
        let loads = lock(&shared.loads);
        let load = loads.get(engine);
        let requests = load.map_or(0.0, |it| it.estimated_requests(now));
        let held_tokens = engine_memory::held(&loads, engine, engine_tokens, now);
        (requests, load.map_or(0, |it| it.in_flight), held_tokens)
    };
    json!({
        "id": *engine.id,
        "version": *engine.version,
        "domain": *engine.domain,
        "slots": engine.slots,
        "access": reason,
        "wait_ms": candidate.and_then(|it| it.access.wait()).filter(|it| !it.is_zero()).map(millis),
        "request_limit": lock(&shared.statements).limits.rate(engine),
        "places_taken": occupancy::taken(shared, &engine.id),
        "requests": requests,
        "in_flight": in_flight,
        "held_tokens": held_tokens,
        "chosen": chosen,
        "cost": cost.map(|it| it.total()),
        "terms": terms,
    })
}

fn access_name(access: Access) -> &'static str {
    match access {
        Access::Open => "open",
        Access::Limited(_) => "limited",
        Access::Closed(_) => "closed",
        Access::Leaving => "leaving",
        Access::Evacuated => "evacuated",
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
