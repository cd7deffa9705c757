//! Listening sockets and connections of callers.

use std::convert::Infallible;
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::response::ResponseBody;
use crate::shared::{Shared, lock};
use crate::write_timeout::WriteTimeout;
use crate::{control, request};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, which would fail again at once while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
    /// Readiness probes, entry addresses, and requests of operators.
    Control,
}

impl Role {
    /// Maximum number of open connections.
    fn max_connections(self, descriptors: usize) -> usize {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        match self {
            Self::Entry => (available as f64 * CALLER_FRACTION) as usize,
            Self::Control => Semaphore::MAX_PERMITS,
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

/// Accepts connections until the process ends.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener, role: Role) {
    let free = Arc::new(Semaphore::new(
        role.max_connections(shared.settings().node.descriptors),
    ));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match free.clone().try_acquire_owned() {
                Ok(permit) => {
                    let connection = serve(shared.clone(), stream, role);
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

async fn serve(shared: Arc<Shared>, stream: TcpStream, role: Role) {
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
    // A caller that reads nothing would otherwise hold its response and its connection for good.
    let stream = WriteTimeout::new(stream, idle_timeout);
    let mut leaving = shared.leaving.subscribe();
    let service = service_fn(|request| respond(shared.clone(), role, request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout of hyper also covers the wait for the first byte.
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head)
        // A connection that is accepted while the node is stopping serves one request.
        .keep_alive(leaving.borrow_and_update().is_none())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        it = connection.as_mut() => it,
        _ = leaving.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
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

async fn respond(
    shared: Arc<Shared>,
    role: Role,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = match role {
        Role::Entry => request::handle(shared.clone(), request).await,
        Role::Control => control::handle(&shared, &request.into_parts().0),
    };
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
