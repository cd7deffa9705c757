//! Server-sent events.
//!
//! Events go to the connection through a bounded channel. The connection writes and flushes whatever the channel
//! holds before it waits for more, so no event waits in a buffer for the next one.

use std::io::{ErrorKind, Result};

use tokio::sync::mpsc::Sender;

use super::payload::Part;

/// Events that may wait for a caller that reads slowly; then the producer waits.
pub(super) const MAX_WAITING: usize = 16;

/// A response of server-sent events. Dropped without [`Events::finish`], it ends as an incomplete body.
#[derive(Debug)]
pub(crate) struct Events {
    parts: Sender<Part>,
}

impl Events {
    pub(super) fn new(parts: Sender<Part>) -> Self {
        Self { parts }
    }

    /// Sends one event.
    ///
    /// # Errors
    /// The caller has gone or does not read.
    pub(crate) fn send(&mut self, data: &str) -> Result<()> {
        self.write(Part::Data(format!("data: {data}\n\n").into()))
    }

    /// Sends a comment, which shows whether the caller is still there.
    ///
    /// # Errors
    /// The caller has gone or does not read.
    pub(crate) fn keep_alive(&mut self) -> Result<()> {
        self.write(Part::Data(": keep-alive\n\n".into()))
    }

    /// Ends the response.
    ///
    /// # Errors
    /// The caller has gone or does not read.
    pub(crate) fn finish(self) -> Result<()> {
        self.write(Part::End)
    }

    /// Waits for room; the connection ends this wait after `write_timeout`, because it then closes the channel.
    fn write(&self, part: Part) -> Result<()> {
        let sent = self.parts.blocking_send(part);
        sent.map_err(|_| ErrorKind::BrokenPipe.into())
    }
}
