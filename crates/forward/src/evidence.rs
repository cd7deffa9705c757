//! What the responses say about a new version.
//!
//! Nodes exchange counters of responses by route and version. For each route, each node runs two sequential
//! tests on the totals: one of failures and one of slow responses. Each response of the new version adds its
//! log-likelihood ratio of a bad version to a good one. Two cumulative sums (Page's CUSUM) follow from it:
//!
//! - The *alarm* rises with bad responses and never falls below zero, so that earlier good responses do not mask a
//!   version that turns bad.
//! - The *assurance* rises with good responses and never falls below zero, so that a route that turns bad loses it.
//!
//! The same sums are kept over all routes. The assurance of the whole service begins at zero when a stage becomes active,
//! so that it is left only on responses of its own.
//!
//! What a good version may do is measured by the latest responses of the old one, which meet the same load.

use std::collections::{BTreeMap, HashMap};

use model::{Incarnation, Name};

use crate::release::Arm;

/// How a response counts for the version that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseGrade {
    /// Successful, with usual latency.
    Good,
    /// Far slower than the usual responses of the old version, or not there after that time.
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
    /// One response.
    fn of(arm: Arm, grade: ResponseGrade) -> Self {
        let (bad, slow) = match grade {
            ResponseGrade::Good => (0, 0),
            ResponseGrade::Slow => (0, 1),
            ResponseGrade::Bad => (1, 0),
        };
        match arm {
            Arm::Old => Self {
                old: 1,
                old_bad: bad,
                old_slow: slow,
                ..Self::default()
            },
            Arm::New => Self {
                new: 1,
                new_bad: bad,
                new_slow: slow,
                ..Self::default()
            },
        }
    }

    fn combine(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            old: f(self.old, other.old),
            old_bad: f(self.old_bad, other.old_bad),
            old_slow: f(self.old_slow, other.old_slow),
            new: f(self.new, other.new),
            new_bad: f(self.new_bad, other.new_bad),
            new_slow: f(self.new_slow, other.new_slow),
        }
    }

    fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    fn minus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    /// Responses of both versions.
    fn all(&self) -> u64 {
        self.old + self.new
    }
}

/// Counters of one process, by route.
pub type Counters = BTreeMap<Name, Tally>;

/// Alarm at which a version counts as bad. Four consecutive failures reach it; a version with one slow response
/// in twelve exceeds it in less than one of a hundred releases on a fleet of 90 nodes.
const ALARM_THRESHOLD: f64 = 7.5;

/// Assurance of the service at which a stage may be left: odds of 20 to 1.
const SERVICE_ASSURANCE: f64 = 3.0;

/// Assurance that is also required of each route of some weight, so that the others do not mask it.
const ROUTE_ASSURANCE: f64 = 1.0;

/// Minimum share of the responses from which on [`ROUTE_ASSURANCE`] is required of a route.
const ROUTE_WEIGHT: f64 = 0.1;

/// Maximum share of bad responses that a test distinguishes; above it, good and bad versions are too similar.
const MAX_BAD_SHARE: f64 = 0.95;

/// Responses of the old version over which its share of bad ones is averaged.
const OLD_RESPONSES: f64 = 150.0;

/// Responses of the old version from which on its share of bad ones is known, and the share that is assumed without
/// any: a node that has just started must not take the usual failures of a service for those of the new version.
const ENOUGH_OLD_RESPONSES: f64 = 10.0;
const ASSUMED_SHARE: f64 = 0.25;

/// Parameters of a test.
#[derive(Debug, Clone, Copy)]
struct TestParameters {
    /// Share of bad responses that a good version may have, in addition to that of the old version.
    tolerance: f64,
    /// Factor by which the share of the old version is tolerated.
    old_factor: f64,
    /// Difference between the shares of a bad and a good version.
    increase: f64,
}

/// A good version has some failures when one of its engines fails.
const FAILURE_TEST: TestParameters = TestParameters {
    tolerance: 0.05,
    old_factor: 2.0,
    increase: 0.3,
};

/// Slow responses by chance are more frequent than failures.
const LATENCY_TEST: TestParameters = TestParameters {
    tolerance: 0.1,
    old_factor: 1.0,
    increase: 0.25,
};

/// One test of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Test {
    /// Latest responses of the old version, and the bad ones among them; older ones count for less.
    old: f64,
    old_bad: f64,
    alarm: f64,
    assurance: f64,
}

impl Test {
    /// Adds responses; each pair has the number of all responses and of the bad ones.
    ///
    /// Returns the log-likelihood ratio of a bad version to a good one.
    fn update(&mut self, parameters: TestParameters, old: (u64, u64), new: (u64, u64)) -> f64 {
        let kept = (1.0 - 1.0 / OLD_RESPONSES).powf(old.0 as f64);
        self.old = self.old * kept + old.0 as f64;
        self.old_bad = self.old_bad * kept + old.1 as f64;
        let known = (self.old / ENOUGH_OLD_RESPONSES).min(1.0);
        let old_share = known * self.old_bad / self.old.max(1.0) + (1.0 - known) * ASSUMED_SHARE;
        let good_share = (parameters.tolerance + parameters.old_factor * old_share)
            .min(MAX_BAD_SHARE - parameters.increase);
        let bad_share = good_share + parameters.increase;
        let (all, bad) = (new.0 as f64, new.1.min(new.0) as f64);
        let ratio =
            bad * (bad_share / good_share).ln() + (all - bad) * ((1.0 - bad_share) / (1.0 - good_share)).ln();
        self.alarm = (self.alarm + ratio).max(0.0);
        self.assurance = (self.assurance - ratio).max(0.0);
        ratio
    }
}

