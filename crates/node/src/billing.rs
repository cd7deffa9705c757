//! Billing records on their way into the log.
//!
//! Records collect in an open batch. The appender thread closes it, gives it a sequence number and appends it until
//! the log confirms; a batch never changes after that, so that readers can discard a repeated append.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use config::settings::Billing;
use crossbeam::channel::{Receiver, Sender, bounded};
use model::{Class, Cost, Incarnation, Name, Usage};
use serde::{Deserialize, Serialize};

use crate::phase::Phase;
use crate::shared::Shared;

/// Log stream of billing batches.
const STREAM: &str = "bills";

/// Least interval between appends; it grows with the number of nodes so that the log's append budget holds.
const APPEND_INTERVAL: Duration = Duration::from_millis(250);

/// What an organisation owes for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Identity for discarding repetitions: organisation plus idempotency key or request id.
    pub key: String,
    pub organisation: Name,
    pub version: Name,
    pub class: Class,
    pub usage: Usage,
    pub cost: Cost,
    /// Cost of steps whose answer was rejected; not paid by the organisation.
    pub rejected_cost: Cost,
}

/// An immutable set of records.
#[derive(Debug, Serialize)]
struct Batch {
    incarnation: String,
    sequence: u64,
    records: Vec<Record>,
}

/// No room for another record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Full;

#[derive(Debug, Default)]
struct Queue {
    open: Vec<Record>,
    /// Answers that wait for the open batch.
    waiting: Vec<Sender<()>>,
    /// Encoded batches that the log has not confirmed, with the number of their records.
    closed: VecDeque<(Vec<u8>, usize)>,
    next_sequence: u64,
}

/// Billing records of this node that the log does not have yet.
#[derive(Debug)]
pub(crate) struct Biller {
    incarnation: Incarnation,
    bound: usize,
    /// Records of requests under way and records that the log does not have.
    reserved: AtomicUsize,
    queue: Mutex<Queue>,
}

impl Biller {
    /// An empty biller.
    pub(crate) fn new(incarnation: Incarnation, settings: &Billing) -> Self {
        Self {
            incarnation,
            bound: settings.max_pending_records,
            reserved: AtomicUsize::new(0),
            queue: Mutex::default(),
        }
    }

    /// Reserves room for the record of a request before it starts, so that no record is ever dropped.
    pub(crate) fn reserve(&self) -> Result<(), Full> {
        let room = |it: usize| (it < self.bound).then_some(it + 1);
        let reserved = self
            .reserved
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, room);
        reserved.map(|_| ()).map_err(|_| Full)
    }

    /// Returns the room of a request that is not billed.
    pub(crate) fn release(&self) {
        self.reserved.fetch_sub(1, Ordering::SeqCst);
    }

    /// Adds a record to the open batch; the receiver reports when the log has it.
    pub(crate) fn add(&self, record: Record) -> Receiver<()> {
        let (done, wait) = bounded(1);
        let mut queue = self.lock();
        queue.open.push(record);
        queue.waiting.push(done);
        wait
    }

    /// Number of records that are reserved or not in the log.
    pub(crate) fn unsettled(&self) -> usize {
        self.reserved.load(Ordering::SeqCst)
    }

    fn close_batch(&self) -> Vec<Sender<()>> {
        let mut queue = self.lock();
        if queue.open.is_empty() {
            return Vec::new();
        }
        let records = std::mem::take(&mut queue.open);
        let count = records.len();
        let batch = Batch {
            incarnation: self.incarnation.to_string(),
            sequence: queue.next_sequence,
            records,
        };
        queue.next_sequence += 1;
        let payload = serde_json::to_vec(&batch).unwrap_or_default();
        queue.closed.push_back((payload, count));
        std::mem::take(&mut queue.waiting)
    }

    fn unsent(&self) -> Vec<(Vec<u8>, usize)> {
        self.lock().closed.iter().cloned().collect()
    }

    fn settle(&self, batches: usize) {
        let mut queue = self.lock();
        let records: usize = queue.closed.drain(..batches).map(|(_, count)| count).sum();
        self.reserved.fetch_sub(records, Ordering::SeqCst);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends batches until the node stops; then appends once more what is left.
pub(crate) fn run(shared: &Shared) {
    let mut waiting = Vec::new();
    loop {
        let stopped = shared.phase.get() == Phase::Stopped;
        waiting.append(&mut shared.biller.close_batch());
        if append(shared) {
            for done in waiting.drain(..) {
                // The answer may have stopped waiting.
                done.try_send(()).ok();
            }
        }
        if stopped {
            return;
        }
        std::thread::sleep(APPEND_INTERVAL);
    }
}

/// Appends all closed batches; returns whether the log has them.
fn append(shared: &Shared) -> bool {
    let unsent = shared.biller.unsent();
    if unsent.is_empty() {
        return true;
    }
    let count = unsent.len();
    let payloads: Vec<_> = unsent.into_iter().map(|(payload, _)| payload).collect();
    match shared.ports.log.append(STREAM, &payloads) {
        Ok(_) => {
            shared.biller.settle(count);
            true
        }
        Err(_) => {
            shared.metrics.billing_append_failures.inc();
            false
        }
    }
}
