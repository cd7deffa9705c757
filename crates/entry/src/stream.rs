//! Forwards the events of an engine to a caller, and resumes the stream on another engine after a failure.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use forward::event_stream::{Cursor, Delivery, Splitter};
use forward::retry::Failure;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc::{self, Sender};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::attempt::{AttemptOutcome, EngineResponse, MAX_RESPONSE_BYTES, MAX_SOUND_SILENCE, attempt};
use crate::clock;
use crate::cut_off::Bound;
use crate::memory::{self, MAX_FREE_BYTES, Reservation};
use crate::request::RequestContext;
use crate::response::{ResponseBody, strip_connection_headers};
use crate::stream_end::StreamEnd;

/// Batches of events buffered for a slow caller. Their bytes are bounded by [`MAX_FREE_BYTES`], or one batch.
const BUFFERED_BATCHES: usize = 16;

/// Maximum number of bytes of events that the caller already has, sent by an engine that was asked to resume
/// behind them.
const MAX_DUPLICATE_BYTES: usize = MAX_RESPONSE_BYTES;

/// Fraction of the maximum event gap after which a silent engine is abandoned; the rest is left for the next
/// engine.
const GAP_FRACTION: f64 = 0.7;

/// Maximum event gap of routes that do not configure one.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_secs(5);

/// Starts the response with the head received from the first engine.
pub(crate) fn start(context: RequestContext, engine_response: Box<EngineResponse>) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(BUFFERED_BATCHES);
    let is_complete = Arc::new(AtomicBool::new(false));
    let caller = Caller {
        sender,
        unsent: Arc::new(Semaphore::new(MAX_FREE_BYTES)),
        is_complete: is_complete.clone(),
    };
    let mut head = engine_response.head.clone();
    strip_connection_headers(&mut head.headers);
    tokio::spawn(forward_stream(context, engine_response, caller));
    let body = ResponseBody::Events {
        receiver,
        is_complete,
    };
    Response::from_parts(head, body)
}

/// The way to a caller. The stream breaks off when it is dropped before [`Self::complete`].
#[derive(Debug)]
struct Caller {
    sender: Sender<Bytes>,
    /// Bytes that may still be buffered until some are written to the socket.
    unsent: Arc<Semaphore>,
    is_complete: Arc<AtomicBool>,
}

/// What is kept until a batch of events was written to the socket.
type BatchGuard = (Option<OwnedSemaphorePermit>, Reservation);

impl Caller {
    /// Waits until the caller has disconnected.
    async fn disconnected(&self) {
        self.sender.closed().await;
    }

    /// Waits until all events are written to the socket.
    async fn written(&self) {
        // The semaphore is never closed.
        let _ = self.unsent.acquire_many(MAX_FREE_BYTES as u32).await;
    }

    /// Buffers a batch of events, after waiting for a slow caller.
    async fn send(&self, context: &RequestContext, events: Vec<u8>) -> Result<(), ReadEnd> {
        let mut reservation = context.shared.response_memory.reservation();
        if !reservation.try_resize(events.len()) {
            return Err(ReadEnd::NoMemory);
        }
        let bytes = events.len().min(MAX_FREE_BYTES) as u32;
        let send = async {
            let permit = self.unsent.clone().acquire_many_owned(bytes).await.ok();
            let guard: BatchGuard = (permit, reservation);
            self.sender.send(memory::hold(events, guard)).await
        };
        match timeout(context.remaining(), send).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(ReadEnd::Disconnected),
            Err(_) => Err(ReadEnd::CallerTooSlow),
        }
    }

    /// Ends a stream that is complete.
    fn complete(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// How reading from an engine ended.
enum ReadEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    Disconnected,
    /// The caller did not read the events before the deadline.
    CallerTooSlow,
    /// No memory is left for the next events.
    NoMemory,
    /// The engine failed.
    Failed(Failure),
}

