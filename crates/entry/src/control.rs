//! Readiness, entry addresses, and the state and metrics for operators.

use std::net::SocketAddr;

use bytes::Bytes;
use forward::BootTime;
use forward::directory::Engine;
use forward::statement::Access;
use forward::warm_up::Phase;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use membership::Entry;
use model::Domain;
use serde_json::json;

use crate::response::{ResponseBody, full_response};
use crate::shared::{HostCounts, Shared, lock};
use crate::{admission, clock, engine_memory, evacuation, follow, occupancy, quarantine, relay, retry};

/// Number of members in the caller's failure domain from which on only these are returned. Traffic between
/// domains is billed; with a single member, a caller would have no alternative when that one fails.
const MIN_LOCAL_MEMBERS: usize = 2;

/// Share of the nodes with spare capacity from which on callers are only sent to these.
const MIN_SPARE_SHARE: f64 = 0.5;

const JSON: &str = "application/json";

/// Serves a request that is not to be forwarded.
pub(crate) fn handle(shared: &Shared, head: &Parts) -> Response<ResponseBody> {
    if shared.protocol.is_readiness_probe(head) {
        return readiness(shared);
    }
    if let Some(domain) = shared.protocol.entries_domain(head) {
        return entries(shared, &domain);
    }
    match head.uri.path() {
        "/metrics" => full_response(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            shared.metrics.encode().into(),
        ),
        "/state" => full_response(StatusCode::OK, JSON, state(shared).to_string().into()),
        _ => full_response(
            StatusCode::NOT_FOUND,
            JSON,
            Bytes::from_static(b"{\"code\":\"no_such_path\"}"),
        ),
    }
}

fn readiness(shared: &Shared) -> Response<ResponseBody> {
    let status = if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    full_response(
        status,
        JSON,
        json!({ "ready": status.is_success() }).to_string().into(),
    )
}

fn entries(shared: &Shared, domain: &Domain) -> Response<ResponseBody> {
    let addresses = entry_addresses(shared, domain);
    if addresses.is_empty() {
        return full_response(
            StatusCode::SERVICE_UNAVAILABLE,
            JSON,
            Bytes::from_static(b"{\"code\":\"no_entry\"}"),
        );
    }
    let lifetime = shared.settings().bounds.entry_lifetime;
    full_response(
        StatusCode::OK,
        JSON,
        shared.protocol.entries_body(&addresses, lifetime),
    )
}

fn entry_addresses(shared: &Shared, domain: &Domain) -> Vec<SocketAddr> {
    let table = lock(&shared.members);
    let reply = table.entries(Some(domain), &mut rand::rng());
    let is_spare = |it: &&Entry| it.weight > Entry::MIN_WEIGHT;
    let spare = reply.entries.iter().filter(is_spare).count();
    // If most nodes have lost a path, the others could not serve all callers themselves as well.
    let takes_all = spare as f64 <= reply.entries.len() as f64 * MIN_SPARE_SHARE;
    let entries: Vec<_> = reply
        .entries
        .iter()
        .filter(|it| takes_all || is_spare(it))
        .collect();
    let local = entries.iter().filter(|it| it.domain == *domain);
    let local: Vec<_> = local.map(|it| it.address).collect();
    if local.len() >= MIN_LOCAL_MEMBERS {
        return local;
    }
    entries.iter().map(|it| it.address).collect()
}

