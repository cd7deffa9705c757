//! A request of a caller, until it is answered.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use super::dispatch::Slot;
use super::events::{Events, MAX_WAITING};
use super::payload::Payload;
use super::reply::Reply;

/// A request that has not been answered.
#[derive(Debug)]
pub(crate) struct Exchange {
    head: Parts,
    body: Incoming,
    peer: SocketAddr,
    response: oneshot::Sender<Response<Payload>>,
    runtime: Handle,
    slot: Option<Arc<Slot>>,
}

impl Exchange {
    /// Wraps a request; must be called on the runtime of the connections.
    pub(super) fn new(
        request: Request<Incoming>,
        peer: SocketAddr,
        response: oneshot::Sender<Response<Payload>>,
    ) -> Self {
        let (head, body) = request.into_parts();
        Self {
            head,
            body,
            peer,
            response,
            runtime: Handle::current(),
            slot: None,
        }
    }

    /// Keeps the request among those in progress until its answer has been sent.
    pub(super) fn hold(&mut self, slot: Arc<Slot>) {
        self.slot = Some(slot);
    }

    /// Method in capitals.
    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Method of which the answer has the headers: `GET` for `HEAD`.
    ///
    /// The HTTP library leaves out the body of an answer to `HEAD`.
    pub(super) fn effective_method(&self) -> &str {
        match self.head.method {
            Method::HEAD => "GET",
            _ => self.method(),
        }
    }

    /// Path without the query.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Path with the query.
    pub(crate) fn url(&self) -> &str {
        let url = self.head.uri.path_and_query();
        url.map_or_else(|| self.path(), |it| it.as_str())
    }

    /// Value of the first header with this name.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Whether all header values are visible ASCII; others could not be told from absent ones.
    pub(super) fn is_ascii(&self) -> bool {
        self.head.headers.values().all(|it| it.to_str().is_ok())
    }

    /// Size of the request target and all headers in bytes.
    pub(crate) fn header_bytes(&self) -> usize {
        let headers = self.head.headers.iter();
        let sizes = headers.map(|(name, value)| name.as_str().len() + value.len());
        self.url().len() + sizes.sum::<usize>()
    }

    /// Whether the caller runs on this host.
    pub(crate) fn is_loopback(&self) -> bool {
        self.peer.ip().is_loopback()
    }

    /// Whether the caller disconnected before it was answered.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.response.is_closed()
    }

    /// The body of the request and the runtime on which to read it.
    pub(super) fn body(&mut self) -> (&mut Incoming, &Handle) {
        (&mut self.body, &self.runtime)
    }

    /// Sends a complete response.
    pub(crate) fn respond(self, reply: Reply) {
        let mut response = Response::new(Payload::whole(reply.body, self.slot));
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        insert(response.headers_mut(), &reply.headers);
        // A caller that has gone needs no answer.
        self.response.send(response).ok();
    }

    /// Starts a response of server-sent events.
    ///
    /// # Errors
    /// The caller has gone.
    pub(crate) fn stream(self, headers: &[(&'static str, String)]) -> Result<Events> {
        let (sender, parts) = mpsc::channel(MAX_WAITING);
        let mut response = Response::new(Payload::stream(parts, self.slot));
        let map = response.headers_mut();
        map.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        map.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        insert(map, headers);
        let sent = self.response.send(response);
        sent.map_err(|_| std::io::Error::from(ErrorKind::BrokenPipe))?;
        Ok(Events::new(sender))
    }
}

/// Adds headers; values that HTTP does not allow are left out.
fn insert(map: &mut HeaderMap, headers: &[(&'static str, String)]) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            map.insert(name, value);
        }
    }
}
