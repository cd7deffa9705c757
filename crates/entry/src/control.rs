//! Readiness, entry addresses, and what operators may ask a node.

use std::net::SocketAddr;

use bytes::Bytes;
use forward::BootTime;
use forward::directory::Engine;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use model::Domain;
use serde_json::json;

use crate::answer::{Payload, whole};
use crate::shared::{Shared, lock};
use crate::{clock, follow, relay};

/// Members in the caller's failure domain from which no others are named. Bytes between domains are priced; with a
/// single member, a caller would have nowhere to go when it fails.
const MIN_NEAR: usize = 2;

const JSON: &str = "application/json";

/// Answers a question that is not a caller's request.
pub(crate) fn handle(shared: &Shared, head: &Parts) -> Response<Payload> {
    if shared.dialect.asks_readiness(head) {
        return readiness(shared);
    }
    if let Some(domain) = shared.dialect.asks_entries(head) {
        return entries(shared, &domain);
    }
    match head.uri.path() {
        "/metrics" => whole(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            shared.metrics.encode().into(),
        ),
        "/state" => whole(StatusCode::OK, JSON, state(shared).to_string().into()),
        _ => whole(
            StatusCode::NOT_FOUND,
            JSON,
            Bytes::from_static(b"{\"code\":\"no_such_path\"}"),
        ),
    }
}

fn readiness(shared: &Shared) -> Response<Payload> {
    let status = if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    whole(
        status,
        JSON,
        json!({ "ready": status.is_success() }).to_string().into(),
    )
}

fn entries(shared: &Shared, domain: &Domain) -> Response<Payload> {
    let addresses = entry_addresses(shared, domain);
    if addresses.is_empty() {
        return whole(
            StatusCode::SERVICE_UNAVAILABLE,
            JSON,
            Bytes::from_static(b"{\"code\":\"no_entry\"}"),
        );
    }
    let lifetime = shared.settings().bounds.entry_lifetime;
    whole(StatusCode::OK, JSON, shared.dialect.entries(&addresses, lifetime))
}

fn entry_addresses(shared: &Shared, domain: &Domain) -> Vec<SocketAddr> {
    let table = lock(&shared.members);
    let answer = table.entries(Some(domain), &mut rand::rng());
    let near = answer.entries.iter().filter(|it| it.domain == *domain);
    let near: Vec<_> = near.map(|it| it.address).collect();
    if near.len() >= MIN_NEAR {
        return near;
    }
    answer.entries.iter().map(|it| it.address).collect()
}

/// An engine as the node sees it; `requests` counts those that it is believed to work on or to hold in its queue.
fn engine(shared: &Shared, engine: &Engine, now: BootTime) -> serde_json::Value {
    let loads = lock(&shared.loads);
    let load = loads.get(engine);
    json!({
        "id": *engine.id,
        "service": *engine.service,
        "version": *engine.version,
        "draining": engine.draining,
        "requests": load.map_or(0.0, |it| it.estimated_requests(now)),
        "avoided": load.is_some_and(|it| it.is_avoided(now)),
    })
}

/// What the node believes, and how old that is.
fn state(shared: &Shared) -> serde_json::Value {
    let now = clock::now();
    let catalog = lock(&shared.catalog);
    let configuration = json!({
        "version": catalog.value().map(|it| it.version),
        "routes": catalog.value().map(|it| it.route_count()),
        "age_ms": catalog.age(now).map(|it| it.as_millis() as u64),
    });
    drop(catalog);
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
            json!({ "service": *order.service, "target": *order.target, "stage": stage, "halted": it.is_halted() })
        })
        .collect();
    json!({
        "ready": shared.is_ready(),
        "configuration": configuration,
        "readings": relay::state(shared, now),
        "engines": engines,
        "members": members,
        "releases": releases,
    })
}
