//! One request of a caller, from its head to its final answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use forward::BootTime;
use forward::configuration::{Configuration, Limits, Organisation, Route, RouteKind};
use forward::directory::Engine;
use forward::escalation::{self, EscalationDecision, EscalationInput};
use forward::release::Arm;
use forward::retry::{Failure, FinalResponse, RetryDecision, RetryState};
use forward::retry_budget::RetryReason;
use forward::work::Work;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use model::Name;

use crate::answer::{Payload, Refusal, strip_connection_headers};
use crate::attempt::{Outcome, Sent, attempt};
use crate::dialect::Demand;
use crate::shared::{Shared, lock};
use crate::{clock, stream};

/// Greatest body while no configuration states a bound.
const DEFAULT_MAX_BODY: usize = 4 << 20;

/// A request under way.
#[derive(Debug)]
pub(crate) struct Job {
    pub shared: Arc<Shared>,
    pub id: String,
    pub route: Arc<Route>,
    pub service: Name,
    pub organisation: Option<Arc<Organisation>>,
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub demand: Demand,
    pub arrived: BootTime,
    pub flow: RetryState,
    /// Engines that were tried with the present model.
    pub tried: Vec<Arc<Engine>>,
    /// Model that the system chose.
    pub model: Option<Name>,
    /// Version of the engine that was tried last, by its part in a release.
    pub arm: Option<Arm>,
    /// Whether the retry allowance for the next attempt is taken already.
    reserved: bool,
    _active: Active,
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.arm == Some(Arm::Old) {
            self.shared.note_end(&self.service, self.session());
        }
    }
}

/// Counts a request while it is under way.
#[derive(Debug)]
struct Active(Arc<Shared>);

impl Active {
    fn begin(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Answers a request.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Payload> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let demand = shared.dialect.demand(&head);
    let id = demand.id.clone().unwrap_or_default();
    match admit(&shared, head, body, demand, arrived).await {
        Ok(job) => serve(job).await,
        Err(refusal) => refuse(&shared, &id, refusal, arrived),
    }
}

fn refuse(shared: &Shared, id: &str, refusal: Refusal, arrived: BootTime) -> Response<Payload> {
    let code = refusal.code();
    shared.metrics.refusals.get_or_create(&[("reason", code)]).inc();
    let now = clock::now();
    let (version, age_ms) = {
        let catalog = lock(&shared.catalog);
        let age = catalog.age(now).map_or(-1, |it| it.as_millis() as i64);
        (catalog.value().map_or(0, |it| it.version), age)
    };
    let elapsed_ms = now.saturating_sub(arrived).as_millis() as u64;
    let status = refusal.status().as_u16();
    log::info!(id, status, reason = code, version, age_ms, elapsed_ms; "refused");
    refusal.response()
}

/// Reads the body and checks the request against the configuration that is in force then.
async fn admit(
    shared: &Arc<Shared>,
    head: Parts,
    body: Incoming,
    demand: Demand,
    arrived: BootTime,
) -> Result<Job, Refusal> {
    let active = Active::begin(shared);
    let limits = lock(&shared.catalog).value().map(|it| it.limits);
    let body = read_body(body, limits).await?;
    let now = clock::now();
    let (route, organisation) = authorise(shared, &head, &demand, now)?;
    // A stream that begins now could be cut off by the end of the process; a call is over before.
    if matches!(route.kind, RouteKind::Stream { .. }) && shared.has_left(now) {
        return Err(Refusal::Leaving);
    }
    let service = route
        .choose_service(&mut rand::rng())
        .cloned()
        .ok_or(Refusal::NoEngine)?;
    let wait = demand.deadline.map_or(route.timeout, |it| it.min(route.timeout));
    let flow = RetryState::new(route.kind.repeat(), route.max_attempts, arrived + wait);
    let model = route.models.first().filter(|_| demand.any_model).cloned();
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    shared.count_request(&service, now);
    Ok(Job {
        shared: shared.clone(),
        id: demand.id.clone().unwrap_or_default(),
        target: head.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned(),
        method: head.method,
        route,
        service,
        organisation,
        headers,
        body,
        demand,
        arrived,
        flow,
        tried: Vec::new(),
        model,
        arm: None,
        reserved: false,
        _active: active,
    })
}

async fn read_body(body: Incoming, limits: Option<Limits>) -> Result<Bytes, Refusal> {
    let most = limits.map_or(DEFAULT_MAX_BODY, |it| it.max_body_bytes);
    match Limited::new(body, most).collect().await {
        Ok(it) => Ok(it.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Refusal::BodyTooLong),
        Err(_) => Err(Refusal::BodyBroken),
    }
}

/// The route of a request, and the organisation that its key belongs to.
fn authorise(
    shared: &Shared,
    head: &Parts,
    demand: &Demand,
    now: BootTime,
) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Refusal> {
    let bounds = &shared.settings().bounds;
    let (configuration, age) = {
        let catalog = lock(&shared.catalog);
        let configuration = catalog.value().cloned().ok_or(Refusal::NotConfigured)?;
        (configuration, catalog.age(now).unwrap_or(Duration::MAX))
    };
    // What a newer configuration may have added must not be denied for good.
    let denial = |it| {
        if age < bounds.config {
            it
        } else {
            Refusal::NotConfigured
        }
    };
    let route = find_route(&configuration, head).ok_or_else(|| denial(Refusal::NoRoute))?;
    if route.public || !configuration.needs_keys() {
        return Ok((route.clone(), None));
    }
    // The key may have been taken away since. The caller sent the request before `now`.
    if bounds.strict_revocation && age >= bounds.revocation {
        return Err(Refusal::Stale);
    }
    let key = demand.key.as_deref();
    let holder = key.and_then(|it| configuration.organisation(it));
    let holder = holder.ok_or_else(|| denial(Refusal::BadKey))?;
    Ok((route.clone(), Some(holder.clone())))
}

fn find_route<'a>(configuration: &'a Configuration, head: &Parts) -> Option<&'a Arc<Route>> {
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    configuration.route(host, head.uri.path())
}