/// State of an engine as known to this node; `requests` is the estimated number of requests that it processes
/// or has queued, `waiting` that of those in its queue (0 where nodes do not share loads), `report_age_ms` the age of the newest
/// report of any node, `held_tokens` the estimated tokens that requests hold in its memory of `engine_tokens`, and `closed_ms`
/// the time until it takes requests of this node again.
fn engine(shared: &Shared, engine: &Engine, now: BootTime) -> serde_json::Value {
    let engine_tokens = engine_memory::capacity(shared, &engine.service);
    let loads = lock(&shared.loads);
    let load = loads.get(engine);
    let access = shared.access(engine, now);
    let statements = lock(&shared.statements);
    let closed_for = match access {
        Access::Closed(wait) => Some(wait),
        _ => None,
    };
    json!({
        "id": *engine.id,
        "service": *engine.service,
        "domain": *engine.domain,
        "version": *engine.version,
        "draining": engine.draining,
        "requests": load.map_or(0.0, |it| it.estimated_requests(now)),
        "waiting": load.map_or(0.0, |it| it.estimated_waiting(engine.slots, now)),
        "latency_ratio": load.map_or(1.0, |it| loads.latency_ratio(it)),
        "work_factor": load.map_or(1.0, |it| it.work_factor(now)),
        "report_age_ms": load.and_then(|it| it.report_age(now)).map(|it| it.as_millis() as u64),
        "held_tokens": engine_memory::held(&loads, engine, engine_tokens, now),
        "engine_tokens": engine_tokens,
        "request_limit": statements.limits.rate(engine),
        "warm_up": statements.warm_ups.phase(engine, now).map(Phase::as_str),
        "cold_rate": statements.warm_ups.rate(engine, now),
        "pace": statements.warm_ups.pace(engine),
        "brittle": statements.brittle.tolerance(&engine.service, now),
        "places_taken": occupancy::taken(shared, &engine.id),
        "leaving": access == Access::Leaving,
        "evacuated": access == Access::Evacuated,
        "closed_ms": closed_for.map(|it| it.as_millis() as u64),
        "avoided": load.is_some_and(|it| it.is_avoided(now)),
    })
}

/// State of this node, with the age of its data.
fn state(shared: &Shared) -> serde_json::Value {
    let now = clock::now();
    let cached = lock(&shared.configuration);
    let configuration = json!({
        "version": cached.value().map(|it| it.version),
        "routes": cached.value().map(|it| it.route_count()),
        "age_ms": cached.age(now).map(|it| it.as_millis() as u64),
    });
    drop(cached);
    let engines: Vec<_> = follow::engines::listed(shared)
        .iter()
        .map(|it| engine(shared, it, now))
        .collect();
    let members: Vec<_> = lock(&shared.members)
        .live(now)
        .iter()
        .map(|it| json!({ "host": *it.host, "entry": it.addresses.entry, "available": it.is_available() }))
        .collect();
    let releases: Vec<_> = lock(&shared.releases)
        .values()
        .map(|it| {
            let order = it.order();
            let stage = format!("{:?}", it.stage());
            json!({
                "service": *order.service,
                "target": *order.target,
                "stage": stage,
                "halted": it.is_halted(),
            })
        })
        .collect();
    let held_back: Vec<_> = lock(&shared.quarantine)
        .holds(now)
        .iter()
        .map(|it| {
            json!({
                "signature": quarantine::describe(&it.signature),
                "age_ms": it.age.as_millis() as u64,
                "probes": it.probes,
            })
        })
        .collect();
    let paths: Vec<_> = shared
        .paths
        .lost()
        .iter()
        .map(|(service, through_peers)| json!({ "service": **service, "through_peers": through_peers }))
        .collect();
    let HostCounts { reachable, known } = shared.host_counts();
    json!({
        "ready": shared.is_ready(),
        "memory": {
            "all": shared.memory.used(),
            "requests": shared.request_memory.used(),
            "responses": shared.response_memory.used(),
            "connections": shared.client.open_connections(),
        },
        "hosts": { "reachable": reachable, "known": known },
        "configuration": configuration,
        "readings": relay::state(shared, now),
        "engines": engines,
        "members": members,
        "releases": releases,
        "evacuations": evacuation::state(shared, now),
        "held_back": held_back,
        "admission": admission::state(shared, now),
        "lost_paths": paths,
        "retry_budgets": retry::state(shared, now),
    })
}
