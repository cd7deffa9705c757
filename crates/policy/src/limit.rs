//! Adaptive concurrency limit of one engine, as seen by one node.
//!
//! Several nodes share an engine, and its load report is seconds old. The limit is set relative to what this node had
//! in flight *when the report was taken*: each node reduces its own part in proportion to the excess and takes an
//! equal part of the wanted small queue. The sum over the nodes is then the engine's batch plus the wanted queue,
//! whatever the lag, because repeated reports of the same state give the same limit and do not accumulate.

use std::collections::VecDeque;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Load of an engine at the time of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Concurrency limit with the history that corrects lagging reports.
#[derive(Debug, Clone)]
pub struct Limit {
    limit: f64,
    /// The limit, rounded to whole requests.
    places: u32,
    inflight: u32,
    history: VecDeque<(Duration, u32)>,
    others: f64,
    capacity: Capacity,
    reported: Option<Duration>,
    raised: Duration,
    inflation: f64,
}

/// What is known about the engine's greatest batch.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Capacity {
    /// No report showed a waiting request yet.
    Unknown,
    /// Smoothed batch size at times when requests waited.
    Batch(f64),
}

impl Limit {
    /// Wanted queue at the engine as a fraction of its batch: keeps the batch full between a completion and the next
    /// arrival from a node 1 ms away, without a noticeable wait.
    const WANTED_QUEUE: f64 = 0.06;

    /// Growth in one lag while nothing waits, as a fraction of the batch. Growth by the wanted queue alone left an
    /// engine at 85% of its throughput for minutes after a first limit of a third of the right one.
    const PROBE: f64 = 0.25;

    /// Part of the batch that is divided equally between the nodes instead of in proportion to what each has. Without
    /// it, limits of 3 and 14 on one engine stayed so for five minutes, because the wanted queue alone moves them by
    /// less than one request; at 0.2 they still moved 60 s after a rush began.
    const EQUAL_PART: f64 = 0.4;

    /// Smoothing factor for each report; 0.1 keeps the limit steady with a report every half second.
    const GAIN: f64 = 0.1;

    /// Reports older than this are not used, and latency alone sets the limit.
    const REPORT_VALIDITY: Duration = Duration::from_secs(15);

    /// Period between two changes by latency alone.
    const LATENCY_PERIOD: Duration = Duration::from_millis(500);

    /// Slowdown against the pool's usual latency from which the limit falls.
    const SLOWDOWN: f64 = 2.0;

    /// Smoothed latency relative to the best one from which the limit falls when there are no reports.
    const INFLATION: f64 = 2.0;

    /// Smoothing factor of the inflation.
    const INFLATION_GAIN: f64 = 0.2;

    /// Resolution of the history; bounds its length.
    const HISTORY_STEP: Duration = Duration::from_millis(20);

    /// A limit before any measurement.
    pub fn new(initial: u32) -> Self {
        Self {
            limit: f64::from(initial.max(1)),
            places: initial.max(1),
            inflight: 0,
            history: VecDeque::new(),
            others: 0.0,
            capacity: Capacity::Unknown,
            reported: None,
            raised: Duration::ZERO,
            inflation: 1.0,
        }
    }

    /// Current limit.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Requests of this node in flight.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Whether one more request fits into the limit, rounded to the nearest whole number.
    pub fn has_room(&self) -> bool {
        self.inflight < self.places
    }

    /// Estimated requests at the engine now: others' at the last report plus own ones now.
    pub fn load(&self) -> f64 {
        self.others + f64::from(self.inflight)
    }

    /// Estimated load relative to the engine's batch.
    pub fn fill(&self) -> f64 {
        match self.capacity {
            Capacity::Unknown => self.load() / (self.others + self.limit),
            Capacity::Batch(batch) => self.load() / batch.max(1.0),
        }
    }

    /// Counts a request sent.
    pub fn sent(&mut self, now: Duration) {
        self.inflight += 1;
        self.record(now);
    }

    /// Counts a request ended.
    pub fn ended(&mut self, now: Duration) {
        self.inflight = self.inflight.saturating_sub(1);
        self.record(now);
    }

    /// Takes a report that is `age` old; `sharers` is the number of nodes that use the engine.
    pub fn report(&mut self, load: Load, age: Duration, sharers: f64, now: Duration) {
        let taken = now.saturating_sub(age);
        if self.reported.is_some_and(|it| taken <= it) {
            return;
        }
        self.reported = Some(taken);
        let own = f64::from(self.inflight_at(taken));
        let running = f64::from(load.running);
        let waiting = f64::from(load.waiting);
        let total = (running + waiting).max(1.0);
        self.others = (running + waiting - own).max(0.0);
        if load.waiting > 0 {
            self.learn(running);
        }
        let wanted = (Self::WANTED_QUEUE * running).max(1.0);
        let sharers = sharers.max(1.0);
        let target = if load.waiting == 0 {
            // At least one whole request, because only whole ones can be in flight at the next report.
            own + (Self::PROBE * running / sharers).max(1.0)
        } else {
            let equal = Self::EQUAL_PART * running;
            let target = own * (running - equal) / total + (equal + wanted) / sharers;
            // Long requests leave a falling limit slowly. Without this bound, nodes whose requests ended first made
            // room for the others' and fell to a third of their share.
            target.max(running / sharers)
        };
        // An idle node keeps its limit: the report says nothing about a load that it did not send.
        if target > self.limit || waiting > wanted {
            self.set(self.limit + self.gain(sharers) * (target - self.limit));
        }
    }

    /// Smoothing factor for a report. Until the engine has once reported a queue, its nodes together take one whole
    /// step for each report: at a tenth of a request a second, one node's share of the target's peak waited half a
    /// second in its queue. A whole step of every node overran the engines that are left after several faults.
    fn gain(&self, sharers: f64) -> f64 {
        match self.capacity {
            Capacity::Unknown => sharers.recip().max(Self::GAIN),
            Capacity::Batch(_) => Self::GAIN,
        }
    }

    /// Takes the engine's latency: `slowdown` relative to the pool's usual one, `inflation` relative to the best one.
    ///
    /// Without reports, growth stops and the limit falls when the latency is far above the best one, because under
    /// overload all engines of a pool are equally slow.
    pub fn latency(&mut self, slowdown: f64, inflation: f64, now: Duration) {
        self.inflation += Self::INFLATION_GAIN * (inflation - self.inflation);
        if now.saturating_sub(self.raised) < Self::LATENCY_PERIOD {
            return;
        }
        self.raised = now;
        let fresh = self
            .reported
            .is_some_and(|it| now.saturating_sub(it) < Self::REPORT_VALIDITY);
        let inflated = !fresh && self.inflation > Self::INFLATION;
        if slowdown > Self::SLOWDOWN || inflated {
            self.set(self.limit * 0.9);
        } else if !fresh && !self.has_room() {
            self.set(self.limit + 1.0);
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.max(1.0);
        self.places = self.limit.round() as u32;
    }

    fn learn(&mut self, running: f64) {
        self.capacity = Capacity::Batch(match self.capacity {
            Capacity::Unknown => running,
            Capacity::Batch(batch) => batch + Self::GAIN * (running - batch),
        });
    }

    fn record(&mut self, now: Duration) {
        match self.history.back_mut() {
            Some((at, count)) if now.saturating_sub(*at) < Self::HISTORY_STEP => *count = self.inflight,
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
