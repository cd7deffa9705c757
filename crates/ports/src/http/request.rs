//! One HTTP request, sent once, with exact knowledge of how far it got.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::RAN_HEADER;

/// Largest reply that is read into memory, in bytes.
const REPLY_LIMIT: u64 = 16 << 20;

/// Largest body that the buffers of a connection are taken to hold, in bytes; half of the usual receive buffer.
const BUFFERED_BODY: usize = 64 << 10;

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request was not sent.
    NotSent,
    /// A time-out passed after the request was sent.
    Timeout,
    /// The connection broke after the request was sent.
    Broken,
    /// The reply is malformed.
    Malformed,
}

/// Time limits of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Time-out for the connection.
    pub connect: Duration,
    /// Greatest wait for the next bytes of the reply.
    pub read: Duration,
    /// Time-out for the whole exchange; `None` for streams.
    pub whole: Option<Duration>,
}

/// A request to be sent once.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub method: &'a str,
    pub address: SocketAddr,
    /// Path with query.
    pub path: &'a str,
    pub headers: Vec<(&'static str, &'a str)>,
    pub body: &'a [u8],
    pub limits: Limits,
}

impl Limits {
    /// Limits of a short exchange.
    pub(super) fn exchange(connect: Duration, whole: Duration) -> Self {
        Self {
            connect: connect.min(whole),
            read: whole,
            whole: Some(whole),
        }
    }
}

impl Request<'_> {
    /// Sends the request and waits for the head of the reply.
    pub(super) fn send(&self) -> Result<Response, Failure> {
        let started = Cell::new(false);
        self.try_send(&started)
            .map_err(|err| failure(&err, started.get()))
    }

    fn try_send(&self, started: &Cell<bool>) -> attohttpc::Result<Response> {
        let slash = if self.path.starts_with('/') { "" } else { "/" };
        let url = format!("http://{}{slash}{}", self.address, self.path);
        let method = Method::from_bytes(self.method.as_bytes()).map_err(|_| ErrorKind::InvalidBaseUrl)?;
        let mut req = RequestBuilder::try_new(method, &url)?
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(self.limits.connect)
            .read_timeout(self.limits.read)
            .body(TrackedBody {
                bytes: self.body,
                started,
            });
        if let Some(whole) = self.limits.whole {
            req = req.timeout(whole);
        }
        for (name, value) in &self.headers {
            req = req.try_header(*name, *value)?;
        }
        req.try_prepare()?.send()
    }
}

/// Sends a JSON body and returns the reply whatever its status.
pub(super) fn post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
    limits: Limits,
) -> Result<Response, Failure> {
    let body = serde_json::to_vec(message).map_err(|_| Failure::NotSent)?;
    post_json(address, path, &body, limits)
}

/// Sends a JSON body and waits for the head of the reply no longer than both time-outs together.
///
/// There is no time-out for writing, and a peer that does not read blocks a write once the buffers of the connection
/// are full: on loopback a body of 2 MiB passed and one of 4 MiB blocked. A large body is therefore written by a
/// thread of its own, which is left behind if it does not end in time.
pub(super) fn post_stream<T: Serialize>(
    address: SocketAddr,
    path: &'static str,
    message: &T,
    limits: Limits,
) -> Result<Response, Failure> {
    let body = serde_json::to_vec(message).map_err(|_| Failure::NotSent)?;
    if body.len() <= BUFFERED_BODY {
        return post_json(address, path, &body, limits);
    }
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        // Without a receiver the reply is dropped, which closes the connection.
        let _ = sender.send(post_json(address, path, &body, limits));
    });
    let reply = receiver.recv_timeout(limits.connect + limits.read);
    reply.unwrap_or(Err(Failure::Timeout))
}

fn post_json(address: SocketAddr, path: &str, body: &[u8], limits: Limits) -> Result<Response, Failure> {
    Request {
        method: "POST",
        address,
        path,
        headers: vec![("Content-Type", "application/json")],
        body,
        limits,
    }
    .send()
}

/// Reads a resource; any status other than 2xx is a failure.
pub(super) fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    limits: Limits,
) -> Result<T, Failure> {
    let reply = Request {
        method: "GET",
        address,
        path,
        headers: Vec::new(),
        body: &[],
        limits,
    }
    .send()?;
    if !reply.is_success() {
        return Err(Failure::Broken);
    }
    json(reply)
}

/// Reads a whole reply as JSON.
pub(super) fn json<T: DeserializeOwned>(reply: Response) -> Result<T, Failure> {
    serde_json::from_slice(&bytes(reply)?).map_err(|_| Failure::Malformed)
}

/// Reads a whole reply.
pub(super) fn bytes(reply: Response) -> Result<Vec<u8>, Failure> {
    let (_, headers, reader) = reply.split();
    let header = headers.get("Content-Length");
    let length: Option<u64> = header.and_then(|it| it.to_str().ok()?.parse().ok());
    let mut body = Vec::new();
    reader
        .take(REPLY_LIMIT + 1)
        .read_to_end(&mut body)
        .map_err(|err| io_failure(&err))?;
    if body.len() as u64 > REPLY_LIMIT {
        return Err(Failure::Malformed);
    }
    // attohttpc takes the end of the connection as the end of a body, even before the stated length.
    if length.is_some_and(|it| it > body.len() as u64) {
        return Err(Failure::Broken);
    }
    Ok(body)
}

/// Whether the server states that it did not run the call.
pub(super) fn states_not_run(reply: &Response) -> bool {
    reply
        .headers()
        .get(RAN_HEADER)
        .is_some_and(|it| it.as_bytes() == b"no")
}

/// Classifies a failure after the request was sent.
pub(super) fn io_failure(err: &io::Error) -> Failure {
    match err.kind() {
        // A read time-out of a socket surfaces as `WouldBlock` on Unix.
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Failure::Timeout,
        io::ErrorKind::InvalidData => Failure::Malformed,
        _ => Failure::Broken,
    }
}

fn failure(err: &attohttpc::Error, started: bool) -> Failure {
    if !started {
        return Failure::NotSent;
    }
    match err.kind() {
        ErrorKind::Io(err) => io_failure(err),
        ErrorKind::InvalidResponse(_) => Failure::Malformed,
        _ => Failure::Broken,
    }
}

/// Body that notes when it is handed to the connection, which happens only after the connection is established.
///
/// Error kinds do not prove this: `ECONNREFUSED` and `ETIMEDOUT` can also occur on an established connection.
#[derive(Debug)]
struct TrackedBody<'a> {
    bytes: &'a [u8],
    started: &'a Cell<bool>,
}

impl Body for TrackedBody<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        // An empty body has a known length as well, since `write` is not called for `BodyKind::Empty`.
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.started.set(true);
        writer.write_all(self.bytes)
    }
}
