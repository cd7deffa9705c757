//! The active configuration.
//!
//! The configuration log thread is the only writer. Readers clone a pointer to an immutable view while
//! holding a lock briefly.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::follow::{Action, Delta, Event, Follower, Readiness, Settings, Status};
use config::state::ApplyResult;
use config::view::View;
use model::Revision;

/// State of the follower, and the view of the active configuration.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    follower: Mutex<Follower>,
    view: Mutex<Arc<View>>,
}

impl ActiveConfig {
    /// Creates the empty configuration of a starting node.
    pub(crate) fn new(settings: &config::settings::Config) -> Self {
        let settings = Settings {
            poll_interval: settings.poll,
            max_staleness: Some(settings.max_staleness).filter(|it| !it.is_zero()),
            ..Settings::default()
        };
        Self {
            follower: Mutex::new(Follower::new(settings, Duration::ZERO)),
            view: Mutex::default(),
        }
    }

    /// View of the active configuration.
    pub(crate) fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Passes an event to the follower and updates the view if the configuration changed.
    pub(crate) fn handle(&self, event: Event, now: Duration) -> Vec<Action> {
        let mut follower = lock(&self.follower);
        let actions = follower.handle(event, now);
        let changes_view = |it: &Action| match it {
            Action::Applied { result, .. } => *result == ApplyResult::Accepted,
            Action::Adopted(_) => true,
            Action::Read { .. } | Action::Fetch { .. } | Action::SnapshotDue(_) => false,
        };
        if actions.iter().any(changes_view) {
            *lock(&self.view) = Arc::new(View::new(follower.state()));
        }
        actions
    }

    /// Revision of the last applied record.
    pub(crate) fn revision(&self) -> Revision {
        lock(&self.follower).state().revision()
    }

    /// Revision that last changed an object; zero if the object does not exist.
    pub(crate) fn revision_of(&self, key: &model::object::Key) -> Revision {
        lock(&self.follower).state().revision_of(key)
    }

    /// Records or snapshot that a peer at `revision` is missing.
    pub(crate) fn delta(&self, revision: Revision, now: Duration) -> Delta {
        lock(&self.follower).delta(revision, now)
    }

    /// Payload of a snapshot of the current state.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        lock(&self.follower).state().to_snapshot()
    }

    /// Readiness of the node, and its position in the log.
    pub(crate) fn status(&self, now: Duration) -> Status {
        lock(&self.follower).status(now)
    }

    /// Counters of the follower.
    pub(crate) fn counters(&self) -> config::follow::Counters {
        lock(&self.follower).counters()
    }

    /// Whether this node may have missed changes, such as a withdrawal.
    pub(crate) fn is_stale(&self, now: Duration) -> bool {
        self.status(now).readiness != Readiness::Serving
    }

    /// Time since this node was last known to be at the end of the log; `None` before the first time.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        lock(&self.follower).age(now)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
