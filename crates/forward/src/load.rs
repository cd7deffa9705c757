//! Load and health of engines as seen by this node.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::Upstream;

use crate::directory::Engine;
use crate::retry::Failure;
use crate::work::Work;
use crate::{BootTime, decay};

/// Load that an engine reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in its queue.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
}

/// Load and health of one run of an engine.
#[derive(Debug, Clone)]
pub struct Load {
    started_ms: u64,
    /// Requests of this node in progress.
    pub in_flight: u32,
    /// Work of this node's requests without a response so far, whose prompts the engine may still have to
    /// read.
    pub pending_work: Work,
    /// Requests of other nodes according to the last report.
    other_requests: f64,
    reported_at: Option<BootTime>,
    consecutive_failures: u32,
    avoided_until: Option<BootTime>,
    /// Smoothed share of failures among the responses.
    error_rate: f64,
    error_at: Option<BootTime>,
    success_at: Option<BootTime>,
    /// Smoothed time to the first byte relative to that of the whole service.
    latency_ratio: f64,
    samples: u32,
}

impl Load {
    /// Time after which half of a report counts as outdated.
    const REPORT_HALF_LIFE: Duration = Duration::from_millis(1500);

    /// Smoothing factor of the latency ratio.
    const LATENCY_GAIN: f64 = 0.15;

    /// Smoothing factor of the error rate: one failure among successes costs little, two in a row cost much.
    const ERROR_GAIN: f64 = 0.4;

    /// Time after which the error rate counts half; an engine that gets no requests cannot lower it by
    /// successes.
    const ERROR_HALF_LIFE: Duration = Duration::from_secs(15);

    /// Age up to which a success shows that an engine works.
    const SUCCESS_MAX_AGE: Duration = Duration::from_secs(10);

    /// Samples before the latency ratio is used.
    const MIN_SAMPLES: u32 = 4;

    fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            in_flight: 0,
            pending_work: 0.0,
            other_requests: 0.0,
            reported_at: None,
            consecutive_failures: 0,
            avoided_until: None,
            error_rate: 0.0,
            error_at: None,
            success_at: None,
            latency_ratio: 1.0,
            samples: 0,
        }
    }

    /// Estimated number of requests at the engine, including waiting ones.
    pub fn estimated_requests(&self, now: BootTime) -> f64 {
        let age = self.reported_at.map(|it| now.saturating_sub(it));
        f64::from(self.in_flight) + self.other_requests * decay(age, Self::REPORT_HALF_LIFE)
    }

    /// Estimated share of failures among the responses.
    pub fn error_rate(&self, now: BootTime) -> f64 {
        let age = self.error_at.map(|it| now.saturating_sub(it));
        self.error_rate * decay(age, Self::ERROR_HALF_LIFE)
    }

    /// Whether it recently served a request of this node successfully.
    pub fn has_recent_success(&self, now: BootTime) -> bool {
        self.success_at
            .is_some_and(|it| now.saturating_sub(it) <= Self::SUCCESS_MAX_AGE)
    }

    /// Whether the engine failed recently and should get no requests while others can take them.
    pub fn is_avoided(&self, now: BootTime) -> bool {
        self.avoided_until.is_some_and(|it| now < it)
    }

    /// Time to the first byte relative to that of the whole service; 1 while there are too few samples.
    pub fn latency_ratio(&self) -> f64 {
        if self.samples < Self::MIN_SAMPLES {
            return 1.0;
        }
        self.latency_ratio.max(0.5)
    }
}

/// The loads of all engines to which this node sent requests.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    engines: HashMap<Upstream, Load>,
}

impl Loads {
    /// Time for which an engine is avoided after a failure; doubled with each consecutive one.
    const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

    /// Maximum number of doublings, which limits the backoff to 8 s.
    const MAX_DOUBLINGS: u32 = 4;

    /// Time for which an engine that refused because it is full is avoided: about the delay of its reports.
    const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

    /// Time for which an engine is avoided after a response without end: the longest one, because its head
    /// counts as a success each time, and each such response costs the node as much as its limits allow.
    const OVERLONG_BACKOFF: Duration = Duration::from_secs(8);

    /// The load of an engine; `None` if nothing was sent to this run of it.
    pub fn get(&self, engine: &Engine) -> Option<&Load> {
        self.engines
            .get(&engine.id)
            .filter(|it| it.started_ms == engine.started_ms)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, engine: &Engine, work: Work) {
        let load = self.entry(engine);
        load.in_flight += 1;
        load.pending_work += work;
    }

    /// Records that the response to a request has begun, or that there will be none.
    pub fn record_response_start(&mut self, engine: &Engine, work: Work) {
        let load = self.entry(engine);
        load.pending_work = (load.pending_work - work).max(0.0);
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, engine: &Engine) {
        let load = self.entry(engine);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Records a load report.
    pub fn record_report(&mut self, engine: &Engine, report: LoadReport, now: BootTime) {
        let load = self.entry(engine);
        let total = f64::from(report.running + report.waiting);
        load.other_requests = (total - f64::from(load.in_flight)).max(0.0);
        load.reported_at = Some(now);
    }

    /// Records a response whose first byte took `ratio` times as long as usual for the service.
    pub fn record_success(&mut self, engine: &Engine, ratio: f64, now: BootTime) {
        let load = self.entry(engine);
        load.consecutive_failures = 0;
        load.avoided_until = None;
        load.error_rate -= Load::ERROR_GAIN * load.error_rate;
        load.success_at = Some(now);
        load.samples += 1;
        load.latency_ratio += Load::LATENCY_GAIN * (ratio.clamp(0.1, 10.0) - load.latency_ratio);
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, engine: &Engine, failure: Failure, now: BootTime) {
        let load = self.entry(engine);
        let backoff = match failure {
            Failure::Refused => Self::REFUSAL_BACKOFF,
            Failure::Overlong => Self::OVERLONG_BACKOFF,
            Failure::Failed => {
                load.error_rate = load.error_rate(now);
                load.error_rate += Load::ERROR_GAIN * (1.0 - load.error_rate);
                load.error_at = Some(now);
                return;
            }
            _ => {
                load.consecutive_failures += 1;
                Self::FAILURE_BACKOFF * 2_u32.pow((load.consecutive_failures - 1).min(Self::MAX_DOUBLINGS))
            }
        };
        load.avoided_until = load.avoided_until.max(Some(now + backoff));
    }

    /// Drops the state of engines that are no longer listed and have no request in progress.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>) {
        let listed: std::collections::HashSet<_> = listed.map(|it| it.id.clone()).collect();
        self.engines
            .retain(|id, it| it.in_flight > 0 || listed.contains(id));
    }

    fn entry(&mut self, engine: &Engine) -> &mut Load {
        let load = self
            .engines
            .entry(engine.id.clone())
            .or_insert_with(|| Load::new(engine.started_ms));
        if load.started_ms != engine.started_ms {
            *load = Load::new(engine.started_ms);
        }
        load
    }
}
