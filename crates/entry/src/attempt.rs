//! One attempt to serve a request on an engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::BootTime;
use forward::configuration::RouteKind;
use forward::directory::Engine;
use forward::load::Trial;
use forward::quarantine::Quarantine;
use forward::retry::Failure;
use forward::unread::Unread;
use forward::urgency::{self, Urgency};
use forward::warm_up::Outcomes;
use forward::work::Work;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use model::object::service::Repeat;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::client::{self, Connection};
use crate::cut_off::{Bound, record_cut_off};
use crate::grading::Grading;
use crate::in_flight::InFlight;
use crate::protocol::{ForwardMetadata, ResponseMetadata};
use crate::reach::{Reached, reach_engine};
use crate::request::RequestContext;
use crate::response::{ResponseBody, strip_connection_headers};
use crate::shared::lock;
use crate::{admission, body, clock, engine_end, head, load_exchange, quarantine, statement, warm_up};

/// Maximum body size of a response that is not a stream.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Fraction of the latency goal after which a stream without a response is retried if the budget allows it;
/// the rest is enough for the smallest model on an engine that is not busy.
const STREAM_RETRY_FRACTION: f64 = 0.7;

/// As [`STREAM_RETRY_FRACTION`], for idempotent calls: the duration of their work has a long tail.
const CALL_RETRY_FRACTION: f64 = 2.0;

/// Time for which a sound engine may be silent, in addition to its work; specified by the platform as a second or so.
pub(crate) const MAX_SOUND_SILENCE: Duration = Duration::from_secs(2);

/// Minimum time to wait for an attempt before a retry.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(200);

/// Response of an engine whose body has not been read.
#[derive(Debug)]
pub(crate) struct EngineResponse {
    pub head: response::Parts,
    pub metadata: ResponseMetadata,
    pub body: client::Body,
    pub grading: Option<Grading>,
    /// Times in which the body was not read.
    unread: Unread,
    /// When the request was sent.
    sent_at: BootTime,
    /// When the engine is next known to have written for a while; `None` before the first event.
    progress_at: Option<BootTime>,
    _connection: Connection,
    /// Whether the connection goes to the engine itself and not through a peer.
    pub is_direct: bool,
    pub in_flight: InFlight,
}

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The engine responded to this request.
    Responded(Box<EngineResponse>),
    /// The attempt failed.
    Failed {
        /// Kind of failure.
        failure: Failure,
        /// The engine's own error response, which may be forwarded.
        response: Option<Response<ResponseBody>>,
    },
    /// No engine that is left takes the request in time.
    NoEngine,
}

impl AttemptOutcome {
    pub(crate) fn failed(failure: Failure) -> Self {
        Self::Failed {
            failure,
            response: None,
        }
    }
}

