//! `GET /v1/entries`: addresses for callers, with the prefix of idempotency keys for each.

use std::sync::PoisonError;
use std::time::Instant;

use membership::entries::Entry;
use model::{Domain, Refusal};
use serde_json::{Value, json};

use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::shared::Shared;

/// Query parameter by which a caller names its failure domain.
const DOMAIN: &str = "failure_domain";

/// Lists the hosts that callers may use, those of the caller's failure domain first.
///
/// # Errors
/// `unauthorised`.
pub(crate) fn list(shared: &Shared, exchange: &Exchange) -> Result<Reply, Refusal> {
    let view = shared.config.view();
    crate::auth::tenant(&view, exchange)?;
    let caller = domain(exchange.url());
    let answer = shared.peers.table().entries(caller.as_ref(), &mut shared.rng());
    // The table learns of this node's own state with a delay.
    let ready = shared.is_ready();
    let named = |it: &&Entry| ready || it.incarnation != shared.incarnation;
    let entries: Vec<_> = answer.entries.iter().filter(named).collect();
    if entries.iter().any(|it| it.incarnation == shared.incarnation) {
        *shared
            .last_advertised_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
    let entries: Vec<_> = entries.into_iter().map(|it| item(shared, it)).collect();
    let body = json!({
        "entries": entries,
        "lifetime_seconds": answer.lifetime.as_secs(),
    });
    Ok(Reply::json(200, &body))
}

fn item(shared: &Shared, entry: &Entry) -> Value {
    json!({
        "address": entry.address.to_string(),
        "failure_domain": &*entry.domain,
        "weight": entry.weight,
        "key_prefix": prefix(shared, entry),
    })
}

/// Prefix of the entry's node, or of this one if the epoch of the other is not known yet; any node forwards a call
/// to the issuer of its key.
fn prefix(shared: &Shared, entry: &Entry) -> String {
    let now = shared.now();
    if entry.incarnation == shared.incarnation {
        return shared.idempotency.prefix(now);
    }
    match shared.peers.epoch(entry.incarnation, now) {
        Some(epoch) => format!("{}.{epoch}", entry.incarnation),
        None => shared.idempotency.prefix(now),
    }
}

fn domain(url: &str) -> Option<Domain> {
    let (_, query) = url.split_once('?')?;
    let value = query
        .split('&')
        .find_map(|it| it.strip_prefix(DOMAIN)?.strip_prefix('='))?;
    Some(value.into())
}
