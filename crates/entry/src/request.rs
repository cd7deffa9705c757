//! A caller's request from its head to the final response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use forward::BootTime;
use forward::configuration::{Configuration, Limits, Organisation, Route, RouteKind};
use forward::directory::Engine;
use forward::escalation::Confidence;
use forward::release::{Arm, Subject};
use forward::retry::{Failure, FinalResponse, RetryDecision, RetryState};
use forward::retry_budget::RetryReason;
use forward::work::Work;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use model::Name;

use crate::attempt::{AttemptOutcome, attempt};
use crate::protocol::RequestMetadata;
use crate::response::{Refusal, ResponseBody, strip_connection_headers};
use crate::selection;
use crate::shared::{Shared, lock};
use crate::{clock, stream};

/// Maximum body size until a configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct RequestContext {
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
    pub metadata: RequestMetadata,
    pub arrived: BootTime,
    pub retry_state: RetryState,
    /// Engines that were tried with the current model.
    pub tried: Vec<Arc<Engine>>,
    /// Model that the node chose.
    pub model: Option<Name>,
    /// Version that the last engine belongs to.
    pub arm: Option<Arm>,
    /// Model whose answer was dropped last, and its confidence.
    pub dropped_answer: Option<(usize, Confidence)>,
    /// Time until the next permit, if the last attempt failed because engines limit their requests.
    limited_for: Option<Duration>,
    /// Whether a retry is already reserved for the next attempt.
    retry_reserved: bool,
    _active: ActiveGuard,
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        if let Subject::Session(session) = self.subject()
            && self.arm == Some(Arm::Old)
        {
            self.shared.record_request_end(&self.service, session);
        }
    }
}

/// Counts a request while it is in progress.
#[derive(Debug)]
struct ActiveGuard(Arc<Shared>);

impl ActiveGuard {
    fn begin(shared: &Arc<Shared>) -> Self {
        shared.active_requests.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves a request.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let metadata = shared.protocol.request_metadata(&head);
    let id = metadata.id.clone().unwrap_or_default();
    match admit(&shared, head, body, metadata, arrived).await {
        Ok(context) => serve(context).await,
        Err(refusal) => refuse(&shared, &id, refusal, arrived),
    }
}

fn refuse(shared: &Shared, id: &str, refusal: Refusal, arrived: BootTime) -> Response<ResponseBody> {
    let code = refusal.code();
    shared.metrics.refusals.get_or_create(&[("reason", code)]).inc();
    let now = clock::now();
    let (version, age_ms) = {
        let cached = lock(&shared.configuration);
        let age = cached.age(now).map_or(-1, |it| it.as_millis() as i64);
        (cached.value().map_or(0, |it| it.version), age)
    };
    let elapsed_ms = now.saturating_sub(arrived).as_millis() as u64;
    let status = refusal.status().as_u16();
    log::info!(id, status, reason = code, version, age_ms, elapsed_ms; "refused");
    refusal.response()
}

/// Reads the body and checks the request against the configuration in force after that.
async fn admit(
    shared: &Arc<Shared>,
    head: Parts,
    body: Incoming,
    metadata: RequestMetadata,
    arrived: BootTime,
) -> Result<RequestContext, Refusal> {
    let active = ActiveGuard::begin(shared);
    let limits = lock(&shared.configuration).value().map(|it| it.limits);
    let body = read_body(body, limits).await?;
    let now = clock::now();
    let (route, organisation) = authorise(shared, &head, &metadata, now)?;
    if !shared.accepts(route.kind, now) {
        return Err(Refusal::Leaving);
    }
    let service = route
        .choose_service(&mut rand::rng())
        .cloned()
        .ok_or(Refusal::NoEngine)?;
    let timeout = metadata
        .deadline
        .map_or(route.timeout, |it| it.min(route.timeout));
    let retry_state = RetryState::new(route.kind.repeat(), route.max_attempts, arrived + timeout);
    let model = route.models.first().filter(|_| metadata.any_model).cloned();
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    shared.count_request(&service, now);
    Ok(RequestContext {
        shared: shared.clone(),
        id: metadata.id.clone().unwrap_or_default(),
        target: head.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned(),
        method: head.method,
        route,
        service,
        organisation,
        headers,
        body,
        metadata,
        arrived,
        retry_state,
        tried: Vec::new(),
        model,
        arm: None,
        dropped_answer: None,
        limited_for: None,
        retry_reserved: false,
        _active: active,
    })
}

async fn read_body(body: Incoming, limits: Option<Limits>) -> Result<Bytes, Refusal> {
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |it| it.max_body_bytes);
    match Limited::new(body, max_bytes).collect().await {
        Ok(it) => Ok(it.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyBroken),
    }
}

/// The route of a request, and the organisation that holds its key.
fn authorise(
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

fn find_route<'a>(configuration: &'a Configuration, head: &Parts) -> Option<&'a Arc<Route>> {
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    configuration.route(host, head.uri.path())
}

