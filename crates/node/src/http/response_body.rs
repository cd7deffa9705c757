//! Bodies of responses.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::dispatch::RequestSlot;
use super::timeout_stream::BusyGuard;

#[cfg(test)]
mod tests;

/// The thread that produced the body ended before the body was complete.
///
/// The connection is closed without the terminating chunk, so that the caller does not take the body for a
/// complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response body is incomplete: its producer ended early")]
pub(crate) struct IncompleteBody;

/// Part of a streamed body.
#[derive(Debug)]
pub(super) enum Part {
    /// Bytes, sent immediately.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

#[derive(Debug)]
enum Source {
    Whole(Bytes),
    Stream(mpsc::Receiver<Part>),
}

/// A response body with the guards that it holds until it has been sent.
#[derive(Debug)]
pub(super) struct ResponseBody {
    source: Source,
    /// Keeps the request open while its response is being sent.
    _slot: Option<Arc<RequestSlot>>,
    busy_guard: Option<BusyGuard>,
}

impl ResponseBody {
    /// Creates a complete body.
    pub(super) fn whole(bytes: Vec<u8>, slot: Option<Arc<RequestSlot>>) -> Self {
        Self::new(Source::Whole(bytes.into()), slot)
    }

    /// Creates a body that arrives in parts.
    pub(super) fn stream(parts: mpsc::Receiver<Part>, slot: Option<Arc<RequestSlot>>) -> Self {
        Self::new(Source::Stream(parts), slot)
    }

    fn new(source: Source, slot: Option<Arc<RequestSlot>>) -> Self {
        Self {
            source,
            _slot: slot,
            busy_guard: None,
        }
    }

    /// Marks the connection as busy until the body has been sent.
    pub(super) fn attach_busy_guard(&mut self, busy_guard: BusyGuard) {
        self.busy_guard = Some(busy_guard);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut self.source {
            Source::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Source::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Source::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(IncompleteBody)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Source::Stream(_) => SizeHint::default(),
        }
    }
}
