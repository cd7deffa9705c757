//! Event streams (`text/event-stream`) cut at event boundaries.
//!
//! Only whole events are passed on, so that a stream whose engine is lost in the middle of an event can be continued
//! by another engine, and an event that the first engine already delivered is dropped.

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the blank line at its end included.
    pub bytes: Vec<u8>,
    /// Its `id` field.
    pub id: Option<u64>,
}

/// Collects bytes and yields whole events.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Length of the buffer's beginning that holds no event boundary.
    scanned: usize,
}

impl Splitter {
    /// Greatest number of bytes of one event; a longer one is not an event of an engine.
    pub const MAX_EVENT_BYTES: usize = 1 << 20;

    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.boundary()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.scanned = 0;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }

    /// Bytes of an event that is not whole yet.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the present event is longer than any engine sends.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > Self::MAX_EVENT_BYTES
    }

    /// End of the first blank line after a field.
    fn boundary(&mut self) -> Option<usize> {
        let mut start = self.scanned;
        while let Some(offset) = self.buffer[start..].iter().position(|it| *it == b'\n') {
            let next = start + offset + 1;
            let line = &self.buffer[start..next - 1];
            let blank = line.is_empty() || line == b"\r";
            if blank && start > 0 {
                return Some(next);
            }
            start = next;
            self.scanned = next;
        }
        None
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|it| *it == b'\n');
    let value = lines.filter_map(|it| it.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Deliver,
    /// The caller has it already.
    Duplicate,
    /// Events before it are missing; the stream must not go on with it.
    Gap,
}

/// Position of one caller in its stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    last: Option<u64>,
    /// Whether events without an id were passed on, behind which no other engine can go on.
    unnumbered: bool,
}

impl Cursor {
    /// A caller that has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            unnumbered: false,
        }
    }

    /// Whether another engine can go on with the stream.
    pub fn can_resume(self) -> bool {
        !self.unnumbered
    }

    /// The last event that was passed on.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Judges the next event of an engine, and advances over one that is passed on.
    ///
    /// Ids are consecutive within a stream. The first event of a stream from its beginning may have any id.
    pub fn judge(&mut self, id: Option<u64>) -> Verdict {
        let Some(id) = id else {
            self.unnumbered = true;
            return Verdict::Deliver;
        };
        match self.last {
            Some(last) if id <= last => Verdict::Duplicate,
            Some(last) if id > last + 1 => Verdict::Gap,
            _ => {
                self.last = Some(id);
                Verdict::Deliver
            }
        }
    }
}
