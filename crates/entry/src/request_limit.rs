//! Request limits that engines state in their responses.

use forward::request_limit::Change;

use crate::shared::Shared;

/// Logs and counts a change of an engine's limit; `source` is the id of the request whose response stated it.
pub(crate) fn log_change(shared: &Shared, engine: &str, change: Change, source: &str) {
    let Change { before, after } = change;
    let label = match (before, after) {
        (None, _) => "stated",
        (_, None) => "ended",
        _ => "changed",
    };
    shared
        .metrics
        .request_limit_changes
        .get_or_create(&[("change", label)])
        .inc();
    log::info!(engine, before, after, change = label, source; "request limit changed");
}
