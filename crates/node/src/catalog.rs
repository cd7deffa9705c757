//! The configuration in force.
//!
//! The log tailer is the only writer. Readers copy a pointer to an immutable view under a short lock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::fold::{State, Verdict};
use config::view::View;
use model::{Offset, Revision};

/// The folded configuration and its view.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    state: Mutex<State>,
    view: Mutex<Arc<View>>,
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

    /// Folds one record and puts the result in force.
    pub(crate) fn apply(&self, offset: Offset, payload: &[u8]) -> Verdict {
        let mut state = lock(&self.state);
        let verdict = state.apply(offset, payload);
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

    /// Notes that the end of the log was held at `now`.
    pub(crate) fn confirm(&self, now: Duration) {
        *lock(&self.confirmed) = Some(now);
    }

    /// Time since the end of the log was last held; `None` before the first time.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        lock(&self.confirmed).map(|it| now.saturating_sub(it))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
