//! Parser of server-sent events.

use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use attohttpc::ResponseReader;

use super::request::{Failure, io_failure};

/// Maximum length of a line.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Reader of the events of one reply.
#[derive(Debug)]
pub(super) struct EventReader {
    reader: BufReader<ResponseReader>,
    progress_timeout: Duration,
}

impl EventReader {
    pub(super) fn new(reader: ResponseReader, progress_timeout: Duration) -> Self {
        Self {
            reader: BufReader::new(reader),
            progress_timeout,
        }
    }

    /// Waits for the data of the next event. Comment lines do not reset the time-out.
    pub(super) fn next(&mut self) -> Result<String, Failure> {
        let deadline = Instant::now() + self.progress_timeout;
        loop {
            let line = self.read_line(deadline)?;
            if let Some(data) = line.strip_prefix("data:") {
                return Ok(data.trim().to_owned());
            }
        }
    }

    /// Reads a line piece by piece and checks the deadline before each piece, because a server that sends
    /// single bytes never exceeds the read time-out of the socket.
    fn read_line(&mut self, deadline: Instant) -> Result<String, Failure> {
        let mut line = Vec::new();
        loop {
            if Instant::now() >= deadline {
                return Err(Failure::Timeout);
            }
            let available = self.reader.fill_buf().map_err(|err| io_failure(&err))?;
            if available.is_empty() {
                return Err(Failure::Broken);
            }
            let chunk = available.len() as u64;
            let mut part = self.reader.by_ref().take(chunk);
            part.read_until(b'\n', &mut line)
                .map_err(|err| io_failure(&err))?;
            if line.ends_with(b"\n") {
                return String::from_utf8(line).map_err(|_| Failure::Malformed);
            }
            if line.len() as u64 > MAX_LINE_BYTES {
                return Err(Failure::Malformed);
            }
        }
    }
}
