//! A cached value with the time at which it was last confirmed to be current.

use std::sync::Arc;
use std::time::Duration;

use crate::BootTime;

/// Local copy of a value that is changed elsewhere.
#[derive(Debug, Clone)]
pub struct Cached<T> {
    value: Option<Arc<T>>,
    confirmed_at: Option<BootTime>,
}

impl<T> Cached<T> {
    /// A cache without a value.
    pub fn empty() -> Self {
        Self {
            value: None,
            confirmed_at: None,
        }
    }

    /// The value, whatever its age.
    pub fn value(&self) -> Option<&Arc<T>> {
        self.value.as_ref()
    }

    /// Replaces the value; the caller ensures that it is newer.
    pub fn replace(&mut self, value: Arc<T>) {
        self.value = Some(value);
    }

    /// Records that the value was current at `time`; has no effect if a later time is already recorded.
    pub fn confirm(&mut self, time: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(time));
    }

    /// Records that the value is known not to be current; returns whether it was confirmed before.
    pub fn withdraw(&mut self) -> bool {
        self.confirmed_at.take().is_some()
    }

    /// Time since the value was last confirmed; `None` if it never was, or not since it was withdrawn.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Whether there is a value that was confirmed less than `max_age` ago.
    pub fn is_fresh(&self, now: BootTime, max_age: Duration) -> bool {
        self.value.is_some() && self.age(now).is_some_and(|it| it < max_age)
    }
}
