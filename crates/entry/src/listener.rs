//! Listening sockets and connections of callers.

use std::error::Error as _;
use std::future::pending;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::detour::{NoResponse, Passage};
use crate::open_requests::OpenSocket;
use crate::response::TrackedBody;
use crate::shared::{Shared, lock};
use crate::write_timeout::WriteTimeout;
use crate::{control, explain, keep_alive, relay, request};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, which would fail again at once while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time in which the first byte on a connection that waited to be accepted is read before a stopping node closes it.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(30);

/// Descriptors for files, connections to the store, and the sockets of the node itself.
const RESERVED_DESCRIPTORS: usize = 300;

/// Part of the other descriptors that connections of callers may take. Most of these connections are idle; the
/// rest is for connections to engines.
const CALLER_FRACTION: f64 = 2.0 / 3.0;

/// Idle timeout of a connection until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of a request head until a configuration is known. hyper requires at least 8 KiB.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;
const MIN_MAX_HEAD_BYTES: usize = 8 << 10;

/// What a socket serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// Requests of callers.
    Entry,
    /// Readiness probes, entry addresses, and requests of operators. Callers may reach it.
    Directory,
    /// The same, and requests of other nodes, which get what callers must not have.
    Control,
}

impl Role {
    /// Maximum number of open connections.
    fn max_connections(self, descriptors: usize) -> usize {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        match self {
            Self::Entry => (available as f64 * CALLER_FRACTION) as usize,
            Self::Directory | Self::Control => Semaphore::MAX_PERMITS,
        }
    }
}

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, those of callers until the node closes, and others until the process ends.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener, role: Role) {
    let open = || (role == Role::Entry).then(|| OpenSocket::begin(&shared));
    let _open = open();
    let mut closes = pin!(async {
        match role {
            Role::Entry => shared.closes().await,
            Role::Directory | Role::Control => pending().await,
        }
    });
    let free = Arc::new(Semaphore::new(
        role.max_connections(shared.settings().node.descriptors),
    ));
    loop {
        let accepted = tokio::select! {
            biased;
            // Connections that already wait are served.
            it = listener.accept() => it,
            () = closes.as_mut() => return,
        };
        match accepted {
            Ok((stream, from)) => match free.clone().try_acquire_owned() {
                Ok(permit) => {
                    let connection = serve(shared.clone(), stream, from.ip(), role, open());
                    tokio::spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                // The connection is closed unread, so the caller knows that its request did not run.
                Err(_) => record_cut_off(&shared, "connections", "too many connections"),
            },
            Err(err) => {
                log::warn!(error:% = err; "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, from: IpAddr, role: Role, _open: Option<OpenSocket>) {
    // Otherwise an event is delayed until the one before it is acknowledged.
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY: {err}");
    }
    shared.metrics.connections.inc();
    let limits = lock(&shared.configuration).value().map(|it| it.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.idle_timeout);
    let max_head = limits
        .map_or(DEFAULT_MAX_HEAD_BYTES, |it| it.max_header_bytes)
        .max(MIN_MAX_HEAD_BYTES);
    let is_leaving = shared.is_leaving();
    keep_alive::try_set(&stream, idle_timeout);
    // A caller that reads nothing would otherwise hold its response and its connection for good.
    let stream = WriteTimeout::new(stream, idle_timeout);
    let reset = stream.reset();
    let passage = Passage::new(from);
    let knows_chunks = AtomicBool::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        knows_chunks.store(request.version() > Version::HTTP_10, Ordering::Relaxed);
        respond(shared.clone(), role, &passage, request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout of hyper also covers the wait for the first byte.
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head)
        // A connection that is accepted while the node is stopping serves one request.
        .keep_alive(!is_leaving)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        biased;
        it = connection.as_mut() => it,
        () = last_use(&shared, role, is_leaving) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        // A response without chunks ends with its connection, so one that breaks off must not end like that.
        if !knows_chunks.load(Ordering::Relaxed) {
            reset.request();
        }
        record_error(&shared, &err);
    }
    shared.metrics.connections.dec();
}

/// Logs the error that ended a connection, and counts it if the caller exceeded a bound.
fn record_error(shared: &Shared, err: &hyper::Error) {
    let cause = err.source().and_then(|it| it.downcast_ref::<io::Error>());
    let bound = match cause.map(io::Error::kind) {
        _ if err.is_parse_too_large() => "head",
        Some(io::ErrorKind::TimedOut) => "write_timeout",
        _ => {
            log::debug!("connection of a caller: {err}");
            return;
        }
    };
    record_cut_off(shared, bound, &err.to_string());
}

fn record_cut_off(shared: &Shared, bound: &'static str, error: &str) {
    let label = [("bound", bound)];
    shared.metrics.connections_cut_off.get_or_create(&label).inc();
    log::info!(bound, error; "connection of a caller cut off");
}

/// Completes when a connection is closed unless a request is in progress on it.
async fn last_use(shared: &Shared, role: Role, accepted_while_leaving: bool) {
    match (role, accepted_while_leaving) {
        // Callers use an open connection until a response or the end of the connection tells them of the stop.
        (Role::Entry, false) => shared.stop_reaches(|it| it.addresses_expired).await,
        (Role::Entry, true) => {
            shared.closes().await;
            sleep(FIRST_BYTE_TIME).await;
        }
        (Role::Directory | Role::Control, false) => shared.stop_reaches(|_| Duration::ZERO).await,
        (Role::Directory | Role::Control, true) => pending().await,
    }
}

async fn respond(
    shared: Arc<Shared>,
    role: Role,
    passage: &Passage,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody>, NoResponse> {
    let mut response = match role {
        Role::Entry => request::handle(shared.clone(), request).await,
        Role::Directory => {
            let (head, _) = request.into_parts();
            control::handle(&shared, &head).map(TrackedBody::untracked)
        }
        Role::Control => match passage.serve(&shared, request).await {
            Ok(response) => response?,
            Err(request) => {
                let (head, _) = request.into_parts();
                let response = relay::operators::respond(&shared, head.uri.path());
                let response = response.or_else(|| explain::respond(&shared, &head));
                let response = response.unwrap_or_else(|| control::handle(&shared, &head));
                response.map(TrackedBody::untracked)
            }
        },
    };
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().append(CONNECTION, close);
    }
    Ok(response)
}
