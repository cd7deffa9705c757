//! `/v1/services/NAME/...`: calls to plain services.

use std::sync::Arc;
use std::time::Instant;

use config::view::OrganisationView;
use model::object::service::Repeat;
use model::{Class, Name, Refusal};
use ports::service::{Call, Reply as ServiceReply};

use crate::dispatch_call::{self, Plain};
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::http::{body, gate};
use crate::shared::Shared;

pub(crate) mod keyed;
pub(crate) mod proof;

/// Path prefix of all services.
pub(crate) const PREFIX: &str = "/v1/services/";

/// An admitted call.
struct Admitted {
    tenant: Arc<OrganisationView>,
    service: Name,
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
    let admitted = match admit(shared, &mut exchange) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(shared, exchange, &refusal),
    };
    if admitted.repeat == Repeat::NonIdempotent {
        return keyed::serve(shared, exchange, admitted);
    }
    match run(shared, &admitted) {
        Ok(it) => exchange.respond(Reply::new(it.status, &it.content_type, it.body)),
        Err(refusal) => refuse(shared, exchange, &refusal),
    }
}

fn admit(shared: &Shared, exchange: &mut Exchange) -> Result<Admitted, Refusal> {
    let received = Instant::now();
    if exchange.header(keyed::HEADER).is_none() {
        gate::open(shared)?;
    }
    let view = shared.config.view();
    let tenant = crate::auth::tenant(&view, exchange)?;
    let rest = exchange.url().strip_prefix(PREFIX).unwrap_or_default().to_owned();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let found = view.service_call(&tenant, service, exchange.method(), path)?;
    if found.call.repeat == Repeat::Idempotent {
        gate::open(shared)?;
    }
    let deadline = received + gate::time_allowed(shared, exchange, Class::Transaction)?;
    let body = body::read(exchange, &shared.settings.http)?;
    let timeouts = &shared.settings.upstream;
    Ok(Admitted {
        service: found.service.name.clone(),
        pool: found.service.pool.clone(),
        repeat: found.call.repeat,
        deadline,
        call: Call {
            method: exchange.method().to_owned(),
            path: path.to_owned(),
            content_type: exchange.header("Content-Type").unwrap_or_default().to_owned(),
            body,
            idempotency_key: exchange.header(keyed::HEADER).map(ToOwned::to_owned),
            connect_timeout: timeouts.connect_timeout,
            timeout: timeouts.service_timeout,
        },
        tenant,
    })
}

/// Sends the call as the policy decides.
fn run(shared: &Shared, admitted: &Admitted) -> Result<ServiceReply, Refusal> {
    dispatch_call::run(shared, &admitted.plain())
}
