//! `GET /v1/entries`: addresses of entry nodes, each with its idempotency key prefix.

use std::sync::PoisonError;
use std::time::Instant;

use membership::entries::Entry;
use model::{Domain, Refusal};
use serde_json::{Value, json};

use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::shared::Shared;

/// Query parameter with the caller's failure domain.
const DOMAIN_PARAMETER: &str = "failure_domain";

/// Lists the entry nodes that the caller may use, those in its failure domain first.
///
/// # Errors
/// `unauthorised`.
pub(crate) fn list(shared: &Shared, exchange: &Exchange) -> Result<Reply, Refusal> {
    let view = shared.config.view();
    crate::auth::organisation(&view, exchange)?;
    let caller = caller_domain(exchange.url());
    let answer = shared.peers.table().entries(caller.as_ref(), &mut shared.rng());
    // The membership table reflects this node's own readiness with a delay.
    let ready = shared.is_ready();
    let is_usable = |it: &&Entry| ready || it.incarnation != shared.incarnation;
    let entries: Vec<_> = answer.entries.iter().filter(is_usable).collect();
    if entries.iter().any(|it| it.incarnation == shared.incarnation) {
        *shared
            .last_advertised_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
    let entries: Vec<_> = entries.into_iter().map(|it| entry_json(shared, it)).collect();
    let body = json!({
        "entries": entries,
        "lifetime_seconds": answer.lifetime.as_secs(),
    });
    Ok(Reply::json(200, &body))
}

fn entry_json(shared: &Shared, entry: &Entry) -> Value {
    json!({
        "address": entry.address.to_string(),
        "failure_domain": &*entry.domain,
        "weight": entry.weight,
        "key_prefix": key_prefix(shared, entry),
    })
}

/// Key prefix of the entry's node, or of this node if the epoch of the other one is not known yet. Either
/// works, because every node forwards a call to the issuer of its key.
fn key_prefix(shared: &Shared, entry: &Entry) -> String {
    let now = shared.now();
    if entry.incarnation == shared.incarnation {
        return shared.idempotency.prefix(now);
    }
    match shared.peers.epoch(entry.incarnation, now) {
        Some(epoch) => format!("{}.{epoch}", entry.incarnation),
        None => shared.idempotency.prefix(now),
    }
}

fn caller_domain(url: &str) -> Option<Domain> {
    let (_, query) = url.split_once('?')?;
    let value = query
        .split('&')
        .find_map(|it| it.strip_prefix(DOMAIN_PARAMETER)?.strip_prefix('='))?;
    Some(value.into())
}
