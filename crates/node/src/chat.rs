//! `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::Instant;

use config::view::{Tenant, View};
use model::object::Version;
use model::refusal::Reason;
use model::{Class, Cost, Refusal, Tokens, Usage};

use crate::billing::Record;
use crate::engine::generation::{self, Job, Outcome};
use crate::engine::sink::Sink;
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::{body, gate};
use crate::session::Session;
use crate::shared::Shared;

pub(crate) mod answer;
mod choice;
mod request;

use answer::{Answer, Head};
use request::Request;

/// An admitted request.
struct Admitted {
    tenant: Arc<Tenant>,
    request: Request,
    job: Job,
    session: String,
    billing_key: String,
}

/// Answers one request.
pub(crate) fn serve(shared: &Shared, mut exchange: Exchange) {
    let received = Instant::now();
    let admitted = match admit(shared, &mut exchange, received) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(shared, exchange, &refusal),
    };
    if shared.biller.reserve().is_err() {
        return refuse(shared, exchange, &Refusal::not_run(Reason::BillingFull));
    }
    let head = Head {
        id: admitted.job.id.clone(),
        version: admitted.job.version.name.clone(),
        session: admitted.session.clone(),
    };
    let mut answer = Answer::new(exchange, head, admitted.request.delivery, received);
    match generation::run(shared, &admitted.job, &mut Sink::Caller(&mut answer)) {
        Outcome::Complete(usage) => {
            bill(shared, &admitted, usage);
            finish(shared, answer, usage);
        }
        Outcome::Gone(output) => {
            shared.metrics.disconnects.inc();
            bill(shared, &admitted, partial(&admitted, output));
        }
        Outcome::Failed(refusal) => {
            shared.biller.release();
            shared.metrics.refusal(refusal.reason);
            answer.fail(&refusal);
        }
    }
}

fn admit(shared: &Shared, exchange: &mut Exchange, received: Instant) -> Result<Admitted, Refusal> {
    gate::open(shared)?;
    let view = shared.catalog.view();
    let tenant = crate::auth::tenant(&view, exchange)?;
    let class = class(exchange)?;
    let deadline = received + gate::time_allowed(shared, exchange, class)?;
    let body = body::read(exchange, &shared.settings.http)?;
    let request = Request::parse(&body)?;
    let version = version(shared, &view, &tenant, exchange, &request)?;
    let session = Session {
        organisation: tenant.name().clone(),
        requested: request.model.clone(),
        version: version.name.clone(),
        revision: view.revision(),
    };
    let id = shared.request_id();
    let identity = exchange.header("Idempotency-Key").unwrap_or(&id);
    let billing_key = format!("{}/{identity}", tenant.name());
    Ok(Admitted {
        session: shared.sessions.sign(&session).unwrap_or_default(),
        billing_key,
        job: Job {
            id,
            organisation: tenant.name().clone(),
            weight: tenant.organisation.weight,
            version: Version::clone(&version),
            messages: request.messages.clone(),
            max_tokens: request.max_tokens,
            class,
            deadline,
        },
        tenant,
        request,
    })
}

fn class(exchange: &Exchange) -> Result<Class, Refusal> {
    match exchange.header("X-Task-Class") {
        None => Ok(Class::Standard),
        Some(text) => Class::parse(text).ok_or(Refusal::not_run(Reason::BadRequest)),
    }
}

/// The version of the caller's session, or a new choice.
fn version(
    shared: &Shared,
    view: &View,
    tenant: &Tenant,
    exchange: &Exchange,
    request: &Request,
) -> Result<Arc<Version>, Refusal> {
    let Some(token) = exchange.header("X-Session") else {
        return choice::choose(view, tenant, &request.model, &mut shared.rng());
    };
    let session = shared.sessions.check(token);
    let session = session.filter(|it| it.organisation == *tenant.name() && it.requested == request.model);
    let session = session.ok_or(Refusal::not_run(Reason::SessionInvalid))?;
    view.pinned(tenant, &session.version).cloned()
}

/// Adds the billing record and waits for a bounded time until it is safe.
fn bill(shared: &Shared, admitted: &Admitted, usage: Usage) {
    let version = &admitted.job.version;
    let record = Record {
        key: admitted.billing_key.clone(),
        organisation: admitted.tenant.name().clone(),
        version: version.name.clone(),
        class: admitted.job.class,
        usage,
        cost: cost(version, usage),
        rejected_cost: 0,
    };
    let safe = shared.biller.add(record);
    if safe.recv_timeout(shared.settings.billing.hold_timeout).is_err() {
        shared.metrics.billing_underreplicated.inc();
    }
}

fn finish(shared: &Shared, answer: Answer, usage: Usage) {
    if let Some(first) = answer.first_token() {
        shared.metrics.first_token.observe(first.as_secs_f64());
    }
    if answer.finish(usage).is_err() {
        shared.metrics.disconnects.inc();
    }
}

fn cost(version: &Version, usage: Usage) -> Cost {
    let input = version.input_price.saturating_mul(u64::from(usage.input));
    let output = version.output_price.saturating_mul(u64::from(usage.output));
    input.saturating_add(output)
}

/// Usage of an answer that its caller cut off.
fn partial(admitted: &Admitted, output: Tokens) -> Usage {
    Usage {
        input: admitted.job.prompt_tokens(),
        cached: 0,
        output,
    }
}