/// Sends a request to engines until there is a final response.
async fn serve(mut context: RequestContext) -> Response<ResponseBody> {
    context.choose_model();
    loop {
        let engine_response = match attempt(&mut context, None).await {
            AttemptOutcome::Responded(engine_response) => engine_response,
            AttemptOutcome::NoEngine => {
                let response = context.retry_state.response_without_engine(clock::now());
                return context.finish(response, None);
            }
            AttemptOutcome::Limited(wait) => {
                let response = context.retry_state.response_without_engine(clock::now());
                context.limited_for = Some(wait);
                return context.finish(response, None);
            }
            AttemptOutcome::Failed { failure, response } => match context.handle_failure(failure, response) {
                Some(response) => return response,
                None => {
                    context.fall_back(failure);
                    continue;
                }
            },
        };
        if matches!(context.route.kind, RouteKind::Stream { .. }) && engine_response.head.status.is_success()
        {
            if context.try_escalate(&engine_response) {
                continue;
            }
            return stream::start(context, engine_response);
        }
        match engine_response.collect(context.remaining()).await {
            Ok(response) => return context.forward_response(response),
            Err(failure) => {
                if let Some(response) = context.handle_failure(failure, None) {
                    return response;
                }
            }
        }
    }
}

impl RequestContext {
    /// Time remaining until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.retry_state.deadline().saturating_sub(clock::now())
    }

    /// What decides which version of the service gets the request.
    pub(crate) fn subject(&self) -> Subject<'_> {
        match &self.metadata.session {
            Some(session) => Subject::Session(session.as_bytes()),
            None => Subject::Request(self.id.as_bytes()),
        }
    }

    /// Number of prompt tokens; 0 for plain services.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.metadata.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// Estimated work, scaled by the price of the model relative to the smallest one; `None` for plain
    /// services.
    pub(crate) fn work(&self) -> Option<Work> {
        let (prompt, _) = self.metadata.tokens?;
        let cached = lock(&self.shared.configuration);
        let service = cached.value()?.service(&self.service);
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
        let [shared @ .., _] = &self.metadata.prompt_parts[..] else {
            return None;
        };
        shared.last().copied()
    }

    /// Records a failed attempt; returns the final response if there is no further attempt.
    pub(crate) fn handle_failure(
        &mut self,
        failure: Failure,
        response: Option<Response<ResponseBody>>,
    ) -> Option<Response<ResponseBody>> {
        let final_response = self.record_failure(failure)?;
        Some(self.finish(final_response, response))
    }

    /// Records a failed attempt and decides what follows; `None` means another attempt.
    pub(crate) fn record_failure(&mut self, failure: Failure) -> Option<FinalResponse> {
        let now = clock::now();
        let decision = self.retry_state.record_failure(failure, now);
        let retry = match decision {
            // Nothing reached an engine, so the next attempt does not count as a retry.
            RetryDecision::Retry(_) if failure == Failure::Unreachable => true,
            RetryDecision::Retry(_) => {
                std::mem::take(&mut self.retry_reserved) || self.try_reserve_retry(RetryReason::Failure, now)
            }
            RetryDecision::Finish(_) => false,
        };
        let label = [("failure", failure.as_str())];
        self.shared.metrics.failures.get_or_create(&label).inc();
        let engine = self.tried.last().map_or("", |it| &*it.id);
        let (runs, left_ms) = (self.retry_state.runs(), self.remaining().as_millis() as u64);
        log::info!(id = self.id, engine, failure = failure.as_str(), runs, left_ms, retry; "attempt failed");
        if retry {
            self.shared
                .metrics
                .retries
                .get_or_create(&[("reason", failure.as_str())])
                .inc();
            return None;
        }
        let (RetryDecision::Retry(response) | RetryDecision::Finish(response)) = decision;
        Some(response)
    }

    /// Reserves a retry before a silent attempt is abandoned; without it the request must keep waiting.
    pub(crate) fn reserve_retry(&mut self) -> bool {
        let now = clock::now();
        if !self.retry_reserved
            && self.retry_state.may_run_again(now)
            && selection::has_unlimited(self, &self.tried)
        {
            self.retry_reserved = self.try_reserve_retry(RetryReason::Failure, now);
        }
        self.retry_reserved
    }

    pub(crate) fn try_reserve_retry(&self, reason: RetryReason, now: BootTime) -> bool {
        self.shared.try_reserve_retry(&self.service, reason, now)
    }

    /// Returns to the smallest model if a larger one did not start its response in time.
    fn fall_back(&mut self, failure: Failure) {
        let smallest = self.route.models.first();
        if failure == Failure::Silent && self.model.is_some() && self.model.as_ref() != smallest {
            self.model = smallest.cloned();
        }
    }

    /// Forwards the response of an engine.
    fn forward_response(&self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        self.log_end(response.status().as_u16(), "answered");
        response
    }

    /// The final response if no attempt was successful.
    fn finish(
        &self,
        response: FinalResponse,
        engine: Option<Response<ResponseBody>>,
    ) -> Response<ResponseBody> {
        let refusal = match (response, engine) {
            (FinalResponse::Engine, Some(response)) => return self.forward_response(response),
            (FinalResponse::Engine | FinalResponse::Unknown, _) => Refusal::Unknown,
            (FinalResponse::TimedOut, _) => Refusal::TimedOut,
            (FinalResponse::NotRun, _) => match self.limited_for {
                Some(wait) => Refusal::Limited(wait),
                None if self.tried.is_empty() => Refusal::NoEngine,
                None => Refusal::NotRun,
            },
        };
        let label = [("reason", refusal.code())];
        self.shared.metrics.refusals.get_or_create(&label).inc();
        self.log_end(refusal.status().as_u16(), refusal.code());
        refusal.response()
    }

    /// Logs and counts the end of the request.
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
        let (route, runs) = (&*self.route.name, self.retry_state.runs());
        log::info!(id = self.id, route, status, outcome, engine, model, runs, elapsed_ms; "request ended");
    }
}
