//! At-most-once execution of keyed calls: the table of this node and the sealed tables of stopped nodes.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ledger::idempotency::{Archive, Call, Decision, EPOCH_DURATION, HandOver, Limits, Outcome, Table};
use model::Incarnation;
use model::refusal::Reason;

use crate::shared::Shared;

/// Number of peers that receive the sealed table at a planned stop.
pub(crate) const TABLE_HOLDERS: usize = 2;

/// Tables for the keys of this node and of stopped nodes.
#[derive(Debug)]
pub(crate) struct IdempotencyTables {
    incarnation: Incarnation,
    table: Mutex<Table>,
    /// Wakes repeated calls that wait for the first one.
    finished: Condvar,
    archive: Mutex<Archive>,
}

impl IdempotencyTables {
    /// Creates the empty tables of a starting node.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            table: Mutex::new(Table::new(incarnation, Limits::default(), Duration::ZERO)),
            finished: Condvar::new(),
            archive: Mutex::default(),
        }
    }

    /// Whether this node is `issuer`, the sole authority on the keys that it issued.
    pub(crate) fn is_issuer(&self, issuer: Incarnation) -> bool {
        self.incarnation == issuer
    }

    /// Prefix that callers use for their keys.
    pub(crate) fn prefix(&self, now: Duration) -> String {
        self.table().prefix(now)
    }

    /// Epoch of the keys issued at `now`.
    pub(crate) fn epoch(&self, now: Duration) -> u32 {
        u32::try_from(now.as_secs() / EPOCH_DURATION.as_secs()).unwrap_or(u32::MAX)
    }

    /// Decides whether to execute a call with a key of this node; permits execution at most once per key.
    pub(crate) fn begin(&self, call: Call<'_>, now: Duration) -> Decision {
        self.table().begin(call, now)
    }

    /// Refuses a call with a key of this node and closes the key, unless the call is running or has run.
    pub(crate) fn refuse(&self, call: Call<'_>, reason: Reason, now: Duration) -> Decision {
        self.table().refuse(call, reason, now)
    }

    /// Records the outcome of an execution.
    pub(crate) fn finish(&self, call: Call<'_>, outcome: Outcome) -> Decision {
        let decision = self.table().finish(call.organisation, call.key, outcome);
        self.finished.notify_all();
        decision
    }

    /// Waits for the outcome of a running call; returns [`Decision::Running`] if the deadline passes first.
    pub(crate) fn wait(&self, call: Call<'_>, deadline: Instant, now: impl Fn() -> Duration) -> Decision {
        let mut table = self.table();
        loop {
            // The key is in the table, so this call only looks it up: nothing is executed or refused.
            let decision = table.refuse(call, Reason::KeyClosed, now());
            let remaining = deadline.saturating_duration_since(Instant::now());
            if decision != Decision::Running || remaining.is_zero() {
                return decision;
            }
            let waited = self.finished.wait_timeout(table, remaining);
            table = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Decides on a call whose issuer has stopped, if this node stores the issuer's table.
    pub(crate) fn archived(&self, call: Call<'_>, now: Duration) -> Option<Decision> {
        let mut archive = self.archive.lock().unwrap_or_else(PoisonError::into_inner);
        archive.decide(call, now)
    }

    /// Seals the table: no further call is executed.
    pub(crate) fn seal(&self) {
        self.table().seal();
    }

    /// Number of running calls.
    pub(crate) fn running(&self) -> usize {
        self.table().running()
    }

    /// Number of keys in the table.
    pub(crate) fn len(&self) -> usize {
        self.table().len()
    }

    /// Contents of the sealed table.
    pub(crate) fn hand_over(&self, now: Duration) -> Option<HandOver> {
        self.table().hand_over(now)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Stores the sealed table of another node.
pub(crate) fn store(shared: &Shared, table: HandOver) {
    shared.metrics.peers.tables_received.inc();
    let mut archive = shared
        .idempotency
        .archive
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    archive.insert(table, shared.now());
}

/// Sends the sealed table to peers; returns the number of peers that confirmed it.
pub(crate) fn hand_over(shared: &Shared) -> usize {
    let Some(table) = shared.idempotency.hand_over(shared.now()) else {
        return 0;
    };
    let message = crate::peers::convert::hand_over_message(&table);
    let mut confirmed = 0;
    for holder in shared.peers.table_holders(shared.incarnation) {
        if confirmed == TABLE_HOLDERS {
            break;
        }
        if shared.client.hand_over(holder, message.clone()).is_ok() {
            confirmed += 1;
            shared.metrics.peers.tables_sent.inc();
        }
    }
    confirmed
}
