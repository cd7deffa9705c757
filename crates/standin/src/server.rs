//! HTTP server of a fake, with one thread per request, so that a delayed request does not hold up others.

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
use crate::control::Control;

/// How often a waiting request looks whether the fake stopped or a fault was switched off.
pub(crate) const POLL: Duration = Duration::from_millis(10);

/// Behaviour of a fake.
pub(crate) trait Handler: Send + Sync + 'static {
    type Faults: Clone + Serialize + DeserializeOwned;

    fn control(&self) -> &Control<Self::Faults>;

    fn handle(&self, call: Call);
}

/// A request with what the handler needs to answer it.
pub(crate) struct Call {
    pub method: String,
    /// Path without query.
    pub path: String,
    query: String,
    pub body: Vec<u8>,
    /// Present until the call is answered.
    request: Option<Request>,
    stopped: Arc<AtomicBool>,
}

/// A running server; dropping it stops the server and its waiting requests.
pub(crate) struct Server {
    address: SocketAddr,
    listener: Arc<tiny_http::Server>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Body of a reply that is sent piece by piece.
pub(crate) struct Chunks(Box<dyn Write + Send>);

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
            // A panic of the server thread was already printed.
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
    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let mut headers = self.request.as_ref()?.headers().iter();
        let header = headers.find(|it| it.field.as_str().as_str().eq_ignore_ascii_case(name))?;
        Some(header.value.as_str().to_owned())
    }

    /// Number in the query.
    pub(crate) fn query(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .find_map(|it| it.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }

    /// Sleeps, and returns whether the fake still runs.
    pub(crate) fn sleep(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        self.wait_while(|| Instant::now() < end, Some(end))
    }

    /// Keeps the connection open without a byte until the fake stops or `silent` ends; true in the second case.
    pub(crate) fn stay_silent(&self, silent: impl Fn() -> bool) -> bool {
        self.wait_while(silent, None)
    }

    pub(crate) fn reply(self, status: u16, body: &Value) {
        self.reply_with(status, body, &[]);
    }

    /// Refuses with the statement that nothing ran.
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
            // The client may be gone, which is its own concern.
            let _ = request.respond(response);
        }
    }

    /// Closes the connection without a complete reply, as does dropping the call.
    pub(crate) fn abort(self) {
        drop(self);
    }

    /// Starts a stream of server-sent events.
    pub(crate) fn stream(mut self) -> std::io::Result<Chunks> {
        let request = self.request.take().ok_or(std::io::ErrorKind::NotConnected)?;
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
              Connection: close\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Chunks(writer))
    }

    /// Flag that outlives the call and tells whether the fake stopped.
    pub(crate) fn stopped(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stopped)
    }

    fn wait_while(&self, condition: impl Fn() -> bool, end: Option<Instant>) -> bool {
        pause_while(&self.stopped, condition, end)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // A request that is dropped unanswered would get status 500 from tiny_http.
        if let Some(request) = self.request.take() {
            drop(request.into_writer());
        }
    }
}

impl Chunks {
    /// Sends one event; fails once the client is gone.
    pub(crate) fn send(&mut self, data: &str) -> std::io::Result<()> {
        let event = format!("data: {data}\n\n");
        // tiny_http's own encoder holds chunks back until the end, so the framing is written here.
        write!(self.0, "{:x}\r\n{event}\r\n", event.len())?;
        self.0.flush()
    }

    /// Ends the stream properly; without it the client sees a broken stream.
    pub(crate) fn finish(mut self) -> std::io::Result<()> {
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()
    }
}

/// Waits while `condition` holds; false if the fake stopped.
pub(crate) fn pause_while(stopped: &AtomicBool, condition: impl Fn() -> bool, end: Option<Instant>) -> bool {
    while condition() {
        if stopped.load(Ordering::Relaxed) {
            return false;
        }
        let left = end.map_or(POLL, |it| it.saturating_duration_since(Instant::now()));
        thread::sleep(left.min(POLL));
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
    let control = path == "/control";
    let call = Call {
        method: request.method().to_string(),
        path,
        query,
        body,
        request: Some(request),
        stopped,
    };
    match call.method.as_str() {
        "POST" if control => change(call, handler.control()),
        "GET" if control => show(call, handler.control()),
        _ => handler.handle(call),
    }
}

fn change<F: Clone + Serialize + DeserializeOwned>(call: Call, control: &Control<F>) {
    match control.merge(&String::from_utf8_lossy(&call.body)) {
        Ok(()) => show(call, control),
        Err(err) => call.reply(400, &json!({"error": err.to_string()})),
    }
}

fn show<F: Clone + Serialize + DeserializeOwned>(call: Call, control: &Control<F>) {
    match control.json().and_then(|it| serde_json::from_str(&it)) {
        Ok(value) => call.reply(200, &value),
        Err(err) => call.reply(500, &json!({"error": err.to_string()})),
    }
}