/// Sends a request to engines until there is a final answer.
async fn serve(mut job: Job) -> Response<Payload> {
    loop {
        let sent = match attempt(&mut job, None).await {
            Outcome::Answered(sent) => sent,
            Outcome::NoEngine => {
                let answer = job.flow.response_without_engine(clock::now());
                return job.finish(answer, None);
            }
            Outcome::Failed { failure, answer } => match job.failed(failure, answer) {
                Some(response) => return response,
                None => {
                    job.fall_back(failure);
                    continue;
                }
            },
        };
        if matches!(job.route.kind, RouteKind::Stream { .. }) && sent.head.status.is_success() {
            if job.escalates(&sent) {
                continue;
            }
            return stream::start(job, sent);
        }
        match sent.collect(job.remaining()).await {
            Ok(response) => return job.answered(response),
            Err(failure) => {
                if let Some(response) = job.failed(failure, None) {
                    return response;
                }
            }
        }
    }
}

impl Job {
    /// Time until the caller must have an answer.
    pub(crate) fn remaining(&self) -> Duration {
        self.flow.deadline().saturating_sub(clock::now())
    }

    /// Key that is the same for requests that should stay on one version.
    pub(crate) fn session(&self) -> &[u8] {
        self.demand.session.as_ref().unwrap_or(&self.id).as_bytes()
    }

    /// Tokens of the prompt; 0 for plain services.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.demand.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// Estimated work, by the prices of the models relative to the smallest one's; `None` for plain services.
    pub(crate) fn work(&self) -> Option<Work> {
        let (prompt, _) = self.demand.tokens?;
        let catalog = lock(&self.shared.catalog);
        let service = catalog.value()?.service(&self.service);
        let cost = |model: Option<&Name>| service.and_then(|it| it.model_costs.get(model?).copied());
        let smallest = cost(self.route.models.first());
        let factor = match (cost(self.model.as_ref()), smallest) {
            (Some(own), Some(least)) if least > 0.0 => own / least,
            _ => 1.0,
        };
        Some(prompt as f64 * factor)
    }

    /// The longest part of the prompt that other requests share.
    pub(crate) fn affinity(&self) -> Option<u64> {
        let [shared @ .., _] = &self.demand.parts[..] else {
            return None;
        };
        shared.last().copied()
    }

    /// Takes note of a failed attempt; the final answer if there is no further one.
    pub(crate) fn failed(
        &mut self,
        failure: Failure,
        answer: Option<Response<Payload>>,
    ) -> Option<Response<Payload>> {
        let final_answer = self.next(failure)?;
        Some(self.finish(final_answer, answer))
    }

