//! Adaptive concurrency limit of one node for one engine.
//!
//! Several nodes share an engine, and its load reports are seconds old. The limit is set relative to the
//! number of requests that this node had in flight *when the report was taken*: each node reduces its own
//! part in proportion to the excess and adds an equal part of the target queue, which is small. The sum over
//! the nodes then equals the engine's batch plus the target queue whatever the lag, because repeated reports
//! of the same state give the same limit and do not accumulate.

use std::collections::VecDeque;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Load of an engine when a report was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
}

/// Concurrency limit, with the history of in-flight requests that corrects for the lag of reports.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// The limit rounded to whole requests.
    rounded: u32,
    inflight: u32,
    history: VecDeque<(Duration, u32)>,
    other_load: f64,
    capacity: BatchCapacity,
    last_report: Option<Duration>,
    last_latency_change: Duration,
    inflation: f64,
}

/// Estimate of the engine's maximum batch size.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BatchCapacity {
    /// No report has shown a queued request yet.
    Unknown,
    /// Smoothed batch size from reports with queued requests.
    Measured(f64),
}

impl ConcurrencyLimit {
    /// Target queue at the engine as a fraction of its batch. It keeps the batch full between a completion
    /// and the next arrival from a node 1 ms away, without a noticeable wait.
    const TARGET_QUEUE_FRACTION: f64 = 0.06;

    /// Growth per report lag while the engine's queue is empty, as a fraction of the batch. When the limit
    /// grew by the target queue alone, an engine stayed at 85% of its throughput for minutes after starting
    /// at a third of the right limit.
    const GROWTH_FRACTION: f64 = 0.25;

    /// Fraction of the batch that is divided equally between the nodes instead of in proportion to their
    /// requests in flight. Without it, limits of 3 and 14 for one engine stayed unequal for five minutes,
    /// because the target queue alone moves them by less than one request; at 0.2 they were still converging
    /// 60 s after the start of a load peak.
    const EQUAL_FRACTION: f64 = 0.4;

    /// Smoothing factor for each report. 0.1 keeps the limit stable with a report every 500 ms.
    const GAIN: f64 = 0.1;

    /// Reports older than this are ignored, and the limit follows latency alone.
    const REPORT_VALIDITY: Duration = Duration::from_secs(15);

    /// Minimum time between two changes of the limit by latency.
    const LATENCY_CHANGE_PERIOD: Duration = Duration::from_millis(500);

    /// Latency relative to the pool's usual latency above which the limit is lowered.
    const SLOWDOWN_THRESHOLD: f64 = 2.0;

    /// Smoothed latency relative to the recent minimum above which the limit is lowered when there are no
    /// reports.
    const INFLATION_THRESHOLD: f64 = 2.0;

    /// Smoothing factor of the latency inflation.
    const INFLATION_GAIN: f64 = 0.2;

    /// Time resolution of the in-flight history; bounds its length.
    const HISTORY_RESOLUTION: Duration = Duration::from_millis(20);

    /// Creates a limit that starts at `initial`.
    pub fn new(initial: u32) -> Self {
        Self {
            limit: f64::from(initial.max(1)),
            rounded: initial.max(1),
            inflight: 0,
            history: VecDeque::new(),
            other_load: 0.0,
            capacity: BatchCapacity::Unknown,
            last_report: None,
            last_latency_change: Duration::ZERO,
            inflation: 1.0,
        }
    }

    /// Current limit.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Number of requests that this node has in flight.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Whether one more request fits into the limit, rounded to the nearest integer.
    pub fn has_capacity(&self) -> bool {
        self.inflight < self.rounded
    }

    /// Estimated number of requests at the engine now: those of other nodes at the last report plus this
    /// node's current ones.
    pub fn load(&self) -> f64 {
        self.other_load + f64::from(self.inflight)
    }

    /// Estimated load relative to the engine's batch.
    pub fn utilisation(&self) -> f64 {
        match self.capacity {
            BatchCapacity::Unknown => self.load() / (self.other_load + self.limit),
            BatchCapacity::Measured(batch) => self.load() / batch.max(1.0),
        }
    }

    /// Records that a request was sent.
    pub fn request_sent(&mut self, now: Duration) {
        self.inflight += 1;
        self.record_inflight(now);
    }

    /// Records that a request ended.
    pub fn request_ended(&mut self, now: Duration) {
        self.inflight = self.inflight.saturating_sub(1);
        self.record_inflight(now);
    }

