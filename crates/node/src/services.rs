//! `/v1/services/NAME/...`: calls to plain services.

use std::sync::Arc;
use std::time::Instant;

use config::view::OrganisationView;
use model::object::service::Repeat;
use model::{Class, Name, Refusal};
use ports::service::{Call, Reply as ServiceReply};

use crate::dispatch_call::{self, ServiceCall};
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::http::{admission, request_body};
use crate::shared::Shared;

pub(crate) mod keyed;
pub(crate) mod refusal;

/// Path prefix of service calls.
pub(crate) const PREFIX: &str = "/v1/services/";

/// An admitted call.
struct Admitted {
    organisation: Arc<OrganisationView>,
    service: Name,
    pool: Name,
    repeat: Repeat,
    deadline: Instant,
    call: Call,
}

impl Admitted {
    fn service_call(&self) -> ServiceCall<'_> {
        ServiceCall {
            pool: &self.pool,
            organisation: self.organisation.name(),
            weight: self.organisation.organisation.weight,
            repeat: self.repeat,
            deadline: self.deadline,
            call: &self.call,
        }
    }
}

/// Handles a service call.
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
    if exchange.header(keyed::KEY_HEADER).is_none() {
        admission::check_serving(shared)?;
    }
    let view = shared.config.view();
    let organisation = crate::auth::organisation(&view, exchange)?;
    let rest = exchange.url().strip_prefix(PREFIX).unwrap_or_default().to_owned();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let found = view.service_call(&organisation, service, exchange.method(), path)?;
    if found.call.repeat == Repeat::Idempotent {
        admission::check_serving(shared)?;
    }
    let deadline = received + admission::request_timeout(shared, exchange, Class::Transaction)?;
    let body = request_body::read(exchange, &shared.settings.http)?;
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
            idempotency_key: exchange.header(keyed::KEY_HEADER).map(ToOwned::to_owned),
            connect_timeout: timeouts.connect_timeout,
            timeout: timeouts.service_timeout,
        },
        organisation,
    })
}

fn run(shared: &Shared, admitted: &Admitted) -> Result<ServiceReply, Refusal> {
    dispatch_call::run(shared, &admitted.service_call())
}
