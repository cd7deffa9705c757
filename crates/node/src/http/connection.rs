//! A connection of a caller.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, oneshot, watch};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

use super::dispatch;
use super::exchange::Exchange;
use super::response_body::ResponseBody;
use super::timeout_stream::{Activity, TimeoutStream};
use crate::phase::Phase;
use crate::shared::Shared;

/// Headers longer than `max_header_bytes` but within this multiple of it get the refusal `headers_too_large`;
/// hyper answers longer ones itself with a plain status 431.
const TYPED_REFUSAL_FACTOR: usize = 2;

/// Minimum read buffer of a connection; hyper requires at least 8 KiB.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// An accepted connection, apart from its socket.
#[derive(Debug)]
pub(super) struct Accepted {
    pub shared: Arc<Shared>,
    pub peer: SocketAddr,
    /// Permit of the connection limit, held until the socket is closed.
    pub permit: OwnedSemaphorePermit,
    /// Notified when the node stops.
    pub stopping: watch::Receiver<()>,
}

/// Serves a connection until it is closed.
pub(super) async fn run(accepted: Accepted, stream: TcpStream, acceptor: Option<TlsAcceptor>) {
    let shared = Arc::clone(&accepted.shared);
    shared.metrics.connections.inc();
    // With Nagle's algorithm, an event would wait for the acknowledgement of the previous one.
    stream.set_nodelay(true).ok();
    match acceptor {
        None => serve(accepted, stream).await,
        Some(acceptor) => {
            let handshake = timeout(shared.settings.http.header_timeout, acceptor.accept(stream));
            match handshake.await {
                Ok(Ok(stream)) => serve(accepted, stream).await,
                Ok(Err(_)) | Err(_) => {
                    shared.metrics.tls_handshake_failures.inc();
                }
            }
        }
    }
    shared.metrics.connections.dec();
}

async fn serve<S>(accepted: Accepted, stream: S)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let Accepted {
        shared,
        peer,
        permit,
        mut stopping,
    } = accepted;
    let bounds = &shared.settings.http;
    let activity = Activity::default();
    let stream = TimeoutStream::new(stream, activity.clone(), bounds, permit);
    let handler = |request| handle_request(&shared, peer, &activity, request);
    let buffer = (TYPED_REFUSAL_FACTOR * bounds.max_header_bytes).max(MIN_BUFFER_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper's time-out covers the wait for the first byte; from there on, `TimeoutStream` applies the
        // shorter `header_timeout`.
        .header_read_timeout(bounds.idle_timeout + bounds.header_timeout)
        .max_header_size(buffer)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopping.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        log::debug!("connection of {peer}: {err}");
    }
}

/// Runs a request on a blocking thread and waits for the head of its response.
///
/// The connection drops this future when the caller disconnects; [`Exchange::is_abandoned`] then tells the
/// thread.
async fn handle_request(
    shared: &Arc<Shared>,
    peer: SocketAddr,
    activity: &Activity,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let busy_guard = activity.begin();
    let (sender, receiver) = oneshot::channel();
    dispatch::start(shared, Exchange::new(request, peer, sender));
    let mut response = receiver.await.unwrap_or_else(|_| dispatch::internal_error());
    response.body_mut().attach_busy_guard(busy_guard);
    if shared.phase.get() >= Phase::Sealed {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}