/// Sends a request to an engine and waits for the head of the response. `last_event_id` is that of the last event that
/// the caller has, if a stream is resumed.
pub(crate) async fn attempt(context: &mut RequestContext, last_event_id: Option<u64>) -> AttemptOutcome {
    context.retry_state.begin_attempt();
    let work = context.work();
    let reached = match reach_engine(context, work).await {
        Ok(reached) => reached,
        Err(outcome) => return outcome,
    };
    let Reached {
        engine,
        arm,
        connection,
        is_direct,
        mut in_flight,
    } = reached;
    let request = match build_request(context, &engine, work, last_event_id) {
        Ok(request) => request,
        Err(err) => {
            log::error!(id = context.id, error:% = err; "request cannot be built");
            return AttemptOutcome::failed(Failure::Unreachable);
        }
    };
    if !context.mark_sent() {
        return AttemptOutcome::NoEngine;
    }
    let sent_at = clock::now();
    lock(&context.shared.statements)
        .warm_ups
        .record_request(&context.service, sent_at);
    let grading = Grading::begin(context, arm);
    let (response, connection) = match wait_for_head(context, connection.send(request)).await {
        Ok(Ok(it)) => it,
        Ok(Err(err)) if err.is_overlong() => {
            grading.discard();
            record_cut_off(&context.shared, &engine, &context.id, Bound::Head);
            return AttemptOutcome::failed(Failure::Overlong);
        }
        Ok(Err(err)) => {
            grading.discard();
            log::info!(id = context.id, engine = *engine.id, error:% = err; "no answer");
            // Through a peer, the engine need not be what broke off.
            if is_direct {
                engine_end::record_broken(&context.shared, &engine, &context.traits);
                record_failure(context, &engine, Failure::Lost, sent_at);
            }
            return AttemptOutcome::failed(Failure::Lost);
        }
        Err(_) => {
            record_failure(context, &engine, Failure::Silent, sent_at);
            return AttemptOutcome::failed(Failure::Silent);
        }
    };
    let elapsed = clock::now().saturating_sub(sent_at);
    in_flight.record_response_start();
    let (head, body) = response.into_parts();
    let metadata = context.shared.protocol.response_metadata(&head);
    // Engines that turn a request away need not name it.
    if metadata.id.as_deref().is_some_and(|it| it != context.id) {
        grading.discard();
        return foreign_response(context, &engine, head.status, &metadata);
    }
    // After a misdirected request, another engine responded.
    let own_report = metadata
        .load_report
        .filter(|_| head.status != StatusCode::MISDIRECTED_REQUEST);
    if let Some(report) = own_report {
        let now = clock::now();
        load_exchange::record_report(&context.shared, &engine, report, now);
        context
            .shared
            .record_waiting(&context.service, report.waiting, now);
    }
    let (status, id) = (head.status, &context.id);
    statement::record_response(&context.shared, &engine, status, &metadata, sent_at, id);
    if metadata.not_run && !context.shared.access(&engine, clock::now()).may_send() {
        context.tried.retain(|it| it.id != engine.id);
    }
    if metadata.not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        in_flight.record_refusal();
    }
    let engine_response = EngineResponse {
        head,
        metadata,
        body,
        grading: None,
        unread: Unread::default(),
        sent_at,
        progress_at: None,
        _connection: connection,
        is_direct,
        in_flight,
    };
    evaluate(context, &engine, grading, engine_response, elapsed).await
}

