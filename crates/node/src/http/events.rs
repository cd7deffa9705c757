//! Server-sent events.
//!
//! Events reach the connection through a bounded channel. The connection writes and flushes all queued events
//! before it waits for more, so that no event is held in a buffer until the next one.

use std::io::{ErrorKind, Result};

use tokio::sync::mpsc::Sender;

use super::response_body::Part;

/// Events that are queued for a slow caller before the producer blocks.
pub(super) const MAX_QUEUED_EVENTS: usize = 16;

/// A response of server-sent events. If it is dropped without [`EventStream::finish`], the body ends as
/// incomplete.
#[derive(Debug)]
pub(crate) struct EventStream {
    parts: Sender<Part>,
}

impl EventStream {
    pub(super) fn new(parts: Sender<Part>) -> Self {
        Self { parts }
    }

    /// Sends one event.
    ///
    /// # Errors
    /// The caller has disconnected or does not read.
    pub(crate) fn send(&mut self, data: &str) -> Result<()> {
        self.enqueue(Part::Data(format!("data: {data}\n\n").into()))
    }

    /// Sends a comment, which detects a caller that has disconnected.
    ///
    /// # Errors
    /// The caller has disconnected or does not read.
    pub(crate) fn keep_alive(&mut self) -> Result<()> {
        self.enqueue(Part::Data(": keep-alive\n\n".into()))
    }

    /// Ends the response.
    ///
    /// # Errors
    /// The caller has disconnected or does not read.
    pub(crate) fn finish(self) -> Result<()> {
        self.enqueue(Part::End)
    }

    /// Blocks while the channel is full, for at most `write_timeout`: the connection then fails and closes
    /// the channel.
    fn enqueue(&self, part: Part) -> Result<()> {
        let sent = self.parts.blocking_send(part);
        sent.map_err(|_| ErrorKind::BrokenPipe.into())
    }
}
