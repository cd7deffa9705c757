//! A request of a caller and the channel for its response.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use super::dispatch::RequestSlot;
use super::events::{EventStream, MAX_QUEUED_EVENTS};
use super::reply::Reply;
use super::response_body::ResponseBody;

/// A request whose response has not started.
#[derive(Debug)]
pub(crate) struct Exchange {
    head: Parts,
    body: Incoming,
    peer: SocketAddr,
    response: oneshot::Sender<Response<ResponseBody>>,
    runtime: Handle,
    slot: Option<Arc<RequestSlot>>,
}

impl Exchange {
    /// Wraps a request. Must be called on the runtime of the connections.
    pub(super) fn new(
        request: Request<Incoming>,
        peer: SocketAddr,
        response: oneshot::Sender<Response<ResponseBody>>,
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

    /// Attaches the request's slot, which is held until the response has been sent.
    pub(super) fn attach_slot(&mut self, slot: Arc<RequestSlot>) {
        self.slot = Some(slot);
    }

    /// Method in upper case.
    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Method to route by: `GET` for `HEAD`, because both have the same response headers.
    ///
    /// hyper omits the body of the response to `HEAD`.
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

    /// Whether all header values are visible ASCII; [`Self::header`] cannot tell others from absent ones.
    pub(super) fn is_ascii(&self) -> bool {
        self.head.headers.values().all(|it| it.to_str().is_ok())
    }

    /// Total size of the request target and all headers.
    pub(crate) fn header_bytes(&self) -> usize {
        let headers = self.head.headers.iter();
        let sizes = headers.map(|(name, value)| name.as_str().len() + value.len());
        self.url().len() + sizes.sum::<usize>()
    }

    /// Whether the caller connected over the loopback interface.
    pub(crate) fn is_loopback(&self) -> bool {
        self.peer.ip().is_loopback()
    }

    /// Whether the caller has disconnected before the response.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.response.is_closed()
    }

    /// Body of the request and the runtime that reads it.
    pub(super) fn body(&mut self) -> (&mut Incoming, &Handle) {
        (&mut self.body, &self.runtime)
    }

    /// Sends a complete response.
    pub(crate) fn respond(self, reply: Reply) {
        let mut response = Response::new(ResponseBody::whole(reply.body, self.slot));
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        insert_headers(response.headers_mut(), &reply.headers);
        // The send fails only if the caller has disconnected.
        self.response.send(response).ok();
    }

    /// Starts a response of server-sent events.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub(crate) fn stream(self, headers: &[(&'static str, String)]) -> Result<EventStream> {
        let (sender, parts) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut response = Response::new(ResponseBody::stream(parts, self.slot));
        let map = response.headers_mut();
        map.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        map.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        insert_headers(map, headers);
        let sent = self.response.send(response);
        sent.map_err(|_| std::io::Error::from(ErrorKind::BrokenPipe))?;
        Ok(EventStream::new(sender))
    }
}

/// Adds headers; those that are not valid in HTTP are omitted.
fn insert_headers(map: &mut HeaderMap, headers: &[(&'static str, String)]) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            map.insert(name, value);
        }
    }
}