async fn forward_stream(
    mut context: RequestContext,
    mut engine_response: Box<EngineResponse>,
    caller: Caller,
) {
    let form = Form::of(&engine_response.head);
    let begin = clock::now().saturating_sub(context.arrived);
    let mut cursor = Cursor::after(context.metadata.last_event_id);
    let mut splitter = Splitter::default();
    let mut may_be_whole = false;
    loop {
        let end = forward_events(
            &mut context,
            &mut engine_response,
            &mut splitter,
            &mut cursor,
            &mut may_be_whole,
            &caller,
        );
        let failure = match end.await {
            ReadEnd::Complete => {
                caller.complete();
                context.record_response_time(begin);
                return context.log_end(200, "streamed");
            }
            ReadEnd::Disconnected => return context.log_end(499, "caller left"),
            ReadEnd::CallerTooSlow => {
                let label = [("bound", "slow_stream")];
                context
                    .shared
                    .metrics
                    .connections_cut_off
                    .get_or_create(&label)
                    .inc();
                return context.log_end(504, "caller too slow");
            }
            ReadEnd::NoMemory => {
                engine_response.cut_off(&context, Bound::Memory);
                break;
            }
            ReadEnd::Failed(failure) => failure,
        };
        // An engine that is only silent may go on, also while others are asked or refuse. Its connection is closed, which
        // stops it, once another engine has resumed the stream; after any other failure it is closed before that.
        let is_alive = failure == Failure::Silent && !context.remaining().is_zero();
        let mut silent = Some(engine_response).filter(|_| is_alive);
        let arm = context.arm;
        match resume(&mut context, &form, failure, cursor, &mut silent, &caller).await {
            Some(it) => {
                engine_response = it;
                splitter = Splitter::default();
            }
            None => match silent {
                Some(it) if !caller.sender.is_closed() => {
                    log::info!(id = context.id; "silent engine kept: no other goes on with the stream");
                    context.arm = arm;
                    engine_response = it;
                }
                _ => break,
            },
        }
    }
    if caller.sender.is_closed() {
        return context.log_end(499, "caller left");
    }
    context.shared.metrics.streams_broken.inc();
    context.log_end(502, "stream broken");
}

/// Forwards complete events until the engine's stream ends.
///
/// `may_be_whole` says whether the events so far may be all of them, see [`StreamEnd`].
async fn forward_events(
    context: &mut RequestContext,
    engine_response: &mut EngineResponse,
    splitter: &mut Splitter,
    cursor: &mut Cursor,
    may_be_whole: &mut bool,
    caller: &Caller,
) -> ReadEnd {
    let mut reservation = context.shared.response_memory.reservation();
    let mut duplicate_bytes = 0;
    let max_gap = context
        .route
        .max_event_gap
        .unwrap_or(DEFAULT_MAX_EVENT_GAP)
        .mul_f64(GAP_FRACTION)
        .max(MAX_SOUND_SILENCE);
    loop {
        // An engine that always has a next frame never meets a time-out.
        if context.remaining().is_zero() {
            return ReadEnd::Failed(Failure::Silent);
        }
        // A silent engine is no reason to end a response that no other engine can resume.
        let limit = match context.may_run_again(clock::now()) {
            true => max_gap.min(context.remaining()),
            false => context.remaining(),
        };
        let frame = tokio::select! {
            it = timeout(limit, engine_response.body.frame()) => it,
            () = caller.disconnected() => return ReadEnd::Disconnected,
        };
        match frame {
            Err(_) => match context.remaining().is_zero() || context.reserve_retry().await {
                true => return ReadEnd::Failed(Failure::Silent),
                false => continue,
            },
            Ok(Some(Err(err))) => return ReadEnd::Failed(engine_response.body_failure(context, &err)),
            Ok(None) => {
                let end = StreamEnd::of(context, engine_response, splitter, *may_be_whole).await;
                *may_be_whole = matches!(end, StreamEnd::Doubtful(_));
                let failure = match end {
                    StreamEnd::Complete => {
                        if let Some(grading) = &mut engine_response.grading {
                            grading.record_end();
                        }
                        engine_response.record_complete(context);
                        return ReadEnd::Complete;
                    }
                    StreamEnd::Doubtful(failure) => {
                        let engine = &*engine_response.in_flight.engine.id;
                        log::info!(id = context.id, engine, failure = failure.as_str(); "stream may not be complete");
                        failure
                    }
                    StreamEnd::Broken => engine_response.broken(context),
                };
                return ReadEnd::Failed(failure);
            }
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                splitter.push(&data);
                *may_be_whole = false;
            }
        }
        if !reservation.try_resize(splitter.memory()) {
            return ReadEnd::NoMemory;
        }
        let batch = take_events(splitter, cursor);
        if batch.count > 0 {
            engine_response.record_events(context);
        }
        if let Some(grading) = &mut engine_response.grading {
            grading.record_events(batch.count);
        }
        if !batch.events.is_empty()
            && let Err(end) = engine_response.pause(caller.send(context, batch.events)).await
        {
            return end;
        }
        if !batch.is_contiguous {
            return ReadEnd::Failed(Failure::Lost);
        }
        duplicate_bytes += batch.duplicate_bytes;
        let bound = match () {
            () if splitter.is_overlong() => Bound::Event,
            () if duplicate_bytes > MAX_DUPLICATE_BYTES => Bound::Duplicates,
            () => continue,
        };
        return ReadEnd::Failed(engine_response.cut_off(context, bound));
    }
}