    /// Decides what follows a failed attempt: `None` for another one.
    pub(crate) fn next(&mut self, failure: Failure) -> Option<FinalResponse> {
        let now = clock::now();
        let next = self.flow.record_failure(failure, now);
        let retry = match next {
            // Nothing arrived at an engine, so the next attempt is no repeated arrival.
            RetryDecision::Retry(_) if failure == Failure::Unreachable => true,
            RetryDecision::Retry(_) => {
                std::mem::take(&mut self.reserved) || self.take_allowance(RetryReason::Failure, now)
            }
            RetryDecision::Finish(_) => false,
        };
        let label = [("failure", failure.as_str())];
        self.shared.metrics.failures.get_or_create(&label).inc();
        let engine = self.tried.last().map_or("", |it| &*it.id);
        let (runs, left_ms) = (self.flow.runs(), self.remaining().as_millis() as u64);
        log::info!(id = self.id, engine, failure = failure.as_str(), runs, left_ms, retry; "attempt failed");
        if retry {
            self.shared
                .metrics
                .retries
                .get_or_create(&[("reason", failure.as_str())])
                .inc();
            return None;
        }
        let (RetryDecision::Retry(answer) | RetryDecision::Finish(answer)) = next;
        Some(answer)
    }

    /// Reserves a further attempt before a silent one is given up; without it the request must wait on.
    pub(crate) fn reserve_attempt(&mut self) -> bool {
        let now = clock::now();
        if !self.reserved && self.flow.may_run_again(now) {
            self.reserved = self.take_allowance(RetryReason::Failure, now);
        }
        self.reserved
    }

    fn take_allowance(&self, need: RetryReason, now: BootTime) -> bool {
        self.shared.take_allowance(&self.service, need, now)
    }

    /// Returns to the smallest model when a larger one did not begin its answer in time.
    fn fall_back(&mut self, failure: Failure) {
        let smallest = self.route.models.first();
        if failure == Failure::Silent && self.model.is_some() && self.model.as_ref() != smallest {
            self.model = smallest.cloned();
        }
    }

    /// Whether the answer should be dropped for one of the largest model; prepares the next attempt if so.
    fn escalates(&mut self, sent: &Sent) -> bool {
        let now = clock::now();
        let Some(largest) = self.route.models.last().cloned() else {
            return false;
        };
        if self.model.as_ref().is_none_or(|it| *it == largest) || !self.flow.may_run_again(now) {
            return false;
        }
        let elapsed = now.saturating_sub(self.arrived);
        let expected = self
            .shared
            .usual(&self.route.name, Some(&largest), self.prompt_tokens());
        let situation = EscalationInput {
            confidence: sent.answer.confidence,
            elapsed,
            latency_goal: self.route.latency_goal,
            tokens: self.demand.tokens,
            expected_first_byte: expected,
        };
        let wanted = escalation::decide(situation) == EscalationDecision::Escalate;
        if !wanted || !self.take_allowance(RetryReason::Quality, now) {
            return false;
        }
        let confidence = sent.answer.confidence.unwrap_or_default();
        let expected_ms = expected.map_or(0, |it| it.as_millis() as u64);
        log::info!(id = self.id, confidence, expected_ms, model = *largest; "answer dropped for a larger model");
        self.shared
            .metrics
            .retries
            .get_or_create(&[("reason", "escalated")])
            .inc();
        self.model = Some(largest);
        self.tried.clear();
        true
    }

    /// Passes on an engine's whole answer.
    fn answered(&self, response: Response<Payload>) -> Response<Payload> {
        self.log_end(response.status().as_u16(), "answered");
        response
    }

    /// The final answer without an engine's success.
    fn finish(&self, answer: FinalResponse, engine: Option<Response<Payload>>) -> Response<Payload> {
        let refusal = match (answer, engine) {
            (FinalResponse::Engine, Some(response)) => return self.answered(response),
            (FinalResponse::Engine | FinalResponse::Unknown, _) => Refusal::Unknown,
            (FinalResponse::TimedOut, _) => Refusal::TimedOut,
            (FinalResponse::NotRun, _) if self.tried.is_empty() => Refusal::NoEngine,
            (FinalResponse::NotRun, _) => Refusal::NotRun,
        };
        let label = [("reason", refusal.code())];
        self.shared.metrics.refusals.get_or_create(&label).inc();
        self.log_end(refusal.status().as_u16(), refusal.code());
        refusal.response()
    }

    /// One line for the end of the request.
    pub(crate) fn log_end(&self, status: u16, outcome: &str) {
        let class = match status / 100 {
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            _ => "5xx",
        };
        self.shared
            .metrics
            .requests
            .get_or_create(&[("status", class)])
            .inc();
        let elapsed_ms = clock::now().saturating_sub(self.arrived).as_millis() as u64;
        let engine = self.tried.last().map_or("", |it| &*it.id);
        let model = self.model.as_deref().unwrap_or_default();
        let (route, runs) = (&*self.route.name, self.flow.runs());
        log::info!(id = self.id, route, status, outcome, engine, model, runs, elapsed_ms; "request ended");
    }
}
