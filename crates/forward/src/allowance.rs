//! The share of the fleet's retry budget that one node may use.
//!
//! The budget holds for each service over a sliding window: arrivals beyond the first of each request are bounded by
//! a ratio of the requests plus a fixed slack, summed over all nodes. Each node keeps the ratio for its own requests
//! and an equal part of the slack, so that the sum keeps the bound without messages.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// The bound for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals that are allowed in each window besides.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The attempt before failed.
    Failure,
    /// The answer is good enough to be passed on, and another one would be better.
    Quality,
}

/// Arrivals at one service.
#[derive(Debug, Clone)]
pub struct Allowance {
    bound: Bound,
    requests: VecDeque<Moment>,
    extra: VecDeque<Moment>,
}

impl Allowance {
    /// Part of the bound that is used; the rest covers requests that cross the edge of a window.
    const MARGIN: f64 = 0.85;

    /// Part that may be used for better answers; the rest is kept for requests that would otherwise fail.
    const QUALITY: f64 = 0.75;

    /// An unused allowance.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            extra: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Moment) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes the allowance for one further arrival, if there is any; `nodes` share the slack.
    pub fn take(&mut self, need: Need, nodes: usize, now: Moment) -> bool {
        self.expire(now);
        let slack = self.bound.slack / nodes.max(1) as f64;
        let most = Self::MARGIN * (self.bound.ratio * self.requests.len() as f64 + slack);
        let part = match need {
            Need::Failure => 1.0,
            Need::Quality => Self::QUALITY,
        };
        let free = self.extra.len() as f64 + 1.0 <= part * most;
        if free {
            self.extra.push_back(now);
        }
        free
    }

    fn expire(&mut self, now: Moment) {
        let old = |it: &Moment| now.saturating_sub(*it) > self.bound.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.extra.front().is_some_and(old) {
            self.extra.pop_front();
        }
    }
}
