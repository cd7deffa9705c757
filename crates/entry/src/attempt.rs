//! One attempt of a request at one engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::configuration::RouteKind;
use forward::directory::Engine;
use forward::placement::{self, PlacementRequest};
use forward::release::{Arm, ResponseGrade, SLOW_RATIO};
use forward::retry::Failure;
use forward::work::Work;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use model::object::service::Repeat;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::answer::{Payload, strip_connection_headers};
use crate::client::{self, Connection};
use crate::clock;
use crate::dialect::{Forward, Head};
use crate::request::Job;
use crate::shared::{Shared, lock};

/// Time to connect to an engine. Domains of a region are a few milliseconds apart; a lost packet costs about 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Greatest body of an answer that is not a stream.
const MAX_ANSWER: usize = 16 << 20;

/// Part of the goal after which an attempt without an answer is given up for another one, if that is allowed; the
/// rest is enough for the smallest model on an engine that is not busy.
const STREAM_PATIENCE: f64 = 0.7;

/// As [`STREAM_PATIENCE`] for idempotent calls, whose work has a long tail.
const CALL_PATIENCE: f64 = 2.0;

/// Least time that an attempt is waited for before it is given up.
const MIN_PATIENCE: Duration = Duration::from_millis(200);

/// Urgency of the most urgent requests, and its step for each rank; engines take 0 to 9.
const FIRST_URGENCY: u8 = 2;
const URGENCY_STEP: u8 = 2;
const LAST_URGENCY: u8 = 9;

/// An engine's answer whose body is still to come.
#[derive(Debug)]
pub(crate) struct Sent {
    pub head: response::Parts,
    pub answer: Head,
    pub body: Incoming,
    _connection: Connection,
    _place: Place,
}

/// What became of an attempt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// An answer to this request has begun.
    Answered(Sent),
    /// There is no answer that counts.
    Failed {
        /// Why.
        failure: Failure,
        /// The engine's own failure, which may be passed on.
        answer: Option<Response<Payload>>,
    },
    /// No engine is left to try.
    NoEngine,
}

impl Outcome {
    fn failed(failure: Failure) -> Self {
        Self::Failed {
            failure,
            answer: None,
        }
    }
}

/// A request counted at an engine until it is dropped.
#[derive(Debug)]
struct Place {
    shared: Arc<Shared>,
    engine: Arc<Engine>,
    /// Work that counts as pending until the answer begins.
    pending: Work,
}

impl Place {
    fn take(shared: &Arc<Shared>, engine: &Arc<Engine>, work: Work) -> Self {
        lock(&shared.loads).record_sent(engine, work);
        Self {
            shared: shared.clone(),
            engine: engine.clone(),
            pending: work,
        }
    }

    /// Notes that the answer has begun.
    fn begin(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        lock(&self.shared.loads).record_response_start(&self.engine, pending);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.begin();
        lock(&self.shared.loads).record_end(&self.engine);
    }
}

/// Sends a request to an engine and waits for the head of the answer; `last_event` continues a stream behind it.
pub(crate) async fn attempt(job: &mut Job, last_event: Option<u64>) -> Outcome {
    job.flow.begin_attempt();
    let work = job.work();
    let Some((engine, arm)) = choose(job, work) else {
        return Outcome::NoEngine;
    };
    log_attempt(job, &engine, arm);
    job.arm = Some(arm);
    job.tried.push(engine.clone());
    let mut place = Place::take(&job.shared, &engine, work.unwrap_or_default());
    let limit = CONNECT_TIMEOUT.min(job.remaining());
    let ready = match client::connect(engine.address, limit).await {
        Ok(ready) => ready,
        Err(err) => {
            log::info!(id = job.id, engine = *engine.id, error:% = err; "engine unreachable");
            note_failure(job, &engine, Failure::Unreachable);
            return Outcome::failed(Failure::Unreachable);
        }
    };
    let request = match compose(job, &engine, last_event) {
        Ok(request) => request,
        Err(err) => {
            log::error!(id = job.id, error:% = err; "request cannot be composed");
            return Outcome::failed(Failure::Unreachable);
        }
    };
    job.flow.mark_sent();
    let begin = clock::now();
    let (response, connection) = match wait_for_head(job, ready.send(request)).await {
        Ok(Ok(it)) => it,
        Ok(Err(err)) => {
            log::info!(id = job.id, engine = *engine.id, error:% = err; "no answer");
            note_failure(job, &engine, Failure::Lost);
            return Outcome::failed(Failure::Lost);
        }
        Err(_) => {
            note_failure(job, &engine, Failure::Silent);
            return Outcome::failed(Failure::Silent);
        }
    };
    let elapsed = clock::now().saturating_sub(begin);
    place.begin();
    let (head, body) = response.into_parts();
    let answer = job.shared.dialect.head(&head);
    if let Some(report) = answer.report {
        lock(&job.shared.loads).record_report(&engine, report, clock::now());
    }
    let sent = Sent {
        head,
        answer,
        body,
        _connection: connection,
        _place: place,
    };
    judge(job, &engine, arm, sent, elapsed).await
}

