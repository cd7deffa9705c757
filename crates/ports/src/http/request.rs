//! Sends an HTTP request exactly once and tells failures before it was sent from those after.

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

/// Maximum size of a reply body that is read into memory.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// Maximum size of a body that is assumed to fit into the socket buffers: half of the usual receive buffer.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// Failure of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte of the body was written to a connection, so the server did not execute the request.
    NotSent,
    /// A time-out expired after sending began.
    Timeout,
    /// The connection failed after sending began, or the reply has an unexpected status.
    Broken,
    /// The reply cannot be parsed or is too large.
    Malformed,
}

/// Time-outs of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Time-out for establishing the connection.
    pub connect: Duration,
    /// Maximum wait for the next bytes of the reply.
    pub read: Duration,
    /// Time-out for the whole exchange; `None` for streams.
    pub whole: Option<Duration>,
}

/// An HTTP request.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub method: &'a str,
    pub address: SocketAddr,
    /// Path and query.
    pub path: &'a str,
    pub headers: Vec<(&'static str, &'a str)>,
    pub body: &'a [u8],
    pub limits: Limits,
}

impl Limits {
    /// Time-outs for a request whose reply is read as a whole.
    pub(super) fn exchange(connect: Duration, whole: Duration) -> Self {
        Self {
            connect: connect.min(whole),
            read: whole,
            whole: Some(whole),
        }
    }
}

impl Request<'_> {
    /// Sends the request and waits for the status line and header fields of the reply.
    pub(super) fn send(&self) -> Result<Response, Failure> {
        let sending_began = Cell::new(false);
        self.try_send(&sending_began)
            .map_err(|err| convert_error(&err, sending_began.get()))
    }

    fn try_send(&self, sending_began: &Cell<bool>) -> attohttpc::Result<Response> {
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
                sending_began,
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

/// Sends a JSON body and returns the reply, whatever its status.
pub(super) fn post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    value: &T,
    limits: Limits,
) -> Result<Response, Failure> {
    let body = serde_json::to_vec(value).map_err(|_| Failure::NotSent)?;
    post_json(address, path, &body, limits)
}

/// Sends a JSON body and waits for the header of the reply, at most for the connect and read time-outs
/// together.
///
/// There is no time-out for writes, and a write blocks once the socket buffers are full if the peer does not
/// read: on loopback a body of 2 MiB is written and one of 4 MiB blocks. A large body is therefore written by
/// a separate thread, which is abandoned if it does not finish in time.
pub(super) fn post_stream<T: Serialize>(
    address: SocketAddr,
    path: &'static str,
    value: &T,
    limits: Limits,
) -> Result<Response, Failure> {
    let body = serde_json::to_vec(value).map_err(|_| Failure::NotSent)?;
    if body.len() <= MAX_BUFFERED_BODY_BYTES {
        return post_json(address, path, &body, limits);
    }
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        // If the receiver has timed out, the reply is dropped, which closes the connection.
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

/// Gets a JSON resource; any status other than 2xx is a failure.
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

/// Reads the whole body of a reply as JSON.
pub(super) fn json<T: DeserializeOwned>(reply: Response) -> Result<T, Failure> {
    serde_json::from_slice(&bytes(reply)?).map_err(|_| Failure::Malformed)
}

/// Reads the whole body of a reply.
pub(super) fn bytes(reply: Response) -> Result<Vec<u8>, Failure> {
    let (_, headers, reader) = reply.split();
    let header = headers.get("Content-Length");
    let length: Option<u64> = header.and_then(|it| it.to_str().ok()?.parse().ok());
    let mut body = Vec::new();
    reader
        .take(MAX_REPLY_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|err| io_failure(&err))?;
    if body.len() as u64 > MAX_REPLY_BYTES {
        return Err(Failure::Malformed);
    }
    // attohttpc accepts the end of the connection as the end of a body that is shorter than `Content-Length`.
    if length.is_some_and(|it| it > body.len() as u64) {
        return Err(Failure::Broken);
    }
    Ok(body)
}

/// Whether the server replied that it did not execute the call.
pub(super) fn is_not_executed(reply: &Response) -> bool {
    reply
        .headers()
        .get(RAN_HEADER)
        .is_some_and(|it| it.as_bytes() == b"no")
}

/// Converts an I/O error that occurred after sending began.
pub(super) fn io_failure(err: &io::Error) -> Failure {
    match err.kind() {
        // On Unix a socket read that times out fails with `WouldBlock`.
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Failure::Timeout,
        io::ErrorKind::InvalidData => Failure::Malformed,
        _ => Failure::Broken,
    }
}

fn convert_error(err: &attohttpc::Error, sending_began: bool) -> Failure {
    if !sending_began {
        return Failure::NotSent;
    }
    match err.kind() {
        ErrorKind::Io(err) => io_failure(err),
        ErrorKind::InvalidResponse(_) => Failure::Malformed,
        _ => Failure::Broken,
    }
}

/// Request body that records when attohttpc begins to write it, which happens only on an established
/// connection.
///
/// Error kinds cannot tell whether sending began, since `ECONNREFUSED` and `ETIMEDOUT` also occur on
/// established connections.
#[derive(Debug)]
struct TrackedBody<'a> {
    bytes: &'a [u8],
    sending_began: &'a Cell<bool>,
}

impl Body for TrackedBody<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        // Also used for an empty body, because `write` is not called for `BodyKind::Empty`.
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.sending_began.set(true);
        writer.write_all(self.bytes)
    }
}
