//! Means of the loads of a service's engines.

use super::sharing::Means;
use super::{Load, Observation};
use crate::BootTime;

/// Means of reported requests, weighted by the ages of the reports.
///
/// With these weights, the estimates of all engines have the same mean as that towards which they relax.
#[derive(Debug, Default)]
pub(super) struct WeightedMean {
    requests: f64,
    waiting: f64,
    weight: f64,
}

impl WeightedMean {
    pub(super) fn add(&mut self, load: &Load, now: BootTime) {
        let recent = load.observation.filter(|it| it.age(now) < Observation::MAX_AGE);
        if let Some(observation) = recent {
            let weight = load.observation_weight(now);
            self.requests += weight * f64::from(observation.requests);
            self.waiting += weight * f64::from(observation.waiting);
            self.weight += weight;
        }
    }

    pub(super) fn value(&self) -> Option<Means> {
        (self.weight > 0.0).then(|| Means {
            requests: self.requests / self.weight,
            waiting: self.waiting / self.weight,
        })
    }
}
