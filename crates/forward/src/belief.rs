//! A value with the time at which it was known to be current.

use std::sync::Arc;
use std::time::Duration;

use crate::Moment;

/// What a node holds true about something that others change.
#[derive(Debug, Clone)]
pub struct Belief<T> {
    value: Option<Arc<T>>,
    confirmed: Option<Moment>,
}

impl<T> Belief<T> {
    /// No value yet.
    pub fn unknown() -> Self {
        Self {
            value: None,
            confirmed: None,
        }
    }

    /// The value, however old.
    pub fn value(&self) -> Option<&Arc<T>> {
        self.value.as_ref()
    }

    /// Replaces the value; the caller makes sure that it is newer.
    pub fn replace(&mut self, value: Arc<T>) {
        self.value = Some(value);
    }

    /// Notes that the value was current at `moment`; an earlier moment than the one known has no effect.
    pub fn confirm(&mut self, moment: Moment) {
        self.confirmed = self.confirmed.max(Some(moment));
    }

    /// Time since the value was known to be current; `None` if it never was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed?))
    }

    /// Whether there is a value that was current less than `bound` ago.
    pub fn is_fresh(&self, now: Moment, bound: Duration) -> bool {
        self.value.is_some() && self.age(now).is_some_and(|it| it < bound)
    }
}
