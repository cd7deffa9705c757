//! A load report with the time at which it was received.

use std::time::Duration;

use crate::BootTime;
use crate::directory::Engine;
use crate::load::LoadReport;

/// Load of one run of an engine at one time, within the bounds of what is possible.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Requests being processed or waiting.
    pub requests: u32,
    /// Those of them that wait in the engine's queue.
    pub waiting: u32,
    /// Time that work takes relative to the normal time; `None` if the engine does not state it.
    pub work_factor: Option<f64>,
    /// When the response that stated it was received.
    pub observed_at: BootTime,
}

impl Observation {
    /// Age from which an observation is neither kept nor passed on: it says little about the present load.
    pub const MAX_AGE: Duration = Duration::from_secs(5);

    /// Maximum number of requests for each slot of an engine.
    const MAX_REQUESTS_PER_SLOT: u32 = 8;

    /// The observation that a response of an engine makes.
    pub fn of_report(engine: &Engine, report: &LoadReport, now: BootTime) -> Self {
        Self::bounded(engine, report.requests(), report.work_factor, now).with_waiting(report.waiting)
    }

    /// An observation of an engine, limited to what the engine can hold. Requests in excess of the slots count as waiting.
    pub fn bounded(engine: &Engine, requests: u32, work_factor: Option<f64>, observed_at: BootTime) -> Self {
        let max_requests = engine.slots.max(1).saturating_mul(Self::MAX_REQUESTS_PER_SLOT);
        let requests = requests.min(max_requests);
        Self {
            requests,
            waiting: requests.saturating_sub(engine.slots.max(1)),
            work_factor: work_factor.and_then(LoadReport::bound_factor),
            observed_at,
        }
    }

    /// The observation with the stated number of waiting requests.
    pub fn with_waiting(self, waiting: u32) -> Self {
        Self {
            waiting: waiting.min(self.requests),
            ..self
        }
    }

    /// Time since the response was received.
    pub fn age(&self, now: BootTime) -> Duration {
        now.saturating_sub(self.observed_at)
    }

    /// Whether it replaces another observation of the same run: the newer one does. Of two that are equally old, the
    /// one with the greater values does, so that the result does not depend on their order.
    pub fn replaces(&self, other: &Self) -> bool {
        let key = |it: &Self| (it.observed_at, it.requests, it.waiting);
        let factor = |it: &Self| it.work_factor.unwrap_or(0.0);
        key(self)
            .cmp(&key(other))
            .then(factor(self).total_cmp(&factor(other)))
            .is_gt()
    }
}
