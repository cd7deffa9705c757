//! Endpoints for operators and monitoring.

use std::sync::atomic::Ordering;

use model::Refusal;
use serde_json::json;

use crate::auth;
use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::phase::Phase;
use crate::shared::Shared;

/// `GET /metrics`.
pub(crate) fn metrics(shared: &Shared) -> Reply {
    let metrics = &shared.metrics;
    metrics
        .open_requests
        .set(gauge_value(shared.open_requests.load(Ordering::SeqCst)));
    metrics
        .billing_unsettled
        .set(gauge_value(shared.billing.unsettled()));
    let peers = &metrics.peers;
    let (batches, bytes) = shared.billing.held();
    peers.held_batches.set(gauge_value(batches));
    peers.held_bytes.set(gauge_value(bytes));
    let stats = shared.billing.stats();
    peers
        .same_domain_copies
        .set(i64::try_from(stats.same_domain).unwrap_or(i64::MAX));
    peers
        .billing_logged
        .set(i64::try_from(stats.logged).unwrap_or(i64::MAX));
    peers.keys.set(gauge_value(shared.idempotency.len()));
    let now = shared.now();
    peers.config_stale.set(i64::from(shared.config.is_stale(now)));
    let age = shared.config.age(shared.now());
    metrics
        .config_age
        .set(age.map_or(f64::INFINITY, |it| it.as_secs_f64()));
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Reply::new(200, content_type, metrics.render().into_bytes())
}

/// `GET /readyz`: whether this node is ready to serve callers.
pub(crate) fn ready(shared: &Shared) -> Reply {
    if !shared.is_ready() {
        return Reply::text(503, "not ready\n");
    }
    Reply::text(200, "ready\n")
}

/// `GET /admin/status`.
///
/// # Errors
/// `unauthorised`.
pub(crate) fn status(shared: &Shared, exchange: &Exchange) -> Result<Reply, Refusal> {
    auth::operator(shared, exchange)?;
    let age = shared.config.age(shared.now());
    let pools = shared.upstreams.available();
    let pools: serde_json::Map<_, _> = pools
        .into_iter()
        .map(|(name, count)| (name.to_string(), json!(count)))
        .collect();
    let body = json!({
        "host": &*shared.settings.node.host,
        "failure_domain": &*shared.settings.node.failure_domain,
        "incarnation": shared.incarnation.to_string(),
        "phase": shared.phase.get().as_str(),
        "uptime_seconds": shared.now().as_secs(),
        "config": {
            "revision": shared.config.revision(),
            "age_ms": age.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
        },
        "members": shared.peers.live(shared.now()).len() + 1,
        "open_requests": shared.open_requests.load(Ordering::SeqCst),
        "billing_unsettled": shared.billing.unsettled(),
        "available_upstreams": pools,
    });
    Ok(Reply::json(200, &body))
}

/// `POST /admin/drain`: starts a graceful shutdown, which the daemon completes.
///
/// # Errors
/// `unauthorised`.
pub(crate) fn drain(shared: &Shared, exchange: &Exchange) -> Result<Reply, Refusal> {
    auth::operator(shared, exchange)?;
    shared.phase.advance(Phase::Leaving);
    Ok(Reply::json(202, &json!({ "phase": shared.phase.get().as_str() })))
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
