//! A caller's request from its head to the final response.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::BootTime;
use forward::configuration::{Organisation, Route, RouteKind};
use forward::crash::Traits;
use forward::directory::Engine;
use forward::escalation::Confidence;
use forward::release::{Arm, Subject};
use forward::retry::{Execution, Failure, FinalResponse, RetryDecision, RetryState};
use forward::retry_budget::RetryReason;
use forward::work::Work;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use model::{Name, hash};

use crate::attempt::{AttemptOutcome, EngineResponse, attempt};
use crate::open_requests::OpenRequest;
use crate::protocol::RequestMetadata;
use crate::response::{Refusal, ResponseBody, TrackedBody, strip_connection_headers};
use crate::retry::Reserved;
use crate::selection::{self, Shortage};
use crate::shared::{Shared, lock};
use crate::{admission, authorisation, clock, engine_memory, evacuation, quarantine, request_body, stream};

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
    /// Hash of the path, the organisation, the prompt and the body.
    content: u64,
    /// What it may have in common with requests that end engines.
    pub traits: Traits,
    pub arrived: BootTime,
    pub retry_state: RetryState,
    /// Time until a request like this one is let through, if it is held back.
    pub held_for: Option<Duration>,
    /// Time until this node or a peer may reach an engine again, if none does.
    pub no_path_for: Option<Duration>,
    /// Engines that were tried with the current model. One that turned the request away and closed for a time is not
    /// among them: it may serve the request once it opens.
    pub tried: Vec<Arc<Engine>>,
    /// Engine of the last attempt.
    pub engine: Option<Arc<Engine>>,
    /// Model that the node chose.
    pub model: Option<Name>,
    /// Version that the last engine belongs to.
    pub arm: Option<Arm>,
    /// Model whose answer was dropped last, and its confidence.
    pub dropped_answer: Option<(usize, Confidence)>,
    /// Retry that is reserved for the next attempt.
    pub reserved: Option<Reserved>,
    pub open: Arc<OpenRequest>,
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

/// Serves a request.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<TrackedBody> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let metadata = shared.protocol.request_metadata(&head);
    let id = metadata.id.clone().unwrap_or_default();
    let Some(memory) = shared.memory.request_share() else {
        request_body::discard_later(body);
        return refuse(&shared, &id, Refusal::NoMemory, arrived).map(TrackedBody::untracked);
    };
    let open = Arc::new(OpenRequest::begin(&shared, id.clone(), arrived, memory));
    let mut final_responses = pin!(shared.stop_reaches(|it| it.final_responses));
    let admitted = tokio::select! {
        biased;
        it = admit(&shared, head, body, metadata, arrived, &open) => it,
        () = final_responses.as_mut() => Err(Refusal::Leaving),
    };
    let response = match admitted {
        Ok(mut context) => {
            let served = tokio::select! {
                biased;
                it = serve(&mut context) => it,
                () = final_responses => Served::Response(context.finish_before_exit()),
            };
            match served {
                Served::Response(response) => response,
                Served::Stream(engine_response) => stream::start(context, engine_response),
            }
        }
        Err(refusal) => refuse(&shared, &id, refusal, arrived),
    };
    response.map(|it| TrackedBody::new(it, open))
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
    open: &Arc<OpenRequest>,
) -> Result<RequestContext, Refusal> {
    let limits = lock(&shared.configuration).value().map(|it| it.limits);
    let body = request_body::read(shared, body, limits, metadata.deadline).await?;
    let now = clock::now();
    let (route, organisation) = authorisation::authorise(shared, &head, &metadata, now)?;
    let timeout = metadata
        .deadline
        .map_or(route.timeout, |it| it.min(route.timeout));
    let deadline = arrived + timeout;
    if !shared.accepts(&route, &metadata, deadline, now) {
        return Err(Refusal::Leaving);
    }
    let service = route
        .choose_service(&mut rand::rng())
        .cloned()
        .ok_or(Refusal::NoEngine)?;
    engine_memory::check_size(shared, &service, &metadata, now)?;
    open.accept(&route, deadline);
    let retry_state = RetryState::new(route.kind.repeat(), route.max_attempts, deadline);
    let model = route.models.first().filter(|_| metadata.any_model).cloned();
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
    let content = content_hash(&target, organisation.as_deref(), &metadata, &body);
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    shared.count_request(&service, arrived, now);
    Ok(RequestContext {
        shared: shared.clone(),
        id: metadata.id.clone().unwrap_or_default(),
        target,
        method: head.method,
        route,
        service,
        organisation,
        headers,
        body,
        content,
        traits: quarantine::traits(&metadata, content),
        metadata,
        arrived,
        retry_state,
        held_for: None,
        no_path_for: None,
        tried: Vec::new(),
        engine: None,
        model,
        arm: None,
        dropped_answer: None,
        reserved: None,
        open: open.clone(),
    })
}

/// Hash that requests have in common which a caller has sent again. The head names a prompt of its own, whatever the
/// body has.
fn content_hash(
    target: &str,
    organisation: Option<&Organisation>,
    metadata: &RequestMetadata,
    body: &[u8],
) -> u64 {
    let organisation = organisation.map_or("", |it| &it.name);
    let body = hash::stable(body).to_be_bytes();
    // No path or name contains a zero byte. Fingerprints have 63 bits of a hash.
    let prompt = metadata.prompt_parts_text();
    let content = [
        target.as_bytes(),
        organisation.as_bytes(),
        prompt.as_bytes(),
        &body,
    ];
    hash::stable(&content.join(&0)) >> 1
}

