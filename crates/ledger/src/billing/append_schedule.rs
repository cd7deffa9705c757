//! Rate limit and backoff for appends to the log.

use std::time::Duration;

/// Appends per second of all nodes together: half of the log's budget at the target cluster size.
const APPENDS_PER_SECOND: f64 = 150.0;

/// Minimum interval between two appends of a node, which applies to small clusters.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum backoff after failed appends, unless the append interval itself is longer.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Interval between two appends of a node in a cluster of `nodes` nodes.
pub fn append_interval(nodes: usize) -> Duration {
    // The node count always fits: a cluster never has 2^32 nodes.
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(Duration::from_secs_f64(f64::from(nodes) / APPENDS_PER_SECOND))
}

/// Schedules the appends of a node; at most one append is in flight.
#[derive(Debug)]
pub(super) struct AppendSchedule {
    interval: Duration,
    next: Duration,
    number: u64,
    failures: u32,
    in_flight: bool,
}

impl AppendSchedule {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            interval: MIN_INTERVAL,
            next: now,
            number: 0,
            failures: 0,
            in_flight: false,
        }
    }

    pub(super) fn set_nodes(&mut self, nodes: usize) {
        self.interval = append_interval(nodes);
    }

    /// Time at which the next append may start; `None` while one is in flight.
    pub(super) fn due(&self) -> Option<Duration> {
        (!self.in_flight).then_some(self.next)
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.due().is_some_and(|it| it <= now)
    }

    /// Starts an append and returns its number.
    pub(super) fn start(&mut self, now: Duration) -> u64 {
        self.number += 1;
        self.in_flight = true;
        self.next = now + self.interval;
        self.number
    }

    /// Ends the append in flight; returns false if it has another number.
    pub(super) fn end(&mut self, number: u64) -> bool {
        if !self.in_flight || number != self.number {
            return false;
        }
        self.in_flight = false;
        true
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Applies exponential backoff, so that nodes do not append at the full rate during an outage of the log.
    pub(super) fn failed(&mut self, now: Duration) {
        let backoff = self.interval * (1 << self.failures.min(8));
        self.failures += 1;
        self.next = self.next.max(now + backoff.min(MAX_BACKOFF.max(self.interval)));
    }

    /// Makes the next append due immediately.
    pub(super) fn expedite(&mut self, now: Duration) {
        self.next = self.next.min(now);
    }
}
