//! Responses made by the node itself, and response bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use tokio::sync::mpsc;

use crate::detour::PassedBody;
use crate::open_requests::OpenRequest;

/// A stream ended early; the caller must not take it as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct StreamBroken;

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A complete body.
    Complete(Full<Bytes>),
    /// Events, sent as they arrive.
    Events {
        /// Batches of events.
        receiver: mpsc::Receiver<Bytes>,
        /// Whether the stream is complete if no further batch follows.
        is_complete: Arc<AtomicBool>,
    },
    /// What an engine sends to another node.
    Passed(Box<PassedBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match &mut *self {
            Self::Complete(it) => match Pin::new(it).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(Some(Err(never))) => match never {},
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            Self::Events {
                receiver,
                is_complete,
            } => match receiver.poll_recv(context) {
                Poll::Ready(Some(events)) => Poll::Ready(Some(Ok(Frame::data(events)))),
                Poll::Ready(None) if is_complete.load(Ordering::Acquire) => Poll::Ready(None),
                // The error closes the connection without the terminating chunk, so that the body does not
                // look complete.
                Poll::Ready(None) => Poll::Ready(Some(Err(StreamBroken))),
                Poll::Pending => Poll::Pending,
            },
            Self::Passed(it) => it.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(it) => it.is_end_stream(),
            Self::Events { .. } | Self::Passed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(it) => it.size_hint(),
            Self::Events { .. } | Self::Passed(_) => SizeHint::default(),
        }
    }
}

/// Body of a response that keeps its request open until it is written or dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: ResponseBody,
    _open: Option<Arc<OpenRequest>>,
}

impl TrackedBody {
    pub(crate) fn new(body: ResponseBody, open: Arc<OpenRequest>) -> Self {
        Self {
            body,
            _open: Some(open),
        }
    }

    /// Body of a response to a request that a stopping node doesn't wait for.
    pub(crate) fn untracked(body: ResponseBody) -> Self {
        Self { body, _open: None }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
/// Time in which an engine that replaces one that leaves may be listed: some reads of the list of engines.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// Minimum time after which a caller may return whose engines are all evacuated. Only operators know when that ends, and a
/// node learns of the end within about a second.
const EVACUATION_DELAY: Duration = Duration::from_secs(1);

/// Minimum time after which a caller may return: about the time in which an engine's queue advances.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Minimum time after which a caller may return whose request is held back.
const MIN_HOLD_DELAY: Duration = Duration::from_secs(1);

/// Why the node itself rejects or ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known, or it is too old to reject the request for good.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    BadKey,
    /// The configuration is too old to accept a key.
    StaleConfiguration,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The body was not received completely.
    BodyBroken,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// Other requests, or their bodies, use up the memory for them.
    NoMemory,
    /// The node is about to stop.
    Leaving,
    /// No engine can currently take the request.
    NoEngine,
    /// All engines limit the requests that they take; the next permit is free after this time.
    Limited(Duration),
    /// All engines want no requests of this node for a time; the first opens after this time.
    EnginesClosed(Duration),
    /// Neither this node nor another one reaches an engine; the next try is due after this time.
    EnginesUnreachable(Duration),
    /// All engines leave.
    EnginesLeaving,
    /// Operators have ordered to evacuate the failure domains of all engines.
    Evacuated,
    /// The request is larger than the memory of any engine.
    TooLarge,
    /// Requests like this one end engines; the next one is let through after this time.
    HeldBack(Duration),
    /// No engine is expected to begin to answer in time; the caller may return after this time.
    Overloaded(Duration),
    /// Engines refused the request, or it reached none.
    NotRun,
    /// No engine responded, and the request may have run.
    Unknown,
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

impl Refusal {
    /// Status of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NotConfigured
            | Self::StaleConfiguration
            | Self::NoMemory
            | Self::Leaving
            | Self::NoEngine
            | Self::Limited(_)
            | Self::EnginesClosed(_)
            | Self::EnginesUnreachable(_)
            | Self::EnginesLeaving
            | Self::Evacuated
            | Self::TooLarge
            | Self::HeldBack(_)
            | Self::Overloaded(_)
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in logs, metrics and response bodies.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::StaleConfiguration => "stale_configuration",
            Self::BodyTooLarge => "body_too_long",
            Self::BodyBroken => "body_broken",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "no_memory",
            Self::Leaving => "leaving",
            Self::NoEngine => "no_engine",
            Self::Limited(_) => "engine_limit",
            Self::EnginesClosed(_) => "engines_closed",
            Self::EnginesUnreachable(_) => "engines_unreachable",
            Self::EnginesLeaving => "engines_leaving",
            Self::Evacuated => "evacuated",
            Self::TooLarge => "too_large",
            Self::HeldBack(_) => "held_back",
            Self::Overloaded(_) => "overloaded",
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// Minimum time after which a retry by the caller makes sense.
    fn retry_after(self) -> Option<Duration> {
        match self {
            // Another node may already have the configuration, or may not be stopping.
            Self::NotConfigured | Self::StaleConfiguration | Self::Leaving => Some(Duration::from_millis(50)),
            Self::Limited(wait) | Self::EnginesClosed(wait) | Self::Overloaded(wait) => Some(wait),
            Self::HeldBack(wait) => Some(wait.max(MIN_HOLD_DELAY)),
            Self::EnginesUnreachable(wait) => Some(wait.max(MIN_RETRY_DELAY)),
            Self::EnginesLeaving => Some(REPLACEMENT_DELAY),
            Self::Evacuated => Some(EVACUATION_DELAY),
            Self::NoEngine | Self::NotRun | Self::NoMemory => Some(MIN_RETRY_DELAY),
            _ => None,
        }
    }

    /// The response; its `Retry-After` is randomised so that refused callers do not return together.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let ran = if self.may_have_run() { "unknown" } else { "no" };
        let body = serde_json::json!({ "code": self.code(), "ran": ran });
        let mut response = full_response(self.status(), "application/json", body.to_string().into());
        if let Some(min_delay) = self.retry_after() {
            let max_factor = match self {
                // The time is drawn already.
                Self::Overloaded(_) => 1.0,
                // The time is known, and callers should not wait much longer than needed.
                Self::EnginesClosed(_) => 1.25,
                _ => 3.0,
            };
            let delay = min_delay.mul_f64(rand::rng().random_range(1.0..=max_factor));
            // Rounded up, so that no caller returns too early.
            let hundredths = delay.as_nanos().div_ceil(10_000_000);
            let value = HeaderValue::from_str(&format!("{}.{:02}", hundredths / 100, hundredths % 100));
            if let Ok(value) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    fn may_have_run(self) -> bool {
        matches!(self, Self::Unknown | Self::TimedOut)
    }
}

/// A response with a complete body.
pub(crate) fn full_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(Full::new(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Headers that concern a single connection, or that are set again for each message.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes [`HOP_BY_HOP_HEADERS`] and the headers named in `Connection`; the length is set again for the new
/// body.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(*name);
    }
}