/// Responses and tests of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Route {
    total: Tally,
    failures: Test,
    latency: Test,
}

impl Route {
    /// Adds responses; returns the log-likelihood ratios of both tests.
    fn add(&mut self, added: Tally) -> [f64; 2] {
        self.total = self.total.plus(added);
        let Tally { old, new, .. } = added;
        [
            self.failures
                .update(FAILURE_TEST, (old, added.old_bad), (new, added.new_bad)),
            self.latency
                .update(LATENCY_TEST, (old, added.old_slow), (new, added.new_slow)),
        ]
    }

    fn alarm(&self) -> f64 {
        self.failures.alarm.max(self.latency.alarm)
    }

    fn is_bad(&self) -> bool {
        self.alarm() >= ALARM_THRESHOLD
    }

    fn assurance(&self) -> f64 {
        self.failures.assurance.min(self.latency.assurance)
    }
}

/// Known responses of both versions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    counters: HashMap<Incarnation, Counters>,
    routes: BTreeMap<Name, Route>,
    /// Alarm of the service by failures and by latency.
    alarm: [f64; 2],
    /// Assurance of the service by failures and by latency since the begin of the stage.
    stage_assurance: [f64; 2],
}

impl Evidence {
    /// Counts a response received by a process.
    pub(crate) fn count(&mut self, of: Incarnation, route: &Name, arm: Arm, grade: ResponseGrade) {
        let response = Tally::of(arm, grade);
        let counters = self.counters.entry(of).or_default();
        let known = counters.entry(route.clone()).or_default();
        *known = known.plus(response);
        self.add(route, response, true);
    }

    /// Merges the counters of a process; they only grow, so larger counters are newer.
    ///
    /// The first counters of a process may be of earlier stages.
    pub(crate) fn merge(&mut self, of: Incarnation, counters: Counters) {
        let is_of_stage = self.counters.contains_key(&of);
        for (route, tally) in counters {
            let known = self.counters.entry(of).or_default();
            let known = known.entry(route.clone()).or_default();
            if tally.all() > known.all() {
                let added = tally.minus(*known);
                *known = tally;
                self.add(&route, added, is_of_stage);
            }
        }
    }

    /// The counters of one process.
    pub(crate) fn counters(&self, of: Incarnation) -> Option<&Counters> {
        self.counters.get(&of)
    }

    fn add(&mut self, route: &Name, added: Tally, is_of_stage: bool) {
        let ratios = self.routes.entry(route.clone()).or_default().add(added);
        for (index, ratio) in ratios.into_iter().enumerate() {
            self.alarm[index] = (self.alarm[index] + ratio).max(0.0);
            if is_of_stage {
                self.stage_assurance[index] = (self.stage_assurance[index] - ratio).max(0.0);
            }
        }
    }

    /// Begins a stage, in which the service must be assured again.
    pub(crate) fn begin_stage(&mut self) {
        self.stage_assurance = [0.0; 2];
    }

    /// Whether the responses of this stage show that the new version is as good as the old one.
    pub(crate) fn is_service_assured(&self) -> bool {
        self.stage_assurance.iter().all(|it| *it >= SERVICE_ASSURANCE)
    }

    /// Whether responses also show this for each route of some weight.
    pub(crate) fn are_routes_assured(&self) -> bool {
        let (all, _) = self.volume();
        let weighs = |it: &&Route| it.total.all() as f64 >= ROUTE_WEIGHT * all as f64;
        let mut weighty = self.routes.values().filter(weighs);
        weighty.all(|it| it.assurance() >= ROUTE_ASSURANCE)
    }

    /// A route on which the new version is bad; if it is bad over all routes only, the worst of them.
    pub(crate) fn bad_route(&self) -> Option<&Name> {
        let is_service_bad = self.alarm.iter().any(|it| *it >= ALARM_THRESHOLD);
        let mut bad = self.routes.iter().filter(|(_, it)| it.is_bad() || is_service_bad);
        let first = bad.next()?;
        let worst = bad.fold(first, |a, b| if b.1.alarm() > a.1.alarm() { b } else { a });
        Some(worst.0)
    }

    /// Totals of all known responses on a route.
    pub(crate) fn total(&self, route: &Name) -> Tally {
        self.routes.get(route).map(|it| it.total).unwrap_or_default()
    }

    /// Totals of all known responses by route.
    pub(crate) fn totals(&self) -> BTreeMap<&Name, Tally> {
        self.routes.iter().map(|(route, it)| (route, it.total)).collect()
    }

    /// Number of responses of both versions, and of the processes that received them.
    pub(crate) fn volume(&self) -> (u64, usize) {
        let all = self.routes.values().map(|it| it.total.all()).sum();
        (all, self.counters.len())
    }
}
