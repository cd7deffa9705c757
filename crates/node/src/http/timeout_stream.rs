//! Read and write time-outs and lingering close of a caller's connection.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use config::settings::Http;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

/// Time for which input is read and discarded after the last response.
///
/// Closing a socket with unread bytes resets the connection, and a caller that is still sending its body
/// could lose the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Whether a connection is serving a request, and how many requests it has received.
#[derive(Debug, Clone, Default)]
pub(super) struct Activity(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    requests_begun: AtomicU64,
    busy: AtomicBool,
}

/// Marks a connection as busy with a request until this is dropped.
#[derive(Debug)]
pub(super) struct BusyGuard(Arc<Counts>);

impl Activity {
    /// Records that the head of a request is complete.
    pub(super) fn begin(&self) -> BusyGuard {
        self.0.requests_begun.fetch_add(1, Ordering::SeqCst);
        self.0.busy.store(true, Ordering::SeqCst);
        BusyGuard(Arc::clone(&self.0))
    }

    fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::SeqCst)
    }

    fn requests_begun(&self) -> u64 {
        self.0.requests_begun.load(Ordering::SeqCst)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::SeqCst);
    }
}

/// Timer of a request head that is being received.
#[derive(Debug)]
struct HeadTimer {
    sleep: Pin<Box<Sleep>>,
    /// Requests received before this head.
    requests_begun: u64,
}

/// A connection whose reads and writes fail with [`ErrorKind::TimedOut`] when the caller is too slow.
#[derive(Debug)]
pub(super) struct TimeoutStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    /// The underlying connection; `None` once it is closing.
    stream: Option<S>,
    activity: Activity,
    header_timeout: Duration,
    write_timeout: Duration,
    head_timer: Option<HeadTimer>,
    write_timer: Option<Pin<Box<Sleep>>>,
    state: State,
    permit: Option<OwnedSemaphorePermit>,
}

/// Whether the connection may still be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// The caller closed the connection, or it failed.
    Ended,
}

impl<S> TimeoutStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    /// Wraps a connection; the time-out of the first head starts now.
    pub(super) fn new(stream: S, activity: Activity, bounds: &Http, permit: OwnedSemaphorePermit) -> Self {
        let mut this = Self {
            stream: Some(stream),
            activity,
            header_timeout: bounds.header_timeout,
            write_timeout: bounds.write_timeout,
            head_timer: None,
            write_timer: None,
            state: State::Open,
            permit: Some(permit),
        };
        this.start_head_timer();
        this
    }

    fn start_head_timer(&mut self) {
        self.head_timer = Some(HeadTimer {
            sleep: Box::pin(sleep_until(Instant::now() + self.header_timeout)),
            requests_begun: self.activity.requests_begun(),
        });
    }

    /// Fails if a head has been incomplete for longer than `header_timeout`.
    fn check_head_timer(&mut self, cx: &mut Context<'_>) -> Result<()> {
        let requests_begun = self.activity.requests_begun();
        let Some(head) = self
            .head_timer
            .as_mut()
            .filter(|it| it.requests_begun == requests_begun)
        else {
            self.head_timer = None;
            return Ok(());
        };
        if head.sleep.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        self.state = State::Ended;
        Err(Error::new(
            ErrorKind::TimedOut,
            "the request head is still incomplete after header_timeout",
        ))
    }

    /// Polls a write, which fails if it makes no progress for `write_timeout`.
    fn poll_with_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut S>, &mut Context<'_>) -> Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        if let Poll::Ready(result) = write(Pin::new(stream), cx) {
            self.write_timer = None;
            if result.is_err() {
                self.state = State::Ended;
            }
            return Poll::Ready(result);
        }
        let end = Instant::now() + self.write_timeout;
        let sleep = self.write_timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
        ready!(sleep.as_mut().poll(cx));
        self.state = State::Ended;
        Poll::Ready(Err(Error::new(
            ErrorKind::TimedOut,
            "the caller has read nothing for write_timeout",
        )))
    }
}

impl<S> AsyncRead for TimeoutStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        let before = buf.filled().len();
        let result = Pin::new(stream).poll_read(cx, buf);
        match &result {
            Poll::Pending => self.check_head_timer(cx)?,
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                let requests_begun = self.activity.requests_begun();
                let is_started = self
                    .head_timer
                    .as_ref()
                    .is_some_and(|it| it.requests_begun == requests_begun);
                if !is_started && !self.activity.is_busy() {
                    self.start_head_timer();
                }
            }
            Poll::Ready(_) => self.state = State::Ended,
        }
        result
    }
}

impl<S> AsyncWrite for TimeoutStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.poll_with_timeout(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_with_timeout(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(S::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.poll_with_timeout(cx, S::poll_flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.poll_with_timeout(cx, S::poll_shutdown)
    }
}

impl<S> Drop for TimeoutStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn drop(&mut self) {
        let (Some(stream), State::Open) = (self.stream.take(), self.state) else {
            return;
        };
        let permit = self.permit.take();
        // When the runtime is shutting down, there is no runtime context and the connection closes
        // immediately.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(timeout(LINGER_TIMEOUT, close(stream, permit)));
        }
    }
}

/// Shuts down the write side and discards input until the caller closes the connection.
async fn close<S>(mut stream: S, _permit: Option<OwnedSemaphorePermit>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.shutdown().await?;
    let mut rest = vec![0; DISCARD_BUFFER_BYTES];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