fn build_request(
    context: &RequestContext,
    engine: &Engine,
    work: Option<Work>,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let metadata = ForwardMetadata {
        engine,
        deadline: context.remaining(),
        organisation: context.organisation.as_ref().map(|it| &*it.name),
        model: context.model.as_deref(),
        last_event_id: last_event_id.or(context.metadata.last_event_id),
        urgency: matches!(context.route.kind, RouteKind::Stream { .. }).then(|| urgency(context, work)),
    };
    let mut headers = context
        .shared
        .protocol
        .forward_headers(context.headers.clone(), &metadata);
    if let Some(host) = context.headers.get(HOST) {
        headers.insert(HOST, host.clone());
    }
    let mut request = Request::builder()
        .method(context.method.clone())
        .uri(&context.target)
        .body(Full::new(context.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Urgency with which engines order a request.
pub(crate) fn urgency(context: &RequestContext, work: Option<Work>) -> Urgency {
    let own = context.organisation.as_ref().and_then(|it| it.priority);
    let position = context
        .shared
        .work_position(&context.service, work.unwrap_or_default());
    urgency::urgency(position, own.unwrap_or(context.route.priority))
}

/// Waits for the head of a response; stops early only if a retry is certain to be allowed.
async fn wait_for_head<T>(context: &mut RequestContext, head: impl Future<Output = T>) -> Result<T, Elapsed> {
    let mut head = pin!(head);
    let result = timeout(head_timeout(context), head.as_mut()).await;
    if result.is_ok() || context.remaining().is_zero() || context.reserve_retry().await {
        return result;
    }
    timeout(context.remaining(), head).await
}

/// Time to wait for the head of a response before a retry is considered.
fn head_timeout(context: &RequestContext) -> Duration {
    let remaining = context.remaining();
    let fraction = match context.route.kind {
        _ if !context.may_run_again(clock::now()) => return remaining,
        RouteKind::Call(Repeat::NonIdempotent) => return remaining,
        RouteKind::Call(Repeat::Idempotent) => CALL_RETRY_FRACTION,
        RouteKind::Stream { .. } => STREAM_RETRY_FRACTION,
    };
    let waited = clock::now().saturating_sub(context.arrived);
    let limit = context.route.latency_goal.mul_f64(fraction);
    // A request that is already late gains nothing from waiting in another queue.
    if waited + MIN_ATTEMPT_TIME > limit {
        return remaining;
    }
    (limit - waited).max(MAX_SOUND_SILENCE).min(remaining)
}

fn record_success(context: &RequestContext, engine: &Engine, ratio: f64) {
    let shared = &context.shared;
    let trial = lock(&shared.loads).record_success(engine, ratio, clock::now());
    if let Some(Trial { before, after }) = trial {
        let result = if after < before { "faster" } else { "as_slow" };
        let label = [("result", result)];
        shared.metrics.latency_trials.get_or_create(&label).inc();
        log::info!(id = context.id, engine = *engine.id, before, after, result; "latency of an engine measured again");
    }
}

/// Records the failure of an attempt that began at `began_at`.
pub(crate) fn record_failure(
    context: &RequestContext,
    engine: &Engine,
    failure: Failure,
    began_at: BootTime,
) {
    lock(&context.shared.loads).record_failure(engine, failure, clock::now());
    match failure {
        Failure::Refused => warm_up::record_outcomes(&context.shared, engine, Outcomes::of_refusal()),
        _ => warm_up::record_failure(&context.shared, engine, failure, began_at),
    }
}

/// Records a response that belongs to another request, or to none. What it states about execution says nothing about
/// this one.
fn foreign_response(
    context: &RequestContext,
    engine: &Engine,
    status: StatusCode,
    metadata: &ResponseMetadata,
) -> AttemptOutcome {
    let got = metadata.id.as_deref().unwrap_or_default();
    log::warn!(
        id = context.id, engine = *engine.id, got, status = status.as_u16();
        "not a response to this request"
    );
    // Not its attempt but this response shows that the engine is gone.
    record_failure(context, engine, Failure::Lost, clock::now());
    AttemptOutcome::failed(Failure::Lost)
}

/// Checks whether a response belongs to this request, and records it for the engine and the release.
async fn evaluate(
    context: &RequestContext,
    engine: &Arc<Engine>,
    mut grading: Grading,
    mut engine_response: EngineResponse,
    elapsed: Duration,
) -> AttemptOutcome {
    let status = engine_response.head.status;
    let metadata = &engine_response.metadata;
    match Failure::of_response(status.as_u16(), metadata.not_run) {
        Some(Failure::Misdirected) => {
            grading.discard();
            lock(&context.shared.directory).evict(&engine.id, engine.started_ms, clock::now());
            return AttemptOutcome::failed(Failure::Misdirected);
        }
        Some(Failure::Refused) => {
            grading.discard();
            record_failure(context, engine, Failure::Refused, engine_response.sent_at);
            return AttemptOutcome::failed(Failure::Refused);
        }
        _ if metadata.id.is_none() || (status.is_success() && !metadata.is_signed) => {
            grading.discard();
            return foreign_response(context, engine, status, metadata);
        }
        Some(failure) => {
            grading.record_failure();
            // Plain services fail some requests on every engine, which says nothing about the health of this one.
            if matches!(context.route.kind, RouteKind::Stream { .. }) {
                record_failure(context, engine, failure, engine_response.sent_at);
            }
            let response = engine_response.collect(context).await.ok();
            return AttemptOutcome::Failed { failure, response };
        }
        None => {}
    }
    let shared = &context.shared;
    shared.metrics.first_byte_seconds.observe(elapsed.as_secs_f64());
    let is_stream = matches!(context.route.kind, RouteKind::Stream { .. }) && status.is_success();
    let ratio = grading.record_first_byte(elapsed, is_stream).unwrap_or(1.0);
    warm_up::record_outcomes(shared, engine, Outcomes::of_response(ratio, elapsed));
    engine_response.in_flight.record_begin();
    admission::record_begin(context, &engine_response.in_flight, elapsed);
    engine_response.grading = Some(grading);
    record_success(context, engine, ratio);
    AttemptOutcome::Responded(Box::new(engine_response))
}

impl EngineResponse {
    /// Whether the framing that the engine gave the body shows its end.
    pub(crate) fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        head::is_framed(headers) && (self.is_direct || !head::is_marked_unframed(headers))
    }

    /// Records that this response is cut off; returns the failure.
    pub(crate) fn cut_off(&self, context: &RequestContext, bound: Bound) -> Failure {
        record_cut_off(&context.shared, &self.in_flight.engine, &context.id, bound)
    }

    /// The failure that an error of the body means.
    pub(crate) fn body_failure(&self, context: &RequestContext, err: &hyper::Error) -> Failure {
        match client::is_overlong(err) {
            true => self.cut_off(context, Bound::Framing),
            false => self.broken(context),
        }
    }

    /// Whether the engine may have cut the response off because it was not read.
    pub(crate) fn may_be_cut_off(&self) -> bool {
        self.unread.explains_break(self.body.waited())
    }

    /// The failure that the early end of the body means, which is recorded for the engine unless the node is to blame.
    pub(crate) fn broken(&self, context: &RequestContext) -> Failure {
        if self.may_be_cut_off() {
            return Failure::Unread;
        }
        // Through a peer, the engine need not be what broke off.
        if self.is_direct {
            engine_end::record_broken(&context.shared, &self.in_flight.engine, &context.traits);
        }
        Failure::Lost
    }

    /// Waits for what has to be done before the body is read on. The pace of an engine that is read slowly is no grade.
    pub(crate) async fn pause<T>(&mut self, work: impl Future<Output = T>) -> T {
        let (begin, waited_before) = (clock::now(), self.body.waited());
        let result = work.await;
        let pause = clock::now().saturating_sub(begin);
        self.unread.record_pause(pause, waited_before, self.body.waited());
        if self.unread.hides_pace()
            && let Some(grading) = self.grading.take()
        {
            grading.discard();
        }
        result
    }

    /// Records that events have arrived.
    pub(crate) fn record_events(&mut self, context: &RequestContext) {
        let now = clock::now();
        let due = *self.progress_at.get_or_insert(now + Quarantine::PROGRESS_TIME);
        if due <= now {
            self.progress_at = Some(now + Quarantine::PROGRESS_TIME);
            quarantine::record_progress(context, &self.in_flight.engine, self.sent_at);
        }
    }

    /// Records that this response is complete.
    pub(crate) fn record_complete(&self, context: &RequestContext) {
        if self.head.status.is_success() {
            quarantine::record_served(context, &self.in_flight.engine, self.sent_at);
        }
    }

    /// Reads the whole body before the deadline of the request, unless the caller must not get a response with this status.
    pub(crate) async fn collect(
        mut self,
        context: &RequestContext,
    ) -> Result<Response<ResponseBody>, Failure> {
        let status = self.head.status.as_u16();
        if !context.retry_state.permits(status) {
            context.shared.metrics.responses_withheld.inc();
            let engine = &*self.in_flight.engine.id;
            log::info!(id = context.id, engine, status; "response withheld: its status says that nothing ran");
            return Err(Failure::Failed);
        }
        let memory = &context.shared.response_memory;
        let read = body::read(&mut self.body, MAX_RESPONSE_BYTES, memory);
        let body = match timeout(context.remaining(), read).await {
            Ok(Ok(body)) => body,
            Ok(Err(body::Error::TooLong(_) | body::Error::TooManyFrames)) => {
                return Err(self.cut_off(context, Bound::Body));
            }
            Ok(Err(body::Error::NoMemory)) => return Err(self.cut_off(context, Bound::Memory)),
            Ok(Err(body::Error::Broken(err))) => return Err(self.body_failure(context, &err)),
            Err(_) => return Err(Failure::Silent),
        };
        self.record_complete(context);
        let Self { mut head, .. } = self;
        strip_connection_headers(&mut head.headers);
        Ok(Response::from_parts(
            head,
            ResponseBody::Complete(Full::new(body)),
        ))
    }
}
