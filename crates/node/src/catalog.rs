//! The configuration in force.
//!
//! The log tailer is the only writer. Readers copy a pointer to an immutable view under a short lock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::fold::{State, Verdict};
use config::view::View;
use model::{Offset, Revision};

mod tail;

use tail::Tail;

/// The folded configuration and its view.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    state: Mutex<State>,
    view: Mutex<Arc<View>>,
    /// Last folded records, for nodes that lack them.
    tail: Mutex<Tail>,
    /// When this node last held the end of the log, as time since its start.
    confirmed: Mutex<Option<Duration>>,
}

impl Catalog {
    /// The view in force.
    pub(crate) fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Revision of the last folded record.
    pub(crate) fn revision(&self) -> Revision {
        lock(&self.state).revision()
    }

    /// Revision that last changed an object, zero if it is absent.
    pub(crate) fn revision_of(&self, key: &model::object::Key) -> Revision {
        lock(&self.state).revision_of(key)
    }

    /// Folds one record and puts the result in force.
    pub(crate) fn apply(&self, offset: Offset, payload: &[u8]) -> Verdict {
        let mut state = lock(&self.state);
        let verdict = state.apply(offset, payload);
        if !matches!(verdict, Verdict::Skipped | Verdict::Gap) {
            lock(&self.tail).push(offset, payload);
        }
        if verdict == Verdict::Accepted {
            *lock(&self.view) = Arc::new(View::new(&state));
        }
        verdict
    }

    /// Takes over a snapshot unless the state held is newer.
    pub(crate) fn restore(&self, snapshot: State) {
        let mut state = lock(&self.state);
        if snapshot.revision() <= state.revision() {
            return;
        }
        *lock(&self.view) = Arc::new(View::new(&snapshot));
        *state = snapshot;
    }

    /// The records after a revision; `None` if one is not kept.
    pub(crate) fn records_after(&self, revision: Revision) -> Option<Vec<(Offset, Vec<u8>)>> {
        let state = lock(&self.state);
        if revision >= state.revision() {
            return Some(Vec::new());
        }
        lock(&self.tail).after(revision)
    }

    /// Payload of a snapshot of the state held.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        lock(&self.state).to_snapshot()
    }

    /// Notes that the end of the log was held at `now`.
    pub(crate) fn confirm(&self, now: Duration) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = (*confirmed).max(Some(now));
    }

    /// Time since the end of the log was last held; `None` before the first time.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        lock(&self.confirmed).map(|it| now.saturating_sub(it))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
