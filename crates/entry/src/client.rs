//! HTTP client for engines and the store.
//!
//! Each request has its own connection. So a silent connection, a late response or bytes after a response can
//! never affect another request, and a request that failed before its connection was established is known not
//! to have run.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::keep_alive::{self, PEER_TIMEOUT};
use crate::memory::{OpenBuffers, ReadBuffers};
use crate::network::Network;
use crate::{clock, head};

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that a peer may send without a head or a part of a body resulting from them: digits
/// and blanks of a chunk size, or responses with status 1xx. hyper has read up to [`MAX_HEAD_BYTES`] ahead.
const MAX_IDLE_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Maximum size of the response to a call after which the connection is used on.
const MAX_CALL_RESPONSE_BYTES: usize = 1 << 10;

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The peer may have received the request.
    #[error("no response: {0}")]
    Exchange(#[from] hyper::Error),
    /// The peer has received the request, and its head is not that of one final response.
    #[error("no response: {0}")]
    Head(#[from] head::Error),
}

impl Error {
    /// Whether the peer exceeded a limit on the size of a head or of the framing of a body.
    pub(crate) fn is_overlong(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Head(_) => false,
            Self::Exchange(err) => is_overlong(err),
        }
    }
}

/// Whether a peer exceeded a limit on the size of a head or of the framing of a body.
pub(crate) fn is_overlong(err: &hyper::Error) -> bool {
    let cause = err.source().and_then(|it| it.downcast_ref::<io::Error>());
    // hyper reports chunk extensions and trailers over its limits as invalid data.
    err.is_parse_too_large() || cause.is_some_and(|it| it.kind() == io::ErrorKind::InvalidData)
}

/// What a connection has received.
#[derive(Debug, Default)]
struct Received {
    /// Bytes since the last head or part of a body.
    idle_bytes: AtomicUsize,
    /// Time for which the connection has waited for bytes, in microseconds, without the current wait.
    waited: AtomicU64,
    /// When the current wait began, in microseconds; 0 if there is none.
    waits_since: AtomicU64,
}

impl Received {
    /// Records whether a read has found the socket empty.
    fn record_read(&self, is_empty: bool) {
        let since = self.waits_since.load(Ordering::Relaxed);
        if is_empty == (since != 0) {
            return;
        }
        let now = clock::now().as_micros() as u64;
        if is_empty {
            self.waits_since.store(now, Ordering::Relaxed);
        } else {
            self.waited
                .fetch_add(now.saturating_sub(since), Ordering::Relaxed);
            self.waits_since.store(0, Ordering::Relaxed);
        }
    }

    /// Time for which the connection has waited for bytes.
    fn waited(&self) -> Duration {
        let current = match self.waits_since.load(Ordering::Relaxed) {
            0 => 0,
            since => (clock::now().as_micros() as u64).saturating_sub(since),
        };
        Duration::from_micros(self.waited.load(Ordering::Relaxed) + current)
    }

    fn record_part(&self) {
        self.idle_bytes.store(0, Ordering::Relaxed);
    }
}

/// Socket that fails once a peer has sent [`MAX_IDLE_BYTES`] to no effect, and reads at once what its share of the
/// process's memory allows.
#[derive(Debug)]
struct BoundedStream {
    stream: TcpStream,
    received: Arc<Received>,
    buffers: OpenBuffers,
}

impl BoundedStream {
    /// Reads at most `max_bytes`, which are fewer than the buffer has room for.
    fn poll_read_part(
        &mut self,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let received = part.filled().len();
        buf.advance(received);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = match self.buffers.max_read().filter(|it| *it < buf.remaining()) {
            Some(max_bytes) => self.poll_read_part(context, buf, max_bytes),
            None => Pin::new(&mut self.stream).poll_read(context, buf),
        };
        self.received.record_read(poll.is_pending());
        ready!(poll)?;
        let received = buf.filled().len() - before;
        let idle = self.received.idle_bytes.fetch_add(received, Ordering::Relaxed) + received;
        if idle > MAX_IDLE_BYTES {
            let message = "too many bytes without a head or a part of a body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Body of a response.
#[derive(Debug)]
pub(crate) struct Body {
    body: Incoming,
    received: Arc<Received>,
    /// What has arrived and was not polled yet; the inner `None` is the end.
    arrived: Option<Option<Result<Frame<Bytes>, hyper::Error>>>,
}

impl Body {
    /// Time for which the connection has waited for bytes of the peer.
    pub(crate) fn waited(&self) -> Duration {
        self.received.waited()
    }

    /// Waits until a part or the end has arrived, which remains to be polled.
    ///
    /// # Errors
    /// The body has broken off.
    pub(crate) async fn wait(&mut self) -> Result<(), BodyBroken> {
        if self.arrived.is_none() {
            self.arrived = Some(self.frame().await);
        }
        match self.arrived {
            Some(Some(Err(_))) => Err(BodyBroken),
            _ => Ok(()),
        }
    }
}

/// A body broke off; polling it gives the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BodyBroken;

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(arrived) = self.arrived.take() {
            return Poll::Ready(arrived);
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.received.record_part();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.arrived.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection; dropping it closes the socket, which cancels the peer's work.
#[derive(Debug)]
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection on which no request was sent yet.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
    received: Arc<Received>,
}

/// Opens connections to engines, the store and other nodes.
#[derive(Debug)]
pub(crate) struct Client {
    network: Arc<dyn Network>,
    buffers: Arc<ReadBuffers>,
}

impl Client {
    /// A client whose read buffers share `memory` bytes with the rest of the process.
    pub(crate) fn new(network: Arc<dyn Network>, memory: usize) -> Self {
        Self {
            network,
            buffers: ReadBuffers::of_process(memory),
        }
    }

    /// Open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.buffers.open()
    }

    /// Connects within `limit`.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<IdleConnection, Error> {
        let stream = match timeout(limit, self.network.connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Error::Connect(err.to_string())),
            Err(_) => return Err(Error::Connect("time-out".to_owned())),
        };
        stream.set_nodelay(true).ok();
        keep_alive::try_set(&stream, PEER_TIMEOUT);
        let received = Arc::<Received>::default();
        let stream = BoundedStream {
            stream,
            received: received.clone(),
            buffers: self.buffers.begin(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| Error::Connect(err.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("connection to {address}: {err}");
            }
        });
        Ok(IdleConnection {
            sender,
            connection: Connection(task),
            received,
        })
    }
}

impl IdleConnection {
    /// Makes a call after which the connection is idle again; returns the status of the response.
    pub(crate) async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<StatusCode, Error> {
        let response = self.sender.send_request(request).await?;
        head::check(&response)?;
        let status = response.status();
        let mut body = Limited::new(response.into_body(), MAX_CALL_RESPONSE_BYTES);
        while let Some(frame) = body.frame().await {
            frame.map_err(|err| Error::Connect(err.to_string()))?;
        }
        self.sender.ready().await?;
        self.received.record_part();
        Ok(status)
    }

    /// Sends the request and waits for the head of the response.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Body>, Connection), Error> {
        let response = self.sender.send_request(request).await?;
        head::check(&response)?;
        let received = self.received;
        received.record_part();
        let response = response.map(|body| Body {
            body,
            received,
            arrived: None,
        });
        Ok((response, self.connection))
    }
}
