//! One connection of a caller.

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
use super::guard::{Activity, Guard};
use super::payload::Payload;
use crate::phase::Phase;
use crate::shared::Shared;

/// Headers longer than the setting and shorter than this multiple get the typed refusal `headers_too_large`; the
/// HTTP library answers longer ones with a plain status 431.
const TYPED_REFUSAL_FACTOR: usize = 2;

/// Least buffer of a connection in bytes; the HTTP library accepts no less than 8 KiB.
const MIN_BUFFER: usize = 16 << 10;

/// What belongs to an accepted connection.
#[derive(Debug)]
pub(super) struct Accepted {
    pub shared: Arc<Shared>,
    pub peer: SocketAddr,
    /// Share of the bound on connections, held until the socket is closed.
    pub permit: OwnedSemaphorePermit,
    /// Changes when the node stops.
    pub stopping: watch::Receiver<()>,
}

/// Serves a connection to its end.
pub(super) async fn run(accepted: Accepted, stream: TcpStream, acceptor: Option<TlsAcceptor>) {
    let shared = Arc::clone(&accepted.shared);
    shared.metrics.connections.inc();
    // Otherwise an event waits for the acknowledgement of the one before it.
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
    let guard = Guard::new(stream, activity.clone(), bounds, permit);
    let answer = |request| answer(&shared, peer, &activity, request);
    let buffer = (TYPED_REFUSAL_FACTOR * bounds.max_header_bytes).max(MIN_BUFFER);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This library's time-out covers the wait for the first byte; `Guard` has the shorter one from there on.
        .header_read_timeout(bounds.idle_timeout + bounds.header_timeout)
        .max_header_size(buffer)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(guard), service_fn(answer));
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

/// Hands a request to a blocking thread and waits for the response that it starts.
///
/// The connection drops this future when the caller disconnects; the thread then finds its exchange abandoned.
async fn answer(
    shared: &Arc<Shared>,
    peer: SocketAddr,
    activity: &Activity,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Infallible> {
    let busy = activity.begin();
    let (sender, receiver) = oneshot::channel();
    dispatch::start(shared, Exchange::new(request, peer, sender));
    let mut response = receiver.await.unwrap_or_else(|_| dispatch::unanswered());
    response.body_mut().hold_busy(busy);
    if shared.phase.get() >= Phase::Sealed {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}