/// Complete events taken from a stream.
#[derive(Debug, Default)]
struct Batch {
    /// Those that the caller lacks.
    events: Vec<u8>,
    /// Number of these.
    count: u32,
    /// Size of the others.
    duplicate_bytes: usize,
    /// Whether no event before the next one is missing.
    is_contiguous: bool,
}

fn take_events(splitter: &mut Splitter, cursor: &mut Cursor) -> Batch {
    let mut batch = Batch::default();
    while let Some(event) = splitter.next_event() {
        if event.is_comment() {
            batch.events.extend_from_slice(&event.bytes);
            continue;
        }
        match cursor.advance(event.id) {
            Delivery::Deliver => {
                batch.events.extend_from_slice(&event.bytes);
                batch.count += 1;
            }
            Delivery::Duplicate => batch.duplicate_bytes += event.bytes.len(),
            Delivery::Gap => return batch,
        }
    }
    batch.is_contiguous = true;
    batch
}

/// What the responses of all engines of a stream have in common. One in another form, such as the text of an error,
/// continues no stream.
#[derive(Debug, PartialEq, Eq)]
struct Form {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl Form {
    fn of(head: &response::Parts) -> Self {
        Self {
            status: head.status,
            content_type: head.headers.get(CONTENT_TYPE).cloned(),
        }
    }
}

/// Waits until a silent engine writes again. A response that breaks off is dropped.
async fn writes_again(silent: &mut Option<Box<EngineResponse>>) {
    if let Some(response) = silent {
        if response.body.wait().await.is_ok() {
            return;
        }
        *silent = None;
    }
    pending::<()>().await;
}

/// Resumes the stream on another engine if the retry policy and the caller allow it, unless the `silent` one writes
/// before that.
async fn resume(
    context: &mut RequestContext,
    form: &Form,
    failure: Failure,
    cursor: Cursor,
    silent: &mut Option<Box<EngineResponse>>,
    caller: &Caller,
) -> Option<Box<EngineResponse>> {
    let mut failure = failure;
    if failure == Failure::Unread && context.may_run_again(clock::now()) {
        // The engine is as good as others, and may be the only one.
        let engine = context.engine.as_ref().map(|it| it.id.clone());
        context.tried.retain(|it| Some(&it.id) != engine.as_ref());
        // Another response would remain unread too until the caller has read this one.
        tokio::select! {
            it = timeout(context.remaining(), caller.written()) => drop(it),
            () = caller.disconnected() => return None,
        }
    }
    loop {
        if !cursor.can_resume() {
            return None;
        }
        // The response has already begun, so without another attempt it can only be aborted.
        if context.record_failure(failure).await.is_some() {
            return None;
        }
        let outcome = tokio::select! {
            it = attempt(context, cursor.last()) => it,
            () = writes_again(silent) => return None,
            () = caller.disconnected() => return None,
        };
        failure = match outcome {
            AttemptOutcome::Responded(engine_response) if Form::of(&engine_response.head) == *form => {
                context.shared.metrics.streams_resumed.inc();
                *silent = None;
                return Some(engine_response);
            }
            AttemptOutcome::Responded(engine_response) => {
                let status = engine_response.head.status.as_u16();
                log::info!(id = context.id, status; "response does not continue the stream");
                Failure::Failed
            }
            AttemptOutcome::Failed { failure, .. } => failure,
            AttemptOutcome::NoEngine => return None,
        };
    }
}
