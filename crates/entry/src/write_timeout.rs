//! Socket whose writes fail once the peer has read nothing for a while.

use std::io::{self, IoSlice};
use std::pin::Pin;
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
}

impl WriteTimeout {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
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
