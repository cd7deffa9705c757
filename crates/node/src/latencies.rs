//! Latency estimates for complete answers, per version.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Name, hash};
use policy::estimate::Estimate;

/// Number of locks among which the versions are distributed.
const SHARD_COUNT: u64 = 16;

/// Latency estimates of all versions that have answered.
#[derive(Debug)]
pub(crate) struct Latencies {
    shards: Vec<Mutex<HashMap<Name, Estimate>>>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Latencies {
    /// Adds the latency of a complete answer, including queueing.
    pub(crate) fn add(&self, version: &Name, time: Duration) {
        let mut shard = self.lock(version);
        if let Some(estimate) = shard.get_mut(version) {
            return estimate.add(time.as_secs_f64());
        }
        let mut estimate = Estimate::default();
        estimate.add(time.as_secs_f64());
        shard.insert(version.clone(), estimate);
    }

    /// Latency that few answers exceed; zero before the first answer, so that a new version is tried.
    pub(crate) fn pessimistic(&self, version: &Name) -> Duration {
        let shard = self.lock(version);
        let seconds = shard.get(version).map_or(0.0, Estimate::pessimistic);
        Duration::from_secs_f64(seconds)
    }

    fn lock(&self, version: &Name) -> MutexGuard<'_, HashMap<Name, Estimate>> {
        let idx = hash::stable(version.as_bytes()) % SHARD_COUNT;
        self.shards[idx as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
