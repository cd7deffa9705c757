//! Faults of a fake, changed by library calls and by HTTP.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Faults behind a lock.
#[derive(Debug, Default)]
pub(crate) struct Control<F>(Mutex<F>);

impl<F: Clone + Serialize + DeserializeOwned> Control<F> {
    pub(crate) fn get(&self) -> F {
        lock(&self.0).clone()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut F)) {
        change(&mut lock(&self.0));
    }

    pub(crate) fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(&*lock(&self.0))
    }

    /// Overwrites the fields that `text` names; an unknown field or a wrong type changes nothing.
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

/// Locks even if another thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
