//! Answers of the node itself, and bodies towards callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use tokio::sync::mpsc;

/// A stream broke off before its end; the caller must not take it for complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct Broken;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Known as a whole.
    Whole(Full<Bytes>),
    /// Events as they arrive.
    Events(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Whole(it) => match Pin::new(it).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(Some(Err(never))) => match never {},
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            Self::Events(it) => it.poll_recv(context).map(|it| it.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(it) => it.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(it) => it.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Why the node itself ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known yet, or it is too old to say more.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    BadKey,
    /// The configuration is too old to trust a key.
    Stale,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body did not arrive.
    BodyBroken,
    /// The process is about to end.
    Leaving,
    /// No engine can take the request now.
    NoEngine,
    /// The request was refused by engines or reached none.
    NotRun,
    /// No engine answered, and the request may have run.
    Unknown,
    /// The time is over, and the request may have run.
    TimedOut,
}

impl Refusal {
    /// Status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NotConfigured | Self::Stale | Self::Leaving | Self::NoEngine | Self::NotRun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in logs, metrics and bodies.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::Stale => "stale_configuration",
            Self::BodyTooLong => "body_too_long",
            Self::BodyBroken => "body_broken",
            Self::Leaving => "leaving",
            Self::NoEngine => "no_engine",
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// Shortest time after which it makes sense to send the request again.
    fn retry_after(self) -> Option<Duration> {
        match self {
            // Another node may have what this one lacks.
            Self::NotConfigured | Self::Stale | Self::Leaving => Some(Duration::from_millis(50)),
            // About the time in which an engine's queue moves.
            Self::NoEngine | Self::NotRun => Some(Duration::from_millis(150)),
            _ => None,
        }
    }

    /// The answer; the time to return is spread so that refused callers do not return together.
    pub(crate) fn response(self) -> Response<Payload> {
        let body = serde_json::json!({ "code": self.code(), "ran": if self.may_have_run() { "unknown" } else { "no" } });
        let mut response = whole(self.status(), "application/json", body.to_string().into());
        if let Some(least) = self.retry_after() {
            let after = least.mul_f64(rand::rng().random_range(1.0..3.0));
            let value = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()));
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

/// An answer with a whole body.
pub(crate) fn whole(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Payload> {
    let mut response = Response::new(Payload::Whole(Full::new(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: &[&str] = &[
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

/// Removes headers that concern one connection only, those that `Connection` names included; the length is set anew.
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
    for name in CONNECTION_HEADERS {
        headers.remove(*name);
    }
}