/// One line for the choice of an engine, with what decided it.
fn log_attempt(job: &Job, engine: &Engine, arm: Arm) {
    let now = clock::now();
    let known = lock(&job.shared.loads)
        .get(engine)
        .map_or(0.0, |it| it.estimated_requests(now));
    let (waited_ms, run) = (
        now.saturating_sub(job.arrived).as_millis() as u64,
        job.flow.runs() + 1,
    );
    let (model, version) = (job.model.as_deref().unwrap_or_default(), &*engine.version);
    let session = job.demand.session.as_deref().unwrap_or_default();
    log::info!(id = job.id, session, engine = *engine.id, version, arm:?, model, load = known, run, waited_ms; "attempt");
}

fn choose(job: &Job, work: Option<Work>) -> Option<(Arc<Engine>, Arm)> {
    let now = clock::now();
    let (engines, arm) = job.shared.engines(&job.service, job.session(), now);
    let domain = &job.shared.settings().node.failure_domain;
    let demand = PlacementRequest {
        domain,
        affinity: job.affinity(),
        model: job.model.as_ref(),
        size: job.shared.size(&job.service, work, job.tried.is_empty()),
        max_in_flight: max_in_flight(job),
        tried: &job.tried,
    };
    let loads = lock(&job.shared.loads);
    let engine = placement::choose(&engines, &loads, &demand, now, &mut rand::rng())?;
    Some((engine, arm))
}

/// This node's part of the connections that an engine of the service accepts.
fn max_in_flight(job: &Job) -> u32 {
    let catalog = lock(&job.shared.catalog).value().cloned();
    let service = catalog.as_ref().and_then(|it| it.service(&job.service));
    let nodes = u32::try_from(job.shared.node_count()).unwrap_or(u32::MAX);
    service.map_or(u32::MAX, |it| (it.max_connections / nodes).max(1))
}

