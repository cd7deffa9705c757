//! Times that versions take for a whole answer.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Name, hash};
use policy::estimate::Estimate;

/// Locks over which the versions are spread.
const SHARDS: u64 = 16;

/// Times of all versions that answered.
#[derive(Debug)]
pub(crate) struct Latencies {
    shards: Vec<Mutex<HashMap<Name, Estimate>>>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Latencies {
    /// Adds the time of a whole answer, queueing included.
    pub(crate) fn add(&self, version: &Name, time: Duration) {
        let mut shard = self.lock(version);
        if let Some(estimate) = shard.get_mut(version) {
            return estimate.add(time.as_secs_f64());
        }
        let mut estimate = Estimate::default();
        estimate.add(time.as_secs_f64());
        shard.insert(version.clone(), estimate);
    }

    /// Time that few answers exceed; zero before the first answer, so that a new version is tried.
    pub(crate) fn high(&self, version: &Name) -> Duration {
        let shard = self.lock(version);
        let seconds = shard.get(version).map_or(0.0, Estimate::pessimistic);
        Duration::from_secs_f64(seconds)
    }

    fn lock(&self, version: &Name) -> MutexGuard<'_, HashMap<Name, Estimate>> {
        let idx = hash::stable(version.as_bytes()) % SHARDS;
        self.shards[idx as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
