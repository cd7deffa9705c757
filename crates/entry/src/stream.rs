//! Forwards the events of an engine to a caller, and resumes the stream on another engine after a failure.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use forward::event_stream::{Cursor, Delivery, Splitter};
use forward::retry::Failure;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout;

use crate::attempt::{AttemptOutcome, EngineResponse, attempt};
use crate::clock;
use crate::request::RequestContext;
use crate::response::{ResponseBody, StreamBroken, strip_connection_headers};

/// Batches of events buffered for a slow caller.
const BUFFERED_BATCHES: usize = 16;

/// Fraction of the maximum event gap after which a silent engine is abandoned; the rest is left for the next
/// engine.
const GAP_FRACTION: f64 = 0.7;

/// Maximum event gap of routes that do not configure one.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_secs(5);

/// Starts the response with the head received from the first engine.
pub(crate) fn start(context: RequestContext, engine_response: EngineResponse) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(BUFFERED_BATCHES);
    let mut head = engine_response.head.clone();
    strip_connection_headers(&mut head.headers);
    tokio::spawn(forward_stream(context, engine_response, sender));
    Response::from_parts(head, ResponseBody::Events(receiver))
}

/// How reading from an engine ended.
enum ReadEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    Disconnected,
    /// The engine failed.
    Failed(Failure),
}

async fn forward_stream(
    mut context: RequestContext,
    mut engine_response: EngineResponse,
    sender: Sender<Result<Bytes, StreamBroken>>,
) {
    let mut cursor = Cursor::after(context.metadata.last_event_id);
    loop {
        match forward_events(&mut context, &mut engine_response, &mut cursor, &sender).await {
            ReadEnd::Complete => return context.log_end(200, "streamed"),
            ReadEnd::Disconnected => return context.log_end(499, "caller left"),
            ReadEnd::Failed(failure) => {
                // Closing the connection first stops the engine before another one resumes the stream.
                drop(engine_response);
                match resume(&mut context, failure, cursor, &sender).await {
                    Some(it) => engine_response = it,
                    None => break,
                }
            }
        }
    }
    if sender.is_closed() {
        return context.log_end(499, "caller left");
    }
    context.shared.metrics.streams_broken.inc();
    context.log_end(502, "stream broken");
    // The error closes the connection without the terminating chunk, so that the body does not look complete.
    if sender.send(Err(StreamBroken)).await.is_err() {
        log::debug!("the caller disconnected before its stream broke off");
    }
}

/// Forwards complete events until the engine's stream ends.
async fn forward_events(
    context: &mut RequestContext,
    engine_response: &mut EngineResponse,
    cursor: &mut Cursor,
    sender: &Sender<Result<Bytes, StreamBroken>>,
) -> ReadEnd {
    let mut splitter = Splitter::default();
    let max_gap = context
        .route
        .max_event_gap
        .unwrap_or(DEFAULT_MAX_EVENT_GAP)
        .mul_f64(GAP_FRACTION);
    loop {
        // A silent engine is no reason to end a response that no other engine can resume.
        let limit = match context.retry_state.may_run_again(clock::now()) {
            true => max_gap.min(context.remaining()),
            false => context.remaining(),
        };
        let frame = tokio::select! {
            it = timeout(limit, engine_response.body.frame()) => it,
            () = sender.closed() => return ReadEnd::Disconnected,
        };
        match frame {
            Err(_) if context.remaining().is_zero() || context.reserve_retry() => {
                return ReadEnd::Failed(Failure::Silent);
            }
            Err(_) => continue,
            Ok(Some(Err(_))) => return ReadEnd::Failed(Failure::Lost),
            Ok(None) if splitter.partial_event().is_empty() => {
                if let Some(grading) = &mut engine_response.grading {
                    grading.record_end();
                }
                return ReadEnd::Complete;
            }
            Ok(None) => return ReadEnd::Failed(Failure::Lost),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                splitter.push(&data);
            }
        }
        let (batch, is_contiguous) = take_events(&mut splitter, cursor);
        if let Some(grading) = &mut engine_response.grading {
            grading.record_events(batch.count);
        }
        if !batch.bytes.is_empty() && sender.send(Ok(batch.bytes.freeze())).await.is_err() {
            return ReadEnd::Disconnected;
        }
        if !is_contiguous || splitter.is_overlong() {
            return ReadEnd::Failed(Failure::Lost);
        }
    }
}

/// Complete events that the caller lacks.
#[derive(Debug, Default)]
struct Batch {
    bytes: BytesMut,
    count: u32,
}

/// Takes all complete events that the caller lacks; `false` if events before the next one are missing.
fn take_events(splitter: &mut Splitter, cursor: &mut Cursor) -> (Batch, bool) {
    let mut batch = Batch::default();
    while let Some(event) = splitter.next_event() {
        match cursor.advance(event.id) {
            Delivery::Deliver => {
                batch.bytes.extend_from_slice(&event.bytes);
                batch.count += 1;
            }
            Delivery::Duplicate => {}
            Delivery::Gap => return (batch, false),
        }
    }
    (batch, true)
}

/// Resumes the stream on another engine if the retry policy and the caller allow it.
async fn resume(
    context: &mut RequestContext,
    failure: Failure,
    cursor: Cursor,
    sender: &Sender<Result<Bytes, StreamBroken>>,
) -> Option<EngineResponse> {
    let mut failure = failure;
    loop {
        if !cursor.can_resume() {
            return None;
        }
        // The response has already begun, so without another attempt it can only be aborted.
        if context.record_failure(failure).is_some() {
            return None;
        }
        let outcome = tokio::select! {
            it = attempt(context, cursor.last()) => it,
            () = sender.closed() => return None,
        };
        failure = match outcome {
            AttemptOutcome::Responded(engine_response) if engine_response.head.status.is_success() => {
                context.shared.metrics.streams_resumed.inc();
                return Some(engine_response);
            }
            AttemptOutcome::Responded(_) => Failure::Failed,
            AttemptOutcome::Failed { failure, .. } => failure,
            AttemptOutcome::NoEngine | AttemptOutcome::Limited(_) => return None,
        };
    }
}
