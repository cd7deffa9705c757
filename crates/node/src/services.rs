//! `/v1/services/NAME/...`: calls to plain services.

use std::sync::Arc;
use std::time::Instant;

use config::view::Tenant;
use model::object::service::Repeat;
use model::refusal::Reason;
use model::{Class, Name, Refusal};
use platform::service::Call;

use crate::dispatch_call::{self, Plain};
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::http::{body, gate};
use crate::shared::Shared;

/// Path prefix of all services.
pub(crate) const PREFIX: &str = "/v1/services/";

/// An admitted call.
struct Admitted {
    tenant: Arc<Tenant>,
    pool: Name,
    repeat: Repeat,
    deadline: Instant,
    call: Call,
}

impl Admitted {
    fn plain(&self) -> Plain<'_> {
        Plain {
            pool: &self.pool,
            organisation: self.tenant.name(),
            weight: self.tenant.organisation.weight,
            repeat: self.repeat,
            deadline: self.deadline,
            call: &self.call,
        }
    }
}

/// Answers one call.
pub(crate) fn serve(shared: &Shared, mut exchange: Exchange) {
    let result = admit(shared, &mut exchange).and_then(|it| dispatch_call::run(shared, &it.plain()));
    match result {
        Ok(it) => exchange.respond(Reply::new(it.status, &it.content_type, it.body)),
        Err(refusal) => refuse(shared, exchange, &refusal),
    }
}

fn admit(shared: &Shared, exchange: &mut Exchange) -> Result<Admitted, Refusal> {
    let received = Instant::now();
    gate::open(shared)?;
    let view = shared.catalog.view();
    let tenant = crate::auth::tenant(&view, exchange)?;
    let rest = exchange.url().strip_prefix(PREFIX).unwrap_or_default().to_owned();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let found = view.service_call(&tenant, service, exchange.method(), path)?;
    if exchange.header("Idempotency-Key").is_some() && found.call.repeat == Repeat::NonIdempotent {
        // Keys are not issued yet, so no key has a known prefix.
        return Err(Refusal::not_run(Reason::KeyInvalid));
    }
    let deadline = received + gate::time_allowed(shared, exchange, Class::Transaction)?;
    let body = body::read(exchange, &shared.settings.http)?;
    let timeouts = &shared.settings.upstream;
    Ok(Admitted {
        tenant,
        pool: found.service.pool.clone(),
        repeat: found.call.repeat,
        deadline,
        call: Call {
            method: exchange.method().to_owned(),
            path: path.to_owned(),
            content_type: exchange.header("Content-Type").unwrap_or_default().to_owned(),
            body,
            idempotency_key: exchange.header("Idempotency-Key").map(ToOwned::to_owned),
            connect_timeout: timeouts.connect_timeout,
            timeout: timeouts.service_timeout,
        },
    })
}
