//! Times of appends.

use std::time::Duration;

/// Appends a second of all nodes together that the log is meant to see; half of its budget at the target size.
const APPENDS_PER_SECOND: f64 = 150.0;

/// Least time between two appends of a node, which applies at small sizes.
const LEAST_INTERVAL: Duration = Duration::from_millis(250);

/// Longest pause after failed appends, unless the interval itself is longer.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Time between two appends of a node.
pub fn append_interval(nodes: usize) -> Duration {
    // More than 2^32 nodes do not occur.
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    LEAST_INTERVAL.max(Duration::from_secs_f64(f64::from(nodes) / APPENDS_PER_SECOND))
}

/// When the next append is due, with one append in flight at most.
#[derive(Debug)]
pub(super) struct Pace {
    interval: Duration,
    next: Duration,
    number: u64,
    failures: u32,
    in_flight: bool,
}

impl Pace {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            interval: LEAST_INTERVAL,
            next: now,
            number: 0,
            failures: 0,
            in_flight: false,
        }
    }

    pub(super) fn set_nodes(&mut self, nodes: usize) {
        self.interval = append_interval(nodes);
    }

    /// When the next append may start; `None` while one is in flight.
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

    /// Ends the append in flight; false if the number is not its own.
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

    /// Doubles the pause, so that an outage is not met with appends at the full rate.
    pub(super) fn failed(&mut self, now: Duration) {
        let pause = self.interval * (1 << self.failures.min(8));
        self.failures += 1;
        self.next = self.next.max(now + pause.min(LONGEST_PAUSE.max(self.interval)));
    }

    /// Makes the next append due.
    pub(super) fn hurry(&mut self, now: Duration) {
        self.next = self.next.min(now);
    }
}
