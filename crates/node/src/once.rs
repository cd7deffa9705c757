//! At-most-once execution of keyed calls: the table of this node and the sealed tables of stopped ones.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ledger::idempotency::{Archive, Call, Decision, EPOCH_DURATION, HandOver, Limits, Outcome, Table};
use model::Incarnation;
use model::refusal::Reason;

use crate::shared::Shared;

/// Peers that get the sealed table of a planned stop.
pub(crate) const TABLE_HOLDERS: usize = 2;

/// The keys that this node can answer for.
#[derive(Debug)]
pub(crate) struct Once {
    incarnation: Incarnation,
    table: Mutex<Table>,
    /// Wakes repeated calls that wait for the first one.
    finished: Condvar,
    archive: Mutex<Archive>,
}

impl Once {
    /// An empty table of a node that starts now.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            table: Mutex::new(Table::new(incarnation, Limits::default(), Duration::ZERO)),
            finished: Condvar::new(),
            archive: Mutex::default(),
        }
    }

    /// Whether this node is the authority on keys of `issuer`.
    pub(crate) fn is_issuer(&self, issuer: Incarnation) -> bool {
        self.incarnation == issuer
    }

    /// Prefix for the keys of a caller.
    pub(crate) fn prefix(&self, now: Duration) -> String {
        self.table().prefix(now)
    }

    /// Epoch of the keys issued at `now`.
    pub(crate) fn epoch(&self, now: Duration) -> u32 {
        u32::try_from(now.as_secs() / EPOCH_DURATION.as_secs()).unwrap_or(u32::MAX)
    }

    /// Decides on a call with a key of this node.
    pub(crate) fn begin(&self, call: Call<'_>, now: Duration) -> Decision {
        self.table().begin(call, now)
    }

    /// Refuses a call with a key of this node and closes the key, unless the call runs or ran.
    pub(crate) fn refuse(&self, call: Call<'_>, reason: Reason, now: Duration) -> Decision {
        self.table().refuse(call, reason, now)
    }

    /// Records the outcome of an execution.
    pub(crate) fn finish(&self, call: Call<'_>, outcome: Outcome) -> Decision {
        let answer = self.table().finish(call.organisation, call.key, outcome);
        self.finished.notify_all();
        answer
    }

    /// Waits for the outcome of a call that runs; the answer is [`Decision::Running`] if the deadline passes first.
    pub(crate) fn wait(&self, call: Call<'_>, deadline: Instant, now: impl Fn() -> Duration) -> Decision {
        let mut table = self.table();
        loop {
            // The key is in the table, so that this executes nothing and refuses nothing.
            let answer = table.refuse(call, Reason::KeyClosed, now());
            let left = deadline.saturating_duration_since(Instant::now());
            if answer != Decision::Running || left.is_zero() {
                return answer;
            }
            let waited = self.finished.wait_timeout(table, left);
            table = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Answers for a stopped issuer whose table is here.
    pub(crate) fn archived(&self, call: Call<'_>, now: Duration) -> Option<Decision> {
        let mut archive = self.archive.lock().unwrap_or_else(PoisonError::into_inner);
        archive.decide(call, now)
    }

    /// Stops execution for good.
    pub(crate) fn seal(&self) {
        self.table().seal();
    }

    /// Calls that run.
    pub(crate) fn running(&self) -> usize {
        self.table().running()
    }

    /// Keys in the table.
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

/// Keeps the sealed table of another node.
pub(crate) fn keep(shared: &Shared, table: HandOver) {
    shared.metrics.peers.tables_received.inc();
    let mut archive = shared.once.archive.lock().unwrap_or_else(PoisonError::into_inner);
    archive.insert(table, shared.now());
}

/// Gives the sealed table to peers; returns how many have it.
pub(crate) fn hand_over(shared: &Shared) -> usize {
    let Some(table) = shared.once.hand_over(shared.now()) else {
        return 0;
    };
    let message = crate::peers::convert::hand_over_message(&table);
    let mut kept = 0;
    for holder in shared.peers.table_holders(shared.incarnation) {
        if kept == TABLE_HOLDERS {
            break;
        }
        if shared.client.hand_over(holder, message.clone()).is_ok() {
            kept += 1;
            shared.metrics.peers.tables_sent.inc();
        }
    }
    kept
}