    /// Applies a load report that is `age` old. `nodes_per_engine` is the average number of nodes that use an
    /// engine.
    pub fn apply_report(&mut self, load: Load, age: Duration, nodes_per_engine: f64, now: Duration) {
        let taken = now.saturating_sub(age);
        if self.last_report.is_some_and(|it| taken <= it) {
            return;
        }
        self.last_report = Some(taken);
        let own = f64::from(self.inflight_at(taken));
        let running = f64::from(load.running);
        let waiting = f64::from(load.waiting);
        let total = (running + waiting).max(1.0);
        self.other_load = (running + waiting - own).max(0.0);
        if load.waiting > 0 {
            self.update_capacity(running);
        }
        let target_queue = (Self::TARGET_QUEUE_FRACTION * running).max(1.0);
        let nodes_per_engine = nodes_per_engine.max(1.0);
        let target = if load.waiting == 0 {
            // Adds at least one whole request, because only whole requests can be in flight at the next
            // report.
            own + (Self::GROWTH_FRACTION * running / nodes_per_engine).max(1.0)
        } else {
            let equal_part = Self::EQUAL_FRACTION * running;
            let target =
                own * (running - equal_part) / total + (equal_part + target_queue) / nodes_per_engine;
            // In-flight requests follow a falling limit slowly when requests are long. Without this lower
            // bound, nodes whose requests ended first freed capacity for the other nodes and fell to a third
            // of their share.
            target.max(running / nodes_per_engine)
        };
        // An idle node keeps its limit: the report tells nothing about load that the node did not send.
        if target > self.limit || waiting > target_queue {
            self.set(self.limit + self.report_gain(nodes_per_engine) * (target - self.limit));
        }
    }

    /// Smoothing factor for a report. Until the engine first reports a queue, all its nodes together make one
    /// full step per report. When the limit grew by only a tenth of a request per second, requests waited
    /// half a second in the queue of a node under its share of the target peak load. A full step by every
    /// node overloaded the engines that remain after several failures.
    fn report_gain(&self, nodes_per_engine: f64) -> f64 {
        match self.capacity {
            BatchCapacity::Unknown => nodes_per_engine.recip().max(Self::GAIN),
            BatchCapacity::Measured(_) => Self::GAIN,
        }
    }

    /// Applies a latency sample: `slowdown` relative to the pool's usual latency, `inflation` relative to the
    /// recent minimum.
    ///
    /// Without reports the limit grows only up to a latency far above the minimum and is lowered beyond it,
    /// because under overload all engines of a pool are equally slow and the slowdown does not show it.
    pub fn apply_latency(&mut self, slowdown: f64, inflation: f64, now: Duration) {
        self.inflation += Self::INFLATION_GAIN * (inflation - self.inflation);
        if now.saturating_sub(self.last_latency_change) < Self::LATENCY_CHANGE_PERIOD {
            return;
        }
        self.last_latency_change = now;
        let fresh = self
            .last_report
            .is_some_and(|it| now.saturating_sub(it) < Self::REPORT_VALIDITY);
        let inflated = !fresh && self.inflation > Self::INFLATION_THRESHOLD;
        if slowdown > Self::SLOWDOWN_THRESHOLD || inflated {
            self.set(self.limit * 0.9);
        } else if !fresh && !self.has_capacity() {
            self.set(self.limit + 1.0);
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.max(1.0);
        self.rounded = self.limit.round() as u32;
    }

    fn update_capacity(&mut self, running: f64) {
        self.capacity = BatchCapacity::Measured(match self.capacity {
            BatchCapacity::Unknown => running,
            BatchCapacity::Measured(batch) => batch + Self::GAIN * (running - batch),
        });
    }

    fn record_inflight(&mut self, now: Duration) {
        match self.history.back_mut() {
            Some((at, count)) if now.saturating_sub(*at) < Self::HISTORY_RESOLUTION => *count = self.inflight,
            _ => self.history.push_back((now, self.inflight)),
        }
        while self.history.len() > 2 && now.saturating_sub(self.history[1].0) > Self::REPORT_VALIDITY {
            self.history.pop_front();
        }
    }

    fn inflight_at(&self, at: Duration) -> u32 {
        let after = self.history.partition_point(|it| it.0 <= at);
        match after.checked_sub(1) {
            Some(idx) => self.history[idx].1,
            None => 0,
        }
    }
}
