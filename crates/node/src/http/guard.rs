//! Time-outs and orderly closing of a caller's connection.

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

/// Time for which input is read and discarded after the last answer.
///
/// Closing a socket with unread bytes resets the connection, and a caller that is still sending its body may lose the
/// refusal.
const LINGER: Duration = Duration::from_secs(2);

/// Size of one discarded read in bytes.
const DISCARD: usize = 4 << 10;

/// Whether a connection has a request in progress, and how many it had.
#[derive(Debug, Clone, Default)]
pub(super) struct Activity(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    begun: AtomicU64,
    busy: AtomicBool,
}

/// A request in progress, until this is dropped.
#[derive(Debug)]
pub(super) struct Busy(Arc<Counts>);

impl Activity {
    /// Notes that the head of a request is complete.
    pub(super) fn begin(&self) -> Busy {
        self.0.begun.fetch_add(1, Ordering::SeqCst);
        self.0.busy.store(true, Ordering::SeqCst);
        Busy(Arc::clone(&self.0))
    }

    fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::SeqCst)
    }

    fn begun(&self) -> u64 {
        self.0.begun.load(Ordering::SeqCst)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::SeqCst);
    }
}

/// Time-out of the head that is being received.
#[derive(Debug)]
struct Head {
    sleep: Pin<Box<Sleep>>,
    /// Requests begun before this head.
    begun: u64,
}

/// A connection whose reads and writes fail when the caller is too slow.
#[derive(Debug)]
pub(super) struct Guard<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    /// The connection; `None` once it is closing.
    stream: Option<S>,
    activity: Activity,
    header_timeout: Duration,
    write_timeout: Duration,
    head: Option<Head>,
    write: Option<Pin<Box<Sleep>>>,
    state: State,
    permit: Option<OwnedSemaphorePermit>,
}

/// Whether the connection may still be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// The caller closed it, or it failed.
    Ended,
}

impl<S> Guard<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    /// Guards a connection; the first head is due from now on.
    pub(super) fn new(stream: S, activity: Activity, bounds: &Http, permit: OwnedSemaphorePermit) -> Self {
        let mut guard = Self {
            stream: Some(stream),
            activity,
            header_timeout: bounds.header_timeout,
            write_timeout: bounds.write_timeout,
            head: None,
            write: None,
            state: State::Open,
            permit: Some(permit),
        };
        guard.start_head();
        guard
    }

    fn start_head(&mut self) {
        self.head = Some(Head {
            sleep: Box::pin(sleep_until(Instant::now() + self.header_timeout)),
            begun: self.activity.begun(),
        });
    }

    /// Fails if a head has been incomplete for too long.
    fn check_head(&mut self, cx: &mut Context<'_>) -> Result<()> {
        let begun = self.activity.begun();
        let Some(head) = self.head.as_mut().filter(|it| it.begun == begun) else {
            self.head = None;
            return Ok(());
        };
        if head.sleep.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        self.state = State::Ended;
        Err(Error::new(ErrorKind::TimedOut, "the request head is incomplete"))
    }

    /// Runs a write; one that makes no progress for too long fails.
    fn write_within<T>(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut S>, &mut Context<'_>) -> Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        if let Poll::Ready(result) = write(Pin::new(stream), cx) {
            self.write = None;
            if result.is_err() {
                self.state = State::Ended;
            }
            return Poll::Ready(result);
        }
        let end = Instant::now() + self.write_timeout;
        let sleep = self.write.get_or_insert_with(|| Box::pin(sleep_until(end)));
        ready!(sleep.as_mut().poll(cx));
        self.state = State::Ended;
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the caller does not read")))
    }
}

impl<S> AsyncRead for Guard<S>
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
            Poll::Pending => self.check_head(cx)?,
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                let begun = self.activity.begun();
                let is_started = self.head.as_ref().is_some_and(|it| it.begun == begun);
                if !is_started && !self.activity.is_busy() {
                    self.start_head();
                }
            }
            Poll::Ready(_) => self.state = State::Ended,
        }
        result
    }
}

impl<S> AsyncWrite for Guard<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.write_within(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.write_within(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(S::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.write_within(cx, S::poll_flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.write_within(cx, S::poll_shutdown)
    }
}

impl<S> Drop for Guard<S>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn drop(&mut self) {
        let (Some(stream), State::Open) = (self.stream.take(), self.state) else {
            return;
        };
        let permit = self.permit.take();
        // Outside of the runtime, which is the case when it stops, the connection closes at once.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(timeout(LINGER, close(stream, permit)));
        }
    }
}

/// Ends the answer and discards input until the caller closes the connection.
async fn close<S>(mut stream: S, _permit: Option<OwnedSemaphorePermit>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.shutdown().await?;
    let mut rest = vec![0; DISCARD];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
