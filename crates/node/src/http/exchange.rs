//! A request of a caller, until it is answered.

use tiny_http::{Header, Request, Response};

use super::events::Events;
use super::reply::Reply;

/// Length from which a declared body must not be dropped.
///
/// On drop, the HTTP library allocates a buffer as long as the unread rest of the body, and a failed allocation ends
/// the process: one request that declares 100 TB did so. The settings allow bodies up to this length.
const MAX_DROPPED_BYTES: usize = 1 << 30;

/// A request that has not been answered.
#[derive(Debug)]
pub(crate) struct Exchange {
    request: Request,
}

impl Exchange {
    /// Wraps a request.
    pub(crate) fn new(request: Request) -> Self {
        Self { request }
    }

    /// Gives up a request whose declared body is absurdly long, and returns any other.
    ///
    /// Its connection is leaked, because neither an answer nor a plain drop is safe.
    pub(crate) fn droppable(self) -> Option<Self> {
        if self
            .request
            .body_length()
            .is_none_or(|it| it <= MAX_DROPPED_BYTES)
        {
            return Some(self);
        }
        std::mem::forget(self);
        None
    }

    /// Method in capitals.
    pub(crate) fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Path without the query.
    pub(crate) fn path(&self) -> &str {
        let url = self.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Path with the query.
    pub(crate) fn url(&self) -> &str {
        self.request.url()
    }

    /// Value of the first header with this name.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        let header = self.request.headers().iter().find(|it| it.field.equiv(name));
        header.map(|it| it.value.as_str())
    }

    /// Size of the request target and all headers in bytes.
    pub(crate) fn header_bytes(&self) -> usize {
        let headers = self.request.headers().iter();
        let sizes = headers.map(|it| it.field.as_str().as_str().len() + it.value.len());
        self.url().len() + sizes.sum::<usize>()
    }

    /// Whether the caller runs on this host.
    pub(crate) fn is_loopback(&self) -> bool {
        self.request.remote_addr().is_some_and(|it| it.ip().is_loopback())
    }

    /// The underlying request, for reading its body.
    pub(super) fn request(&mut self) -> &mut Request {
        &mut self.request
    }

    /// Sends a complete response.
    pub(crate) fn respond(self, reply: Reply) {
        let headers = reply
            .headers
            .iter()
            .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok());
        let mut response = Response::from_data(reply.body).with_status_code(reply.status);
        for header in headers {
            response.add_header(header);
        }
        // A caller that has gone needs no answer.
        self.request.respond(response).ok();
    }

    /// Starts a response of server-sent events.
    ///
    /// # Errors
    /// The caller has gone.
    pub(crate) fn stream(self, headers: &[(&'static str, String)]) -> std::io::Result<Events> {
        let version = self.request.http_version().clone();
        Events::start(self.request.into_writer(), &version, headers)
    }
}
