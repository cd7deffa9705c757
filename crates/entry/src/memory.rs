//! Memory for requests under way, bodies and buffered events.
//!
//! A [`Room`] bounds all of it: each request takes a share before its body is read, and is refused if there is none.
//! A [`Budget`] bounds the bytes of bodies of one kind. A free share of each needs none of it, so that a few large
//! bodies cannot crowd out the many small ones. The share shrinks when many are open, as do the [`ReadBuffers`] of
//! connections: each of them is small, but their sum has to fit into the process too.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Range of the bytes of each body, and of each stream, that are not charged to a budget. Most requests and responses
/// are smaller than the larger one.
const MIN_FREE_BYTES: usize = 2 << 10;
pub(crate) const MAX_FREE_BYTES: usize = 16 << 10;

/// Part of the process's memory that the free shares of requests may occupy, and likewise those of responses.
const FREE_FRACTION: f64 = 0.05;

/// Part of the process's memory that the bodies of requests may occupy, and likewise those of responses. The
/// rest is for connections, the process itself, and what the allocator holds beyond the bytes in use.
const BUDGET_FRACTION: f64 = 0.17;

/// Part of the process's memory that requests under way and all bodies may occupy together. It is more than the parts of
/// the bodies, so that large ones leave some to the requests.
const ROOM_FRACTION: f64 = 0.4;

/// Bytes of a request under way without its bodies: its state, and the buffers of its two connections.
const REQUEST_BYTES: usize = 64 << 10;

/// Bytes that may be in use at the same time.
#[derive(Debug)]
pub(crate) struct Room {
    capacity: usize,
    used: AtomicUsize,
}

impl Room {
    /// The room of a process that may use `memory` bytes, for requests under way and all bodies.
    pub(crate) fn of_process(memory: usize) -> Arc<Self> {
        Arc::new(Self::of_fraction(memory, ROOM_FRACTION))
    }

    fn of_fraction(memory: usize, fraction: f64) -> Self {
        Self {
            capacity: (memory as f64 * fraction) as usize,
            used: AtomicUsize::new(0),
        }
    }

    /// Bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The share of a request without its bodies; `None` if there is no room for it.
    pub(crate) fn request_share(self: &Arc<Self>) -> Option<RequestShare> {
        self.try_acquire(REQUEST_BYTES)
            .then(|| RequestShare(self.clone()))
    }

    fn try_acquire(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|it| *it <= self.capacity);
        let result = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        result.is_ok()
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Memory of a request under way, returned when this is dropped.
#[derive(Debug)]
pub(crate) struct RequestShare(Arc<Room>);

impl Drop for RequestShare {
    fn drop(&mut self) {
        self.0.release(REQUEST_BYTES);
    }
}

/// The part of a [`Room`] that bodies of one kind may take.
#[derive(Debug)]
pub(crate) struct Budget {
    own: Room,
    process: Arc<Room>,
    /// Bytes for all free shares together.
    free_capacity: usize,
    /// Number of reservations.
    open: AtomicUsize,
}

impl Budget {
    /// The budget of a process that may use `memory` bytes.
    pub(crate) fn of_process(memory: usize, process: &Arc<Room>) -> Arc<Self> {
        Arc::new(Self {
            own: Room::of_fraction(memory, BUDGET_FRACTION),
            process: process.clone(),
            free_capacity: (memory as f64 * FREE_FRACTION) as usize,
            open: AtomicUsize::new(0),
        })
    }

    /// Bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.own.used()
    }

    /// An empty reservation.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        self.open.fetch_add(1, Ordering::Relaxed);
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes of each body that are not charged now.
    fn free_share(&self) -> usize {
        let open = self.open.load(Ordering::Relaxed).max(1);
        (self.free_capacity / open).clamp(MIN_FREE_BYTES, MAX_FREE_BYTES)
    }

    fn try_acquire(&self, bytes: usize) -> bool {
        if !self.own.try_acquire(bytes) {
            return false;
        }
        let is_free = self.process.try_acquire(bytes);
        if !is_free {
            self.own.release(bytes);
        }
        is_free
    }

    fn release(&self, bytes: usize) {
        self.own.release(bytes);
        self.process.release(bytes);
    }
}

/// Bytes of a [`Budget`], returned when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Adjusts the reservation for `total` bytes in use; `false` if the budget does not allow them.
    pub(crate) fn try_resize(&mut self, total: usize) -> bool {
        let bytes = total.saturating_sub(self.budget.free_share());
        if bytes > self.bytes && !self.budget.try_acquire(bytes - self.bytes) {
            return false;
        }
        if bytes < self.bytes {
            self.budget.release(self.bytes - bytes);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
        self.budget.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Part of the process's memory that the read buffers of connections to engines may occupy.
const READ_BUFFER_FRACTION: f64 = 0.2;

/// Buffers of one connection: the one being read into, and those whose contents were passed on and not yet used.
const BUFFERS_PER_CONNECTION: usize = 3;

/// Range of the size of a read buffer. hyper allocates the smaller size at least, and reads a head of the larger one at
/// most.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Sizes of read buffers: the more connections are open, the smaller they are.
#[derive(Debug)]
pub(crate) struct ReadBuffers {
    capacity: usize,
    open: AtomicUsize,
}

impl ReadBuffers {
    /// The read buffers of a process that may use `memory` bytes.
    pub(crate) fn of_process(memory: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity: (memory as f64 * READ_BUFFER_FRACTION) as usize,
            open: AtomicUsize::new(0),
        })
    }

    /// Connections that have buffers.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts the buffers of a connection until the result is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenBuffers {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenBuffers(self.clone())
    }
}

/// The read buffers of one connection.
#[derive(Debug)]
pub(crate) struct OpenBuffers(Arc<ReadBuffers>);

impl OpenBuffers {
    /// Maximum number of bytes to read at once; `None` if hyper's largest buffer is within the share of a connection.
    ///
    /// hyper doubles its buffer after a read that filled it, so reads stay below the size.
    pub(crate) fn max_read(&self) -> Option<usize> {
        let share = self.0.capacity / (BUFFERS_PER_CONNECTION * self.0.open().max(1));
        if share >= MAX_READ_BUFFER_BYTES {
            return None;
        }
        let size = share
            .checked_ilog2()
            .map_or(0, |it| 1 << it)
            .max(MIN_READ_BUFFER_BYTES);
        Some(size - 1)
    }
}

impl Drop for OpenBuffers {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes together with what was reserved for them.
struct Held<R> {
    data: Vec<u8>,
    _reserved: R,
}

impl<R> AsRef<[u8]> for Held<R> {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Bytes that keep `reserved` until the last reference to them is dropped, for instance after they were
/// written to a socket.
pub(crate) fn hold<R: Send + 'static>(data: Vec<u8>, reserved: R) -> Bytes {
    Bytes::from_owner(Held {
        data,
        _reserved: reserved,
    })
}
