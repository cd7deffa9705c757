//! Concurrency limit with a bounded priority queue, ordered by class and time of arrival.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};

use model::Class;

use crate::faults::lock;
use crate::server::POLL_INTERVAL;

/// Queue and running requests of an engine.
#[derive(Debug)]
pub(super) struct Queue {
    concurrency: usize,
    limit: usize,
    inner: Mutex<Inner>,
    freed: Condvar,
}

/// Numbers of running and waiting requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub running: usize,
    pub waiting: usize,
}

/// Permit to run one request; dropping it starts the next one.
pub(super) struct Slot<'a>(&'a Queue);

#[derive(Debug, Default)]
struct Inner {
    running: usize,
    /// Class and arrival number of each waiting request.
    waiting: BTreeSet<(Class, u64)>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn new(concurrency: usize, limit: usize) -> Self {
        Self {
            concurrency,
            limit,
            inner: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Waits for a slot; returns `None` if the queue is full or the fake stops.
    pub(super) fn acquire(&self, class: Class, stopped: &AtomicBool) -> Option<Slot<'_>> {
        let mut inner = lock(&self.inner);
        let free = inner.running < self.concurrency && inner.waiting.is_empty();
        if !free && inner.waiting.len() >= self.limit {
            return None;
        }
        inner.arrivals += 1;
        let entry = (class, inner.arrivals);
        inner.waiting.insert(entry);
        loop {
            if stopped.load(Ordering::Relaxed) {
                inner.waiting.remove(&entry);
                return None;
            }
            if inner.running < self.concurrency && inner.waiting.first() == Some(&entry) {
                inner.waiting.remove(&entry);
                inner.running += 1;
                self.freed.notify_all();
                return Some(Slot(self));
            }
            let woken = self.freed.wait_timeout(inner, POLL_INTERVAL);
            inner = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    pub(super) fn load(&self) -> Load {
        let inner = lock(&self.inner);
        Load {
            running: inner.running,
            waiting: inner.waiting.len(),
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.0.inner).running -= 1;
        self.0.freed.notify_all();
    }
}
