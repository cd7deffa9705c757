//! HTTP server of a fake. Each request has a thread of its own, so that a delayed one does not block others.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Header, Request, Response};

use crate::Error;
use crate::faults::SharedFaults;

/// Interval at which a waiting request checks whether the fake has stopped or a fault was cleared.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Request handler of a fake.
pub(crate) trait Handler: Send + Sync + 'static {
    type Faults: Clone + Serialize + DeserializeOwned;

    fn faults(&self) -> &SharedFaults<Self::Faults>;

    fn handle(&self, call: Call);
}

/// A request that a handler has to reply to.
pub(crate) struct Call {
    pub method: String,
    /// Path without query.
    pub path: String,
    query: String,
    pub body: Vec<u8>,
    /// `None` once the reply was sent.
    request: Option<Request>,
    stopped: Arc<AtomicBool>,
}

/// A running server; dropping it stops the server and ends the requests that wait.
pub(crate) struct Server {
    address: SocketAddr,
    listener: Arc<tiny_http::Server>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Streamed body of a reply with server-sent events.
pub(crate) struct EventStream(Box<dyn Write + Send>);

impl Server {
    pub(crate) fn bind<H: Handler>(address: SocketAddr, handler: Arc<H>) -> Result<Self, Error> {
        let failed = |reason: String| Error::Bind { address, reason };
        let listener = tiny_http::Server::http(address).map_err(|err| failed(err.to_string()))?;
        let address = listener
            .server_addr()
            .to_ip()
            .ok_or_else(|| failed("not an IP address".to_owned()))?;
        let listener = Arc::new(listener);
        let stopped = Arc::new(AtomicBool::new(false));
        let thread = thread::spawn({
            let (listener, stopped) = (Arc::clone(&listener), Arc::clone(&stopped));
            move || serve(&listener, &stopped, &handler)
        });
        Ok(Self {
            address,
            listener,
            stopped,
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.listener.unblock();
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, the panic hook has already printed the message.
            let _ = thread.join();
        }
    }
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Call {
    /// Value of a header field.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let mut headers = self.request.as_ref()?.headers().iter();
        let header = headers.find(|it| it.field.as_str().as_str().eq_ignore_ascii_case(name))?;
        Some(header.value.as_str().to_owned())
    }

    /// Value of a numeric query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .find_map(|it| it.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }

    /// Sleeps for `duration`; returns false early if the fake stops.
    pub(crate) fn sleep(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        self.wait_while(|| Instant::now() < end, Some(end))
    }

    /// Keeps the connection open without a reply while `condition` holds; returns false if the fake stops.
    pub(crate) fn hold_open_while(&self, condition: impl Fn() -> bool) -> bool {
        self.wait_while(condition, None)
    }

    pub(crate) fn reply(self, status: u16, body: &Value) {
        self.reply_with(status, body, &[]);
    }

    /// Replies with an error and states that the request was not executed.
    pub(crate) fn refuse(self, status: u16, code: &str) {
        let body = json!({"error": {"code": code, "message": code, "ran": "no"}});
        self.reply_with(status, &body, &[("X-Ran", "no")]);
    }

    pub(crate) fn reply_with(mut self, status: u16, body: &Value, headers: &[(&str, &str)]) {
        let mut response = Response::from_string(body.to_string()).with_status_code(status);
        for (name, value) in [("Content-Type", "application/json")].iter().chain(headers) {
            if let Ok(header) = Header::from_bytes(*name, *value) {
                response.add_header(header);
            }
        }
        if let Some(request) = self.request.take() {
            // Sending fails if the client has disconnected, which is not a fault of the server.
            let _ = request.respond(response);
        }
    }

    /// Closes the connection without a reply, as dropping the call does.
    pub(crate) fn abort(self) {
        drop(self);
    }

    /// Starts a stream of server-sent events.
    pub(crate) fn stream(mut self) -> std::io::Result<EventStream> {
        let request = self.request.take().ok_or(std::io::ErrorKind::NotConnected)?;
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
              Connection: close\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(EventStream(writer))
    }

    /// Flag that is set when the fake stops; it can be used after the call is consumed.
    pub(crate) fn stopped(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stopped)
    }

    fn wait_while(&self, condition: impl Fn() -> bool, end: Option<Instant>) -> bool {
        wait_while(&self.stopped, condition, end)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // tiny_http replies with status 500 to a request that is dropped without a reply.
        if let Some(request) = self.request.take() {
            drop(request.into_writer());
        }
    }
}

impl EventStream {
    /// Sends one event; fails if the client has disconnected.
    pub(crate) fn send(&mut self, data: &str) -> std::io::Result<()> {
        let event = format!("data: {data}\n\n");
        // The chunked encoder of tiny_http buffers chunks until the end, so the framing is written here.
        write!(self.0, "{:x}\r\n{event}\r\n", event.len())?;
        self.0.flush()
    }

    /// Sends the last chunk; without it the client sees a truncated reply.
    pub(crate) fn finish(mut self) -> std::io::Result<()> {
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()
    }
}

/// Waits while `condition` holds; returns false if the fake stops.
pub(crate) fn wait_while(stopped: &AtomicBool, condition: impl Fn() -> bool, end: Option<Instant>) -> bool {
    while condition() {
        if stopped.load(Ordering::Relaxed) {
            return false;
        }
        let remaining = end.map_or(POLL_INTERVAL, |it| it.saturating_duration_since(Instant::now()));
        thread::sleep(remaining.min(POLL_INTERVAL));
    }
    !stopped.load(Ordering::Relaxed)
}

fn serve<H: Handler>(listener: &tiny_http::Server, stopped: &Arc<AtomicBool>, handler: &Arc<H>) {
    while !stopped.load(Ordering::Relaxed) {
        let Ok(request) = listener.recv() else { return };
        let (handler, stopped) = (Arc::clone(handler), Arc::clone(stopped));
        thread::spawn(move || dispatch(request, stopped, &*handler));
    }
}

fn dispatch<H: Handler>(mut request: Request, stopped: Arc<AtomicBool>, handler: &H) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (request.url().to_owned(), String::new()),
    };
    let is_control = path == "/control";
    let call = Call {
        method: request.method().to_string(),
        path,
        query,
        body,
        request: Some(request),
        stopped,
    };
    match call.method.as_str() {
        "POST" if is_control => update_faults(call, handler.faults()),
        "GET" if is_control => reply_with_faults(call, handler.faults()),
        _ => handler.handle(call),
    }
}

fn update_faults<F: Clone + Serialize + DeserializeOwned>(call: Call, faults: &SharedFaults<F>) {
    match faults.merge(&String::from_utf8_lossy(&call.body)) {
        Ok(()) => reply_with_faults(call, faults),
        Err(err) => call.reply(400, &json!({"error": err.to_string()})),
    }
}

fn reply_with_faults<F: Clone + Serialize + DeserializeOwned>(call: Call, faults: &SharedFaults<F>) {
    match faults.to_json().and_then(|it| serde_json::from_str(&it)) {
        Ok(value) => call.reply(200, &value),
        Err(err) => call.reply(500, &json!({"error": err.to_string()})),
    }
}