/// How a request was served.
enum Served {
    /// With a final response.
    Response(Response<ResponseBody>),
    /// With a stream that an engine has begun.
    Stream(Box<EngineResponse>),
}

/// Sends a request to engines until there is a final response or the begin of a stream.
async fn serve(context: &mut RequestContext) -> Served {
    context.choose_model();
    if let Some(refusal) = admission::admit(context) {
        return Served::Response(context.refuse(refusal));
    }
    loop {
        let engine_response = match attempt(context, None).await {
            AttemptOutcome::Responded(engine_response) => engine_response,
            AttemptOutcome::NoEngine => {
                let response = context.retry_state.response_without_engine(clock::now());
                return Served::Response(context.finish(response, None));
            }
            AttemptOutcome::Failed { failure, response } => {
                match context.handle_failure(failure, response).await {
                    Some(response) => return Served::Response(response),
                    None => {
                        context.fall_back(failure);
                        continue;
                    }
                }
            }
        };
        if matches!(context.route.kind, RouteKind::Stream { .. }) && engine_response.head.status.is_success()
        {
            if context.try_escalate(&engine_response).await {
                continue;
            }
            return Served::Stream(engine_response);
        }
        match engine_response.collect(context).await {
            Ok(response) => {
                let elapsed = clock::now().saturating_sub(context.arrived);
                context.record_response_time(elapsed);
                return Served::Response(context.forward_response(response));
            }
            Err(failure) => {
                if let Some(response) = context.handle_failure(failure, None).await {
                    return Served::Response(response);
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
    pub(crate) async fn handle_failure(
        &mut self,
        failure: Failure,
        response: Option<Response<ResponseBody>>,
    ) -> Option<Response<ResponseBody>> {
        let final_response = self.record_failure(failure).await?;
        Some(self.finish(final_response, response))
    }

    /// Records a failed attempt and decides what follows; `None` means another attempt.
    pub(crate) async fn record_failure(&mut self, failure: Failure) -> Option<FinalResponse> {
        let now = clock::now();
        let decision = self.retry_state.record_failure(failure, now);
        let retry = match decision {
            RetryDecision::Retry(_) => self.reserve_or_ask(RetryReason::Failure).await,
            RetryDecision::Finish(_) => false,
        };
        let label = [("failure", failure.as_str())];
        self.shared.metrics.failures.get_or_create(&label).inc();
        let engine = self.engine.as_ref().map_or("", |it| &*it.id);
        let (runs, left_ms) = (self.retry_state.runs(), self.remaining().as_millis() as u64);
        let (route, organisation) = (
            &*self.route.name,
            self.organisation.as_ref().map_or("", |it| &*it.name),
        );
        let prompt_parts = self.metadata.prompt_parts_text();
        let content = format!("{:x}", self.content);
        log::info!(
            id = self.id, engine, failure = failure.as_str(), runs, left_ms, retry, route, organisation, content, prompt_parts;
            "attempt failed"
        );
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

    /// Records a complete response that began some time after the request arrived.
    pub(crate) fn record_response_time(&self, begin: Duration) {
        let now = clock::now();
        let (total, tokens) = (now.saturating_sub(self.arrived), self.metadata.output_tokens());
        lock(&self.shared.response_times).record(&self.route.name, begin, total, tokens, now);
    }

    /// Whether a response may be dropped in favour of another run on another engine.
    pub(crate) fn may_run_again(&self, now: BootTime) -> bool {
        self.retry_state.may_run_again(now) && !quarantine::is_held(self)
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
        self.refuse(match (response, engine) {
            (FinalResponse::Engine, Some(response)) => return self.forward_response(response),
            (FinalResponse::Engine | FinalResponse::Unknown, _) => Refusal::Unknown,
            (FinalResponse::TimedOut, _) => Refusal::TimedOut,
            (FinalResponse::NotRun, _) => self.not_run_refusal(),
        })
    }

    /// The refusal that states why the request has not run.
    fn not_run_refusal(&self) -> Refusal {
        if let Some(wait) = self.held_for {
            return Refusal::HeldBack(wait);
        }
        if let Some(wait) = self.no_path_for {
            return Refusal::EnginesUnreachable(wait);
        }
        match selection::shortage(self) {
            Some(Shortage::Limited(wait)) => Refusal::Limited(wait),
            Some(Shortage::Closed(wait)) => Refusal::EnginesClosed(wait),
            Some(Shortage::Leaving) => Refusal::EnginesLeaving,
            Some(Shortage::Evacuated) => {
                evacuation::record_refusal(&self.shared, &self.service);
                Refusal::Evacuated
            }
            Some(Shortage::NoEngine) => Refusal::NoEngine,
            None if self.engine.is_none() => Refusal::NoEngine,
            None => Refusal::NotRun,
        }
    }

    /// The final response to a request that is still running shortly before the exit of the process.
    fn finish_before_exit(&self) -> Response<ResponseBody> {
        self.refuse(match self.retry_state.execution() {
            Execution::NotRun => Refusal::Leaving,
            Execution::MayHaveRun => Refusal::Unknown,
        })
    }

    fn refuse(&self, refusal: Refusal) -> Response<ResponseBody> {
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
        let engine = self.engine.as_ref().map_or("", |it| &*it.id);
        let model = self.model.as_deref().unwrap_or_default();
        let (route, runs) = (&*self.route.name, self.retry_state.runs());
        log::info!(id = self.id, route, status, outcome, engine, model, runs, elapsed_ms; "request ended");
    }
}
