//! `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::Instant;

use config::view::{OrganisationView, View};
use ledger::billing::Key;
use model::object::Version;
use model::refusal::Reason;
use model::{Class, Cost, Refusal, Tokens, Usage};
use policy::cascade::Plan;
use policy::rollout::Event;

use crate::billing::{RELEASE_TIMEOUT, Record, billing_key};
use crate::engine::generation::Job;
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::{body, gate};
use crate::session::Session;
use crate::shared::Shared;

pub(crate) mod answer;
mod choice;
mod request;
mod steps;

use answer::{Answer, Head};
use choice::{Choice, Wish};
use request::Request;
use steps::{Bill, Outcome, Steps};

/// An admitted request.
struct Admitted {
    view: Arc<View>,
    tenant: Arc<OrganisationView>,
    request: Request,
    choice: Choice,
    plan: Plan,
    job: Job,
    billing_key: Key,
}

/// Answers one request.
pub(crate) fn serve(shared: &Shared, mut exchange: Exchange) {
    let received = Instant::now();
    let admitted = match admit(shared, &mut exchange, received) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(shared, exchange, &refusal),
    };
    if shared.billing.reserve().is_err() {
        if let Some(trial) = &admitted.choice.trial {
            trial.record(Event::Lost);
        }
        return refuse(shared, exchange, &Refusal::not_run(Reason::BillingFull));
    }
    let Admitted {
        view,
        tenant,
        request,
        choice,
        plan,
        job,
        billing_key,
    } = admitted;
    let class = job.class;
    let record = |bill: &Bill| Record {
        key: billing_key.clone(),
        organisation: tenant.name().clone(),
        version: bill.version.name.clone(),
        class,
        usage: bill.usage,
        cost: cost(&bill.version, bill.usage.input, bill.usage.output),
        rejected_cost: bill.rejected,
    };
    let sign = |version: &Version| {
        let session = Session {
            organisation: tenant.name().clone(),
            requested: request.model.clone(),
            version: version.name.clone(),
            revision: view.revision(),
        };
        shared.sessions.sign(&session).unwrap_or_default()
    };
    let head = Head {
        id: job.id.clone(),
        version: job.version.name.clone(),
        session: String::new(),
    };
    let mut answer = Answer::new(exchange, head, request.delivery, received);
    let (steps, first) = Steps::new(shared, job, choice, plan, &sign);
    match steps.run(first, &mut answer) {
        Outcome::Complete(it) => {
            bill(shared, record(&it));
            finish(shared, answer, it.usage);
        }
        Outcome::Gone(it) => {
            shared.metrics.caller_disconnects.inc();
            bill(shared, record(&it));
        }
        Outcome::Failed(refusal) => {
            shared.billing.release();
            shared.metrics.count_refusal(refusal.reason);
            answer.fail(&refusal);
        }
    }
}

fn admit(shared: &Shared, exchange: &mut Exchange, received: Instant) -> Result<Admitted, Refusal> {
    gate::open(shared)?;
    let view = shared.config.view();
    let tenant = crate::auth::tenant(&view, exchange)?;
    let class = class(exchange)?;
    let deadline = received + gate::time_allowed(shared, exchange, class)?;
    let body = body::read(exchange, &shared.settings.http)?;
    let request = Request::parse(&body)?;
    let choice = choose(shared, &view, &tenant, exchange, &request)?;
    let number = shared.request_number();
    let id = shared.request_id_of(number);
    let billing_key = billing_key(
        exchange.header("Idempotency-Key"),
        &body,
        shared.incarnation,
        number,
    );
    let Some(first) = choice.versions.first() else {
        return Err(Refusal::not_run(Reason::UnknownName));
    };
    let job = Job {
        id,
        organisation: tenant.name().clone(),
        weight: tenant.organisation.weight,
        version: Version::clone(first),
        messages: request.messages.clone(),
        max_tokens: request.max_tokens,
        class,
        deadline,
    };
    let wish = Wish {
        class,
        time: deadline.saturating_duration_since(Instant::now()),
        prompt: job.prompt_tokens(),
        max_tokens: job.max_tokens,
    };
    let plan = choice::plan(shared, &view, &tenant, &choice, &wish)?;
    Ok(Admitted {
        view,
        tenant,
        request,
        choice,
        plan,
        job,
        billing_key,
    })
}

fn class(exchange: &Exchange) -> Result<Class, Refusal> {
    match exchange.header("X-Task-Class") {
        None => Ok(Class::Standard),
        Some(text) => Class::parse(text).ok_or(Refusal::not_run(Reason::BadRequest)),
    }
}

/// The version of the caller's session, or the candidates for a new choice.
fn choose(
    shared: &Shared,
    view: &View,
    tenant: &OrganisationView,
    exchange: &Exchange,
    request: &Request,
) -> Result<Choice, Refusal> {
    let Some(token) = exchange.header("X-Session") else {
        return choice::candidates(shared, view, tenant, &request.model);
    };
    let session = shared.sessions.check(token);
    let session = session.filter(|it| it.organisation == *tenant.name() && it.requested == request.model);
    let session = session.ok_or(Refusal::not_run(Reason::SessionInvalid))?;
    view.pinned(tenant, &session.version).map(Choice::pinned)
}

/// Adds the billing record and waits for a bounded time until it is safe.
fn bill(shared: &Shared, record: Record) {
    let safe = shared.billing.add(record, shared.now());
    // Billing itself releases the answer in time, so that only a fault of this node ends the wait here.
    safe.recv_timeout(RELEASE_TIMEOUT).ok();
}

fn finish(shared: &Shared, answer: Answer, usage: Usage) {
    if let Some(first) = answer.first_token() {
        shared.metrics.first_token_seconds.observe(first.as_secs_f64());
    }
    if answer.finish(usage).is_err() {
        shared.metrics.caller_disconnects.inc();
    }
}

/// Price of an answer.
fn cost(version: &Version, input: Tokens, output: Tokens) -> Cost {
    let input = version.input_price.saturating_mul(u64::from(input));
    let output = version.output_price.saturating_mul(u64::from(output));
    input.saturating_add(output)
}
