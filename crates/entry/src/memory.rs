//! Memory for bodies and buffered events.
//!
//! A [`Budget`] bounds the bytes of all of them together. The first [`FREE_BYTES`] of each need none of it, so
//! that a few large bodies cannot crowd out the many small ones; the number of connections bounds those.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes of each body, and of each stream, that are not charged to a budget. Most requests and responses are
/// smaller.
pub(crate) const FREE_BYTES: usize = 16 << 10;

/// Part of the process's memory that the bodies of requests may occupy, and likewise those of responses. The
/// rest is for connections, the process itself, and what the allocator holds beyond the bytes in use.
const BUDGET_FRACTION: f64 = 0.2;

/// Bytes that may be in use at the same time.
#[derive(Debug)]
pub(crate) struct Budget {
    capacity: usize,
    used: AtomicUsize,
}

impl Budget {
    /// The budget of a process that may use `memory` bytes.
    pub(crate) fn of_process(memory: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity: (memory as f64 * BUDGET_FRACTION) as usize,
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// An empty reservation.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    fn try_acquire(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|it| *it <= self.capacity);
        let result = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        result.is_ok()
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
        let bytes = total.saturating_sub(FREE_BYTES);
        if bytes > self.bytes && !self.budget.try_acquire(bytes - self.bytes) {
            return false;
        }
        if bytes < self.bytes {
            self.budget.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
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
