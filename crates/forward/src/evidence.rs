//! Detects a bad new version from its responses.
//!
//! Nodes exchange counters of responses by route and version. Each node runs a sequential test (Page's
//! cumulative sum, CUSUM) on the totals of each route: a bad response raises the sum and a good one lowers
//! it, but never below zero. So earlier good responses do not mask a version that turns bad, and a chance run
//! of bad responses on one of many nodes does not stop a good version.

use std::collections::{BTreeMap, HashMap};

use model::{Incarnation, Name};

use crate::release::Arm;

/// How a response counts for the version that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseGrade {
    /// Successful, with usual latency.
    Good,
    /// Far slower than the usual responses of the old version.
    Slow,
    /// A failure.
    Bad,
}

/// Counts of the responses on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Responses of the old version.
    pub old: u64,
    /// Failures among them.
    pub old_bad: u64,
    /// Slow ones among them.
    pub old_slow: u64,
    /// Responses of the new version.
    pub new: u64,
    /// Failures among them.
    pub new_bad: u64,
    /// Slow ones among them.
    pub new_slow: u64,
}

impl Tally {
    fn count(&mut self, arm: Arm, grade: ResponseGrade) {
        let (total, bad, slow) = match arm {
            Arm::Old => (&mut self.old, &mut self.old_bad, &mut self.old_slow),
            Arm::New => (&mut self.new, &mut self.new_bad, &mut self.new_slow),
        };
        *total += 1;
        match grade {
            ResponseGrade::Good => {}
            ResponseGrade::Slow => *slow += 1,
            ResponseGrade::Bad => *bad += 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.old += other.old;
        self.old_bad += other.old_bad;
        self.old_slow += other.old_slow;
        self.new += other.new;
        self.new_bad += other.new_bad;
        self.new_slow += other.new_slow;
    }
}

/// Counters of one process, by route.
pub type Counters = BTreeMap<Name, Tally>;

/// Sum at which a version counts as bad. Four consecutive failures reach it; a version with one slow response
/// in twelve exceeds it in less than one of a hundred releases on a fleet of 90 nodes.
const ALARM_THRESHOLD: f64 = 7.5;

/// Maximum share of bad responses that a test distinguishes; above it, good and bad versions are too similar.
const MAX_BAD_SHARE: f64 = 0.95;

/// Parameters of a test.
#[derive(Debug, Clone, Copy)]
struct TestParameters {
    /// Share of bad responses that a good version may have, in addition to twice the share of the old
    /// version.
    good_share: f64,
    /// Difference between the shares of a bad and a good version.
    increase: f64,
}

/// A good version has some failures when one of its engines fails.
const FAILURE_TEST: TestParameters = TestParameters {
    good_share: 0.05,
    increase: 0.3,
};

/// The tolerated share is larger than for failures, because slow responses by chance are more frequent.
const LATENCY_TEST: TestParameters = TestParameters {
    good_share: 0.15,
    increase: 0.2,
};

/// Sum of one test, and the counters at its last update.
#[derive(Debug, Clone, Copy, Default)]
struct CumulativeSum {
    responses: u64,
    bad: u64,
    value: f64,
}

impl CumulativeSum {
    /// Adds the responses since the last update; each pair has the number of all responses and of the bad
    /// ones.
    fn update(&mut self, parameters: TestParameters, old: (u64, u64), new: (u64, u64)) {
        let old_share = old.1 as f64 / old.0.max(1) as f64;
        let good_share = (parameters.good_share + 2.0 * old_share).min(MAX_BAD_SHARE - parameters.increase);
        let bad_share = good_share + parameters.increase;
        let added = new.0.saturating_sub(self.responses);
        let added_bad = new.1.saturating_sub(self.bad).min(added);
        let rise = added_bad as f64 * (bad_share / good_share).ln();
        let fall = (added - added_bad) as f64 * ((1.0 - bad_share) / (1.0 - good_share)).ln();
        self.value = (self.value + rise + fall).max(0.0);
        (self.responses, self.bad) = new;
    }
}

/// The tests of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTests {
    failures: CumulativeSum,
    latency: CumulativeSum,
}

/// Known responses of both versions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    counters: HashMap<Incarnation, Counters>,
    tests: HashMap<Name, RouteTests>,
}

impl Evidence {
    /// Counts a response received by a process.
    pub(crate) fn count(&mut self, of: Incarnation, route: &Name, arm: Arm, grade: ResponseGrade) {
        let counters = self.counters.entry(of).or_default();
        let tally = counters.entry(route.clone()).or_default();
        tally.count(arm, grade);
        self.update(route);
    }

    /// Merges the counters of a process; they only grow, so larger counters are newer.
    pub(crate) fn merge(&mut self, of: Incarnation, counters: Counters) {
        for (route, tally) in counters {
            let known = self.counters.entry(of).or_default();
            let known = known.entry(route.clone()).or_default();
            if tally.old + tally.new > known.old + known.new {
                *known = tally;
                self.update(&route);
            }
        }
    }

    /// The counters of one process.
    pub(crate) fn counters(&self, of: Incarnation) -> Option<&Counters> {
        self.counters.get(&of)
    }

    /// Number of responses of the new version.
    pub(crate) fn new_responses(&self) -> u64 {
        self.counters
            .values()
            .flat_map(|it| it.values())
            .map(|it| it.new)
            .sum()
    }

    /// A route on which the new version is bad.
    pub(crate) fn bad_route(&self) -> Option<&Name> {
        let is_bad =
            |it: &RouteTests| it.failures.value >= ALARM_THRESHOLD || it.latency.value >= ALARM_THRESHOLD;
        self.tests
            .iter()
            .find(|(_, it)| is_bad(it))
            .map(|(route, _)| route)
    }

    /// Totals of all known responses on a route.
    pub(crate) fn total(&self, route: &Name) -> Tally {
        let mut total = Tally::default();
        let tallies = self.counters.values().filter_map(|it| it.get(route));
        tallies.for_each(|it| total.add(it));
        total
    }

    /// Totals of all known responses by route.
    pub(crate) fn totals(&self) -> BTreeMap<&Name, Tally> {
        let routes = self.tests.keys();
        routes.map(|route| (route, self.total(route))).collect()
    }

    fn update(&mut self, route: &Name) {
        let total = self.total(route);
        let tests = self.tests.entry(route.clone()).or_default();
        let Tally { old, new, .. } = total;
        tests
            .failures
            .update(FAILURE_TEST, (old, total.old_bad), (new, total.new_bad));
        tests
            .latency
            .update(LATENCY_TEST, (old, total.old_slow), (new, total.new_slow));
    }
}
