//! Bodies of responses.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::dispatch::Slot;
use super::guard::Busy;

#[cfg(test)]
mod tests;

/// The thread that produced the answer ended before the answer did.
///
/// The connection is closed without the mark of a complete body, so that the caller does not take it for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut off")]
pub(crate) struct Cut;

/// An item of a streamed body.
#[derive(Debug)]
pub(super) enum Part {
    /// Bytes that are sent at once.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

#[derive(Debug)]
enum Source {
    Whole(Bytes),
    Stream(mpsc::Receiver<Part>),
}

/// A response body with what has to last until its end.
#[derive(Debug)]
pub(super) struct Payload {
    source: Source,
    /// Keeps the request among those in progress while its answer is being sent.
    _slot: Option<Arc<Slot>>,
    busy: Option<Busy>,
}

impl Payload {
    /// A body that is complete.
    pub(super) fn whole(bytes: Vec<u8>, slot: Option<Arc<Slot>>) -> Self {
        Self::new(Source::Whole(bytes.into()), slot)
    }

    /// A body that arrives in parts.
    pub(super) fn stream(parts: mpsc::Receiver<Part>, slot: Option<Arc<Slot>>) -> Self {
        Self::new(Source::Stream(parts), slot)
    }

    fn new(source: Source, slot: Option<Arc<Slot>>) -> Self {
        Self {
            source,
            _slot: slot,
            busy: None,
        }
    }

    /// Keeps the connection busy until the body has been sent.
    pub(super) fn hold_busy(&mut self, busy: Busy) {
        self.busy = Some(busy);
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.source {
            Source::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Source::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Source::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(Cut)),
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
