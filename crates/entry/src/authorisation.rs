//! Checks requests against the configuration in force.

use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::configuration::{Configuration, Organisation, Route};
use hyper::header::HOST;
use hyper::http::request::Parts;

use crate::protocol::RequestMetadata;
use crate::response::Refusal;
use crate::shared::{Shared, lock};

/// The route of a request, and the organisation that holds its key.
pub(crate) fn authorise(
    shared: &Shared,
    head: &Parts,
    metadata: &RequestMetadata,
    now: BootTime,
) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Refusal> {
    let bounds = &shared.settings().bounds;
    let (configuration, age) = {
        let cached = lock(&shared.configuration);
        let configuration = cached.value().cloned().ok_or(Refusal::NotConfigured)?;
        (configuration, cached.age(now).unwrap_or(Duration::MAX))
    };
    // A newer configuration may contain what is missing here, so a stale one must not give a permanent error.
    let permanent = |it| {
        if age < bounds.config {
            it
        } else {
            Refusal::NotConfigured
        }
    };
    let route = find_route(&configuration, head).ok_or_else(|| permanent(Refusal::NoRoute))?;
    if route.public || !configuration.needs_keys() {
        return Ok((route.clone(), None));
    }
    // The key may have been revoked since the last confirmation; the caller sent the request before `now`.
    if bounds.strict_revocation && age >= bounds.revocation {
        return Err(Refusal::StaleConfiguration);
    }
    let key = metadata.key.as_deref();
    let organisation = key.and_then(|it| configuration.organisation(it));
    let organisation = organisation.ok_or_else(|| permanent(Refusal::BadKey))?;
    Ok((route.clone(), Some(organisation.clone())))
}

/// The route of a request.
pub(crate) fn find_route<'a>(configuration: &'a Configuration, head: &Parts) -> Option<&'a Arc<Route>> {
    configuration.route(host(head), head.uri.path())
}

/// The host that a request names, without a port.
pub(crate) fn host(head: &Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}
