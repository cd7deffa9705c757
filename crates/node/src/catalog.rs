//! The configuration in force.
//!
//! The thread of the configuration log is the only writer. Readers copy a pointer to an immutable view under a short
//! lock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::follow::{Action, Delta, Event, Follower, Readiness, Settings, Status};
use config::state::ApplyResult;
use config::view::View;
use model::Revision;

/// The folded configuration and its view.
#[derive(Debug)]
pub(crate) struct Catalog {
    follower: Mutex<Follower>,
    view: Mutex<Arc<View>>,
}

impl Catalog {
    /// An empty configuration of a node that starts now.
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

    /// The view in force.
    pub(crate) fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Processes an event and puts the result in force.
    pub(crate) fn handle(&self, event: Event, now: Duration) -> Vec<Action> {
        let mut follower = lock(&self.follower);
        let actions = follower.handle(event, now);
        let changes = |it: &Action| match it {
            Action::Applied { result, .. } => *result == ApplyResult::Accepted,
            Action::Adopted(_) => true,
            Action::Read { .. } | Action::Fetch { .. } | Action::SnapshotDue(_) => false,
        };
        if actions.iter().any(changes) {
            *lock(&self.view) = Arc::new(View::new(follower.state()));
        }
        actions
    }

    /// Revision of the last folded record.
    pub(crate) fn revision(&self) -> Revision {
        lock(&self.follower).state().revision()
    }

    /// Revision that last changed an object, zero if it is absent.
    pub(crate) fn revision_of(&self, key: &model::object::Key) -> Revision {
        lock(&self.follower).state().revision_of(key)
    }

    /// What a peer that holds `revision` lacks.
    pub(crate) fn delta(&self, revision: Revision, now: Duration) -> Delta {
        lock(&self.follower).delta(revision, now)
    }

    /// Payload of a snapshot of the state held.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        lock(&self.follower).state().to_snapshot()
    }

    /// Whether the node may serve, and what it knows of the log.
    pub(crate) fn status(&self, now: Duration) -> Status {
        lock(&self.follower).status(now)
    }

    /// Counts of the follower.
    pub(crate) fn counters(&self) -> config::follow::Counters {
        lock(&self.follower).counters()
    }

    /// Whether this node may have missed changes, such as a withdrawal.
    pub(crate) fn is_stale(&self, now: Duration) -> bool {
        self.status(now).readiness != Readiness::Serving
    }

    /// Time since the end of the log was last held; `None` before the first time.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        lock(&self.follower).age(now)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