fn compose(
    job: &Job,
    engine: &Engine,
    last_event: Option<u64>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let forward = Forward {
        engine,
        deadline: job.remaining(),
        organisation: job.organisation.as_ref().map(|it| &*it.name),
        model: job.model.as_deref(),
        last_event: last_event.or(job.demand.last_event),
        urgency: matches!(job.route.kind, RouteKind::Stream { .. }).then(|| urgency(job)),
    };
    let mut headers = job.shared.dialect.forwarded(job.headers.clone(), &forward);
    if let Some(host) = job.headers.get(HOST) {
        headers.insert(HOST, host.clone());
    }
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(&job.target)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Requests that were already sent once go before those of the same rank.
fn urgency(job: &Job) -> u8 {
    let own = job.organisation.as_ref().and_then(|it| it.priority);
    let rank = own.unwrap_or(job.route.priority);
    let urgency = FIRST_URGENCY.saturating_add(rank.saturating_mul(URGENCY_STEP));
    let again = u8::from(job.flow.runs() > 0);
    urgency.min(LAST_URGENCY) - again
}

/// Waits for the head of an answer; gives up early only if another attempt is certain to be allowed.
async fn wait_for_head<T>(job: &mut Job, head: impl Future<Output = T>) -> Result<T, Elapsed> {
    let mut head = pin!(head);
    match timeout(patience(job), head.as_mut()).await {
        Err(_) if !job.remaining().is_zero() && !job.reserve_attempt() => {
            timeout(job.remaining(), head).await
        }
        result => result,
    }
}

/// Time to wait for the head of an answer before another attempt is considered.
fn patience(job: &Job) -> Duration {
    let remaining = job.remaining();
    let part = match job.route.kind {
        _ if !job.flow.may_run_again(clock::now()) => return remaining,
        RouteKind::Call(Repeat::NonIdempotent) => return remaining,
        RouteKind::Call(Repeat::Idempotent) => CALL_PATIENCE,
        RouteKind::Stream { .. } => STREAM_PATIENCE,
    };
    let waited = clock::now().saturating_sub(job.arrived);
    let patience = job.route.latency_goal.mul_f64(part);
    // A request that is late already gains nothing by another queue.
    if waited + MIN_PATIENCE > patience {
        return remaining;
    }
    (patience - waited).min(remaining)
}

fn note_failure(job: &Job, engine: &Engine, failure: Failure) {
    lock(&job.shared.loads).record_failure(engine, failure, clock::now());
}

/// Whether and how an answer counts for this request.
async fn judge(job: &Job, engine: &Arc<Engine>, arm: Arm, sent: Sent, elapsed: Duration) -> Outcome {
    let status = sent.head.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        lock(&job.shared.directory).evict(&engine.id, engine.started_ms, clock::now());
        return Outcome::failed(Failure::Misdirected);
    }
    if sent.answer.not_run {
        note_failure(job, engine, Failure::Refused);
        return Outcome::failed(Failure::Refused);
    }
    let foreign = sent.answer.id.as_deref() != Some(&*job.id);
    if foreign || (status.is_success() && !sent.answer.is_signed) {
        let got = sent.answer.id.as_deref().unwrap_or_default();
        log::warn!(id = job.id, engine = *engine.id, got, status = status.as_u16(); "not an answer to this request");
        note_failure(job, engine, Failure::Lost);
        return Outcome::failed(Failure::Lost);
    }
    let (shared, route) = (&job.shared, &job.route.name);
    if status.is_server_error() {
        shared.note_answer(&job.service, route, arm, ResponseGrade::Bad);
        // Plain services fail some requests wherever they run, which says nothing about the engine.
        if matches!(job.route.kind, RouteKind::Stream { .. }) {
            note_failure(job, engine, Failure::Failed);
        }
        let promises = status == StatusCode::SERVICE_UNAVAILABLE;
        let answer = sent.collect(job.remaining()).await.ok();
        return Outcome::Failed {
            failure: Failure::Failed,
            // The status alone promises that nothing ran, which this engine did not state.
            answer: answer.filter(|_| !promises),
        };
    }
    shared.metrics.first_byte.observe(elapsed.as_secs_f64());
    let usual = shared
        .usual(route, job.model.as_ref(), job.prompt_tokens())
        .unwrap_or(elapsed);
    let ratio = elapsed.as_secs_f64() / usual.as_secs_f64().max(0.001);
    lock(&shared.loads).record_success(engine, ratio, clock::now());
    if arm == Arm::Old {
        shared.note_first_byte(route, job.model.as_ref(), job.prompt_tokens(), elapsed);
    }
    let grade = if ratio > SLOW_RATIO {
        ResponseGrade::Slow
    } else {
        ResponseGrade::Good
    };
    shared.note_answer(&job.service, route, arm, grade);
    Outcome::Answered(sent)
}

impl Sent {
    /// Waits for the whole body within `limit`.
    pub(crate) async fn collect(self, limit: Duration) -> Result<Response<Payload>, Failure> {
        let Self { mut head, body, .. } = self;
        let body = match timeout(limit, Limited::new(body, MAX_ANSWER).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(Failure::Lost),
            Err(_) => return Err(Failure::Silent),
        };
        strip_connection_headers(&mut head.headers);
        Ok(Response::from_parts(head, Payload::Whole(Full::new(body))))
    }
}
