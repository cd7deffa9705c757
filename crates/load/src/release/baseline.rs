//! Rules for comparison. They see all responses at once, assign a fixed share of the requests, and their end is final.

use std::collections::BTreeMap;
use std::time::Duration;

use forward::release::{Arm, ResponseGrade, Stage};
use model::hash;
use policy::rollout::sequential::{SequentialTest, Tally};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::traffic::Request;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rule {
    /// The shares of failures are compared once, by a z-test.
    FixedShare,
    /// The test of [`policy::rollout`] for failures and for slow responses of each route.
    Sequential,
}

impl Rule {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::FixedShare => "fixed share",
            Self::Sequential => "sequential test",
        }
    }

    fn share(self) -> f64 {
        match self {
            Self::FixedShare => 0.05,
            // What may be exposed.
            Self::Sequential => 0.15,
        }
    }
}

/// Time before the deadline at which a rule decides at the latest.
const DECISION_LEAD: Duration = Duration::from_secs(1);

/// One-sided 1% point of the standard normal distribution.
const CRITICAL: f64 = 2.326;

/// Probability of halting a good version, over all tests.
const ALPHA: f64 = 0.01;

/// Losses that the sequential test looks for, with their prior probabilities, as in [`policy::rollout`].
const LOSSES: [(f64, f64); 4] = [(0.03, 0.2), (0.1, 0.2), (0.3, 0.2), (0.5, 0.4)];

/// Prior mean of the old version's share of successes.
const OLD_MEAN: f64 = 0.95;

/// Loss that a version may have, and the likelihood ratio below which a greater loss is ruled out, as in
/// [`policy::rollout`].
const TOLERATED_LOSS: f64 = 0.1;
const MAX_ADVANCE_RATIO: f64 = 0.05;

/// Tests of a route: for failures and for slow responses.
const TESTS_PER_ROUTE: usize = 2;

#[derive(Debug)]
struct Route {
    /// Totals of the old and the new version, for each test.
    totals: [(Tally, Tally); TESTS_PER_ROUTE],
    tests: [SequentialTest; TESTS_PER_ROUTE],
}

/// State of a baseline.
#[derive(Debug)]
pub(super) struct Baseline {
    rule: Rule,
    duration: Duration,
    routes: BTreeMap<usize, Route>,
    route_count: usize,
    rng: SmallRng,
    end: Option<Stage>,
}

impl Baseline {
    pub(super) fn new(rule: Rule, route_count: usize, duration: Duration, seed: u64) -> Self {
        Self {
            rule,
            duration,
            routes: BTreeMap::new(),
            route_count,
            rng: SmallRng::seed_from_u64(seed),
            end: None,
        }
    }

    pub(super) fn assign(&self, request: &Request) -> Arm {
        let position = hash::stable(&request.key()) as f64 / u64::MAX as f64;
        match self.end {
            Some(Stage::Complete) => Arm::New,
            None if position < self.rule.share() => Arm::New,
            _ => Arm::Old,
        }
    }

    pub(super) fn record(&mut self, route: usize, arm: Arm, grade: ResponseGrade) {
        let route = self.routes.entry(route).or_insert_with(|| Route {
            totals: Default::default(),
            tests: std::array::from_fn(|_| SequentialTest::new(&LOSSES, OLD_MEAN)),
        });
        let events = [grade == ResponseGrade::Bad, grade == ResponseGrade::Slow];
        for ((old, new), is_event) in route.totals.iter_mut().zip(events) {
            let tally = if arm == Arm::New { new } else { old };
            if is_event {
                tally.failures += 1;
            } else {
                tally.successes += 1;
            }
        }
    }

    /// The end of the release, if it is decided in this round.
    pub(super) fn decide(&mut self, elapsed: Duration) -> Option<Stage> {
        if self.end.is_some() {
            return None;
        }
        let is_last = elapsed + DECISION_LEAD >= self.duration;
        self.end = match self.rule {
            Rule::FixedShare => is_last.then(|| self.compare()),
            Rule::Sequential => self.test(is_last),
        };
        self.end
    }

    fn compare(&self) -> Stage {
        let sum = |of: fn(&(Tally, Tally)) -> Tally| {
            let tallies = self.routes.values().map(|it| of(&it.totals[0]));
            tallies.fold((0.0, 0.0), |(all, bad), it| {
                (
                    all + (it.successes + it.failures) as f64,
                    bad + it.failures as f64,
                )
            })
        };
        let (old, old_bad) = sum(|it| it.0);
        let (new, new_bad) = sum(|it| it.1);
        let common = (old_bad + new_bad) / (old + new).max(1.0);
        let error = (common * (1.0 - common) * (1.0 / old.max(1.0) + 1.0 / new.max(1.0))).sqrt();
        if new_bad / new.max(1.0) - old_bad / old.max(1.0) > CRITICAL * error {
            Stage::Reverted
        } else {
            Stage::Complete
        }
    }

    fn test(&mut self, is_last: bool) -> Option<Stage> {
        for route in self.routes.values_mut() {
            for (test, (old, new)) in route.tests.iter_mut().zip(route.totals) {
                test.update(old, new, &mut self.rng);
            }
        }
        let tests = || self.routes.values().flat_map(|it| &it.tests);
        let bound = (self.route_count * TESTS_PER_ROUTE) as f64 / ALPHA;
        if tests().any(|it| it.e_value() >= bound) {
            return Some(Stage::Reverted);
        }
        let is_known = self.routes.len() == self.route_count
            && tests().all(|it| it.likelihood_ratio(TOLERATED_LOSS) <= MAX_ADVANCE_RATIO);
        match (is_known, is_last) {
            (true, _) => Some(Stage::Complete),
            // What is not known in time goes back.
            (false, true) => Some(Stage::Reverted),
            (false, false) => None,
        }
    }
}
