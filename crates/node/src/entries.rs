//! `GET /v1/entries`: addresses for callers, with the prefix of idempotency keys that each node issues.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use model::Refusal;
use serde_json::json;

use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::shared::Shared;

/// Length of an epoch.
const EPOCH: Duration = Duration::from_secs(60);

/// Lists the hosts that callers may use.
///
/// # Errors
/// `unauthorised`.
pub(crate) fn list(shared: &Shared, exchange: &Exchange) -> Result<Reply, Refusal> {
    let view = shared.catalog.view();
    crate::auth::tenant(&view, exchange)?;
    let mut entries = Vec::new();
    if shared.is_ready() {
        *shared.named_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        entries.push(json!({
            "address": shared.settings.node.entry.to_string(),
            "failure_domain": &*shared.settings.node.failure_domain,
            "key_prefix": format!("{}.{}", shared.incarnation, epoch(shared)),
        }));
    }
    let body = json!({
        "entries": entries,
        "lifetime_seconds": shared.settings.stop.entry_lifetime.as_secs(),
    });
    Ok(Reply::json(200, &body))
}

fn epoch(shared: &Shared) -> u64 {
    shared.now().as_secs() / EPOCH.as_secs()
}
