//! Socket of a caller: writes fail once the peer has read nothing for a while, and it may end with a reset.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A socket; a write without progress for the time limit fails with [`io::ErrorKind::TimedOut`].
#[derive(Debug)]
pub(crate) struct WriteTimeout {
    stream: TcpStream,
    limit: Duration,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
    reset: Reset,
}

/// Lets a connection end with a reset when its socket is dropped.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reset(Arc<AtomicBool>);

impl Reset {
    pub(crate) fn request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Drop for WriteTimeout {
    fn drop(&mut self) {
        if self.reset.0.load(Ordering::Relaxed)
            && let Err(err) = self.stream.set_zero_linger()
        {
            log::warn!(error:% = err; "connection not reset");
        }
    }
}

impl WriteTimeout {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
            reset: Reset::default(),
        }
    }

    /// By which the connection can be made to end with a reset.
    pub(crate) fn reset(&self) -> Reset {
        self.reset.clone()
    }

    fn poll_with_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if let Poll::Ready(result) = write(Pin::new(&mut self.stream), context) {
            self.timer = None;
            return Poll::Ready(result);
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(self.limit)));
        ready!(timer.as_mut().poll(context));
        let message = "the peer has read nothing for the time limit";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buf)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with_timeout(context, |it, context| it.poll_write(context, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with_timeout(context, |it, context| it.poll_write_vectored(context, bufs))
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
