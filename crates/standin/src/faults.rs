//! Injected faults of a fake, which can be changed by library calls and over HTTP.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Faults shared by the handle of a fake and its requests.
#[derive(Debug, Default)]
pub(crate) struct SharedFaults<F>(Mutex<F>);

impl<F: Clone + Serialize + DeserializeOwned> SharedFaults<F> {
    pub(crate) fn get(&self) -> F {
        lock(&self.0).clone()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut F)) {
        change(&mut lock(&self.0));
    }

    pub(crate) fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(&*lock(&self.0))
    }

    /// Sets the fields in the JSON object `text`; an unknown field or a wrong type leaves all unchanged.
    pub(crate) fn merge(&self, text: &str) -> Result<(), serde_json::Error> {
        let changes: serde_json::Map<String, Value> = serde_json::from_str(text)?;
        let mut faults = lock(&self.0);
        let mut value = serde_json::to_value(&*faults)?;
        if let Value::Object(fields) = &mut value {
            fields.extend(changes);
        }
        *faults = serde_json::from_value(value)?;
        Ok(())
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one request does not fail the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
