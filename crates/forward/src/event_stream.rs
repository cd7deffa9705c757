//! Event streams (`text/event-stream`) split at event boundaries.
//!
//! Only complete events are forwarded. So a stream whose engine is lost in the middle of an event can be
//! resumed on another engine, and events that the first engine already delivered are dropped.

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, including the blank line at the end.
    pub bytes: Vec<u8>,
    /// Its `id` field.
    pub id: Option<u64>,
}

impl Event {
    /// Whether it consists of comments only, which belong to no event.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|it| *it == b'\n');
        lines.all(|it| matches!(it, [] | b"\r" | [b':', ..]))
    }
}

/// Buffers bytes and yields complete events.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Start of the next event; the bytes before it are dropped by the next [`Self::push`].
    start: usize,
    /// End of the part of the buffer that contains no further event boundary.
    scanned: usize,
    has_yielded: bool,
}

impl Splitter {
    /// Maximum size of one event in bytes; engines send no longer ones.
    pub const MAX_EVENT_BYTES: usize = 1 << 20;

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.boundary()?;
        let bytes = self.buffer[self.start..end].to_vec();
        self.start = end;
        self.scanned = end;
        self.has_yielded = true;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }

    /// Bytes of an event that is still incomplete.
    pub fn partial_event(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Whether there was a complete event.
    pub fn has_yielded(&self) -> bool {
        self.has_yielded
    }

    /// Bytes of memory in use.
    pub fn memory(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether the current event exceeds [`Self::MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.partial_event().len() > Self::MAX_EVENT_BYTES
    }

    /// End of the first blank line after a field.
    fn boundary(&mut self) -> Option<usize> {
        let mut start = self.scanned;
        while let Some(offset) = self.buffer[start..].iter().position(|it| *it == b'\n') {
            let next = start + offset + 1;
            let line = &self.buffer[start..next - 1];
            let blank = line.is_empty() || line == b"\r";
            if blank && start > self.start {
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

/// Whether an event continues the stream of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Forward it to the caller.
    Deliver,
    /// The caller already has it.
    Duplicate,
    /// Events before it are missing, or it has no id and does not belong to the stream, which must not continue with it.
    Gap,
}

/// Position of a caller in its stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    last: Option<u64>,
    /// Whether events without an id were forwarded; no other engine can resume after those.
    has_forwarded_without_id: bool,
}

impl Cursor {
    /// The position of a caller that has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            has_forwarded_without_id: false,
        }
    }

    /// Whether another engine can resume the stream.
    pub fn can_resume(self) -> bool {
        !self.has_forwarded_without_id
    }

    /// Id of the last event that was forwarded.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Checks the next event of an engine, and moves past it if it is to be forwarded.
    ///
    /// Ids are consecutive within a stream. The first event of a stream that starts from the beginning may
    /// have any id. One without an id behind others is no part of the stream, but the text of an error.
    pub fn advance(&mut self, id: Option<u64>) -> Delivery {
        let Some(id) = id else {
            if self.last.is_some() {
                return Delivery::Gap;
            }
            self.has_forwarded_without_id = true;
            return Delivery::Deliver;
        };
        match self.last {
            Some(last) if id <= last => Delivery::Duplicate,
            Some(last) if id > last + 1 => Delivery::Gap,
            _ => {
                self.last = Some(id);
                Delivery::Deliver
            }
        }
    }
}
