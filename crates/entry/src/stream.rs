//! Passes an engine's events on to a caller, and continues at another engine when one is lost.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use forward::event_stream::{Cursor, Delivery, Splitter};
use forward::retry::Failure;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout;

use crate::answer::{Broken, Payload, strip_connection_headers};
use crate::attempt::{Outcome, Sent, attempt};
use crate::clock;
use crate::request::Job;

/// Batches of events that wait for a caller that reads slowly.
const WAITING: usize = 16;

/// Part of the longest pause that is on time after which a silent engine is given up; the rest is for the next one.
const PATIENCE: f64 = 0.7;

/// Longest pause on routes that state none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(5);

/// Starts the answer with the head of the first engine.
pub(crate) fn start(job: Job, sent: Sent) -> Response<Payload> {
    let (sender, receiver) = mpsc::channel(WAITING);
    let mut head = sent.head.clone();
    strip_connection_headers(&mut head.headers);
    tokio::spawn(pump(job, sent, sender));
    Response::from_parts(head, Payload::Events(receiver))
}

/// How reading from one engine ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    Abandoned,
    /// The engine was lost.
    Failed(Failure),
}

async fn pump(mut job: Job, mut sent: Sent, sender: Sender<Result<Bytes, Broken>>) {
    let mut cursor = Cursor::after(job.demand.last_event);
    loop {
        match relay(&mut job, &mut sent, &mut cursor, &sender).await {
            End::Complete => return job.log_end(200, "streamed"),
            End::Abandoned => return job.log_end(499, "caller left"),
            End::Failed(failure) => {
                // Closing the connection first stops the engine before another one goes on.
                drop(sent);
                match resume(&mut job, failure, cursor, &sender).await {
                    Some(it) => sent = it,
                    None => break,
                }
            }
        }
    }
    if sender.is_closed() {
        return job.log_end(499, "caller left");
    }
    job.shared.metrics.broken.inc();
    job.log_end(502, "stream broken");
    // The error makes the connection end without the mark of a complete body.
    if sender.send(Err(Broken)).await.is_err() {
        log::debug!("the caller left before its stream broke");
    }
}

/// Passes whole events on until the engine's stream ends.
async fn relay(
    job: &mut Job,
    sent: &mut Sent,
    cursor: &mut Cursor,
    sender: &Sender<Result<Bytes, Broken>>,
) -> End {
    let mut splitter = Splitter::default();
    let pause = job.route.max_event_gap.unwrap_or(DEFAULT_PAUSE).mul_f64(PATIENCE);
    loop {
        // Silence alone is no reason to end an answer that cannot go on elsewhere.
        let limit = match job.flow.may_run_again(clock::now()) {
            true => pause.min(job.remaining()),
            false => job.remaining(),
        };
        let frame = tokio::select! {
            it = timeout(limit, sent.body.frame()) => it,
            () = sender.closed() => return End::Abandoned,
        };
        match frame {
            Err(_) if job.remaining().is_zero() || job.reserve_attempt() => {
                return End::Failed(Failure::Silent);
            }
            Err(_) => continue,
            Ok(Some(Err(_))) => return End::Failed(Failure::Lost),
            Ok(None) if splitter.partial_event().is_empty() => return End::Complete,
            Ok(None) => return End::Failed(Failure::Lost),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                splitter.push(&data);
            }
        }
        let (events, intact) = take_events(&mut splitter, cursor);
        if !events.is_empty() && sender.send(Ok(events)).await.is_err() {
            return End::Abandoned;
        }
        if !intact || splitter.is_overlong() {
            return End::Failed(Failure::Lost);
        }
    }
}

/// Takes all whole events that the caller lacks; also says whether none is missing before them.
fn take_events(splitter: &mut Splitter, cursor: &mut Cursor) -> (Bytes, bool) {
    let mut events = BytesMut::new();
    while let Some(event) = splitter.next_event() {
        match cursor.advance(event.id) {
            Delivery::Deliver => events.extend_from_slice(&event.bytes),
            Delivery::Duplicate => {}
            Delivery::Gap => return (events.freeze(), false),
        }
    }
    (events.freeze(), true)
}

/// Continues the stream at another engine, if the request may go on.
async fn resume(
    job: &mut Job,
    failure: Failure,
    cursor: Cursor,
    sender: &Sender<Result<Bytes, Broken>>,
) -> Option<Sent> {
    let mut failure = failure;
    loop {
        if !cursor.can_resume() {
            return None;
        }
        // Without another attempt the answer has begun and can only break off.
        if job.next(failure).is_some() {
            return None;
        }
        let outcome = tokio::select! {
            it = attempt(job, cursor.last()) => it,
            () = sender.closed() => return None,
        };
        failure = match outcome {
            Outcome::Answered(sent) if sent.head.status.is_success() => {
                job.shared.metrics.resumed.inc();
                return Some(sent);
            }
            Outcome::Answered(_) => Failure::Failed,
            Outcome::Failed { failure, .. } => failure,
            Outcome::NoEngine => return None,
        };
    }
}
