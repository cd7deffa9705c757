//! Server-sent events.
//!
//! The response is written by hand: only the request's own writer, flushed after each event, sends events at once.
//! The body types of the HTTP library buffer up to the end of the answer.

use std::fmt::Write as _;
use std::io::{Result, Write};

use tiny_http::HTTPVersion;

/// How the end of the response is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// Chunked transfer coding.
    Chunked,
    /// End of the connection, for callers older than HTTP/1.1.
    Close,
}

/// A response of server-sent events.
pub(crate) struct Events {
    writer: Box<dyn Write + Send>,
    framing: Framing,
}

impl std::fmt::Debug for Events {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Events")
            .field("framing", &self.framing)
            .finish_non_exhaustive()
    }
}

impl Events {
    pub(super) fn start(
        mut writer: Box<dyn Write + Send>,
        version: &HTTPVersion,
        headers: &[(&'static str, String)],
    ) -> Result<Self> {
        let framing = if *version >= HTTPVersion(1, 1) {
            Framing::Chunked
        } else {
            Framing::Close
        };
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n".to_owned();
        match framing {
            Framing::Chunked => head.push_str("Transfer-Encoding: chunked\r\n"),
            Framing::Close => head.push_str("Connection: close\r\n"),
        }
        for (name, value) in headers {
            // Writing to a string does not fail.
            write!(head, "{name}: {value}\r\n").ok();
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        Ok(Self { writer, framing })
    }

    /// Sends one event.
    ///
    /// # Errors
    /// The caller has gone or does not read.
    pub(crate) fn send(&mut self, data: &str) -> Result<()> {
        self.write(&format!("data: {data}\n\n"))
    }

    /// Sends a comment, which shows whether the caller is still there.
    ///
    /// # Errors
    /// The caller has gone or does not read.
    pub(crate) fn keep_alive(&mut self) -> Result<()> {
        self.write(": keep-alive\n\n")
    }

    /// Ends the response.
    ///
    /// # Errors
    /// The caller has gone or does not read.
    pub(crate) fn finish(mut self) -> Result<()> {
        match self.framing {
            Framing::Chunked => self.writer.write_all(b"0\r\n\r\n")?,
            Framing::Close => {}
        }
        self.writer.flush()
    }

    fn write(&mut self, text: &str) -> Result<()> {
        match self.framing {
            // One write for the whole chunk, so that it leaves in one segment.
            Framing::Chunked => {
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                self.writer.write_all(chunk.as_bytes())?;
            }
            Framing::Close => self.writer.write_all(text.as_bytes())?,
        }
        self.writer.flush()
    }
}
