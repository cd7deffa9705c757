//! Ratings and exploration of one organisation.

use std::collections::HashMap;
use std::time::Duration;

use model::{Class, Incarnation, Name};
use rand::Rng;

use super::{Observation, RatingOutcome, Stats, Verdict};
use crate::cascade::counter::{Counter, Record};
use crate::cascade::posterior::Posterior;

/// Explorations per organisation and class that are allowed regardless of the number of requests. They gather
/// the first ratings for a new organisation: with 29 versions this is about two explorations each.
const BASE_EXPLORATIONS: f64 = 60.0;

/// Share of requests that explore until the base and change explorations are used up.
const INITIAL_EXPLORATION_SHARE: f64 = 0.2;

/// Share of requests that explore afterwards.
const STEADY_EXPLORATION_SHARE: f64 = 0.02;

/// Additional explorations for each detected change.
const EXPLORATIONS_PER_CHANGE: f64 = 20.0;

/// Requests per detected change that adds explorations, so that false detections add at most 5%.
const REQUESTS_PER_CHANGE: f64 = 400.0;

/// Prior probability that a rating arrives in time, and its weight in ratings: 9 of 10 in time.
const ARRIVAL_PRIOR: (f64, f64) = (0.9, 10.0);

/// Maximum weight in ratings that a posterior keeps when the same version changed in another class. A change
/// usually has a cause that the classes share, such as new weights, so the adequacy is estimated anew.
const RATINGS_KEPT_AFTER_CHANGE: f64 = 3.0;

/// Ratings and exploration of one organisation in all classes.
#[derive(Debug, Default)]
pub struct OrganisationState {
    versions: [HashMap<Name, VersionRatings>; Class::ALL.len()],
    stats: [Stats; Class::ALL.len()],
    rating_arrival: Posterior,
}

/// Ratings of one version in one class.
#[derive(Debug, Default)]
pub struct VersionRatings {
    /// Counter of each incarnation and the time at which it last increased, on this node's monotonic clock.
    counters: Vec<(Incarnation, Counter, Duration)>,
    /// Adequacy as a first step.
    pub first: Posterior,
    /// Adequacy after a rejected answer.
    pub after_rejection: Posterior,
}

impl OrganisationState {
    pub fn ratings(&self, class: Class, version: &str) -> Option<&VersionRatings> {
        self.versions[class.index()].get(version)
    }

    /// Mean adequacy of a version in the other classes, given a prior with mean `prior` and a weight of
    /// `prior_ratings` ratings.
    pub fn mean_in_other_classes(&self, class: Class, version: &str, prior: f64, prior_ratings: f64) -> f64 {
        let others = Class::ALL.into_iter().filter(|it| *it != class);
        let rated = others.filter_map(|it| self.ratings(it, version));
        let sums = rated.fold((prior * prior_ratings, prior_ratings), |sums, it| {
            let ratings = it.first.effective_ratings();
            let mean = it.first.estimate(prior, prior_ratings).0;
            (sums.0 + mean * ratings, sums.1 + ratings)
        });
        sums.0 / sums.1
    }

    pub fn stats(&mut self, class: Class) -> &mut Stats {
        &mut self.stats[class.index()]
    }

    /// Whether the next request of the class explores. The number of explorations never exceeds the sum of
    /// the base explorations, those added by changes and the steady share of all requests.
    pub fn should_explore(&self, class: Class, rng: &mut impl Rng) -> bool {
        let stats = &self.stats[class.index()];
        let explored = stats.explored as f64;
        let planned = stats.planned as f64;
        let changes = f64::min(stats.changes as f64, planned / REQUESTS_PER_CHANGE);
        let unconditional = BASE_EXPLORATIONS + EXPLORATIONS_PER_CHANGE * changes;
        if explored + 1.0 > unconditional + STEADY_EXPLORATION_SHARE * planned {
            return false;
        }
        let share = if explored < unconditional {
            INITIAL_EXPLORATION_SHARE
        } else {
            STEADY_EXPLORATION_SHARE
        };
        rng.random_bool(share)
    }

    /// Probability that a rating arrives in time.
    pub fn arrival_probability(&self) -> f64 {
        self.rating_arrival.estimate(ARRIVAL_PRIOR.0, ARRIVAL_PRIOR.1).0
    }

    /// Records the result of a rating that the node incarnation `local` requested.
    pub fn observe(&mut self, local: Incarnation, observation: &Observation<'_>, now: Duration) {
        let verdict = match observation.outcome {
            RatingOutcome::InTime(verdict) => {
                self.rating_arrival.update(1, 0);
                verdict
            }
            RatingOutcome::Late(verdict) => verdict,
            RatingOutcome::Missing => {
                self.rating_arrival.update(0, 1);
                return;
            }
        };
        let ratings = self.versions[observation.class.index()]
            .entry(observation.version.clone())
            .or_default();
        let mut next = ratings.counter(local).1;
        next.add(observation.position, verdict == Verdict::Adequate);
        if ratings.merge(local, &next, now) {
            self.record_change(observation.class, observation.version);
        }
    }

    /// Merges a counter of another node.
    pub fn merge(&mut self, record: &Record, now: Duration) {
        let ratings = self.versions[record.class.index()]
            .entry(record.version.clone())
            .or_default();
        if ratings.merge(record.incarnation, &record.counter, now) {
            self.record_change(record.class, &record.version);
        }
    }

    /// Counts a change of `version` that was detected in `class`, and limits the weight of its ratings in the
    /// other classes.
    fn record_change(&mut self, class: Class, version: &str) {
        self.stats[class.index()].changes += 1;
        for other in Class::ALL.into_iter().filter(|it| *it != class) {
            if let Some(ratings) = self.versions[other.index()].get_mut(version) {
                ratings.first.limit_weight(RATINGS_KEPT_AFTER_CHANGE);
                self.stats[other.index()].changes += 1;
            }
        }
    }

    pub fn export(&self, organisation: &Name, since: Duration, records: &mut Vec<Record>) {
        for (versions, class) in self.versions.iter().zip(Class::ALL) {
            for (version, ratings) in versions {
                let increased = ratings.counters.iter().filter(|it| it.2 >= since);
                records.extend(increased.map(|&(incarnation, counter, _)| Record {
                    organisation: organisation.clone(),
                    class,
                    version: version.clone(),
                    incarnation,
                    counter,
                }));
            }
        }
    }

    pub fn retain(&mut self, live: impl Fn(Incarnation) -> bool) {
        for ratings in self.versions.iter_mut().flat_map(HashMap::values_mut) {
            ratings.counters.retain(|it| live(it.0));
        }
    }
}

impl VersionRatings {
    fn counter(&mut self, incarnation: Incarnation) -> &mut (Incarnation, Counter, Duration) {
        let existing = self.counters.iter().position(|it| it.0 == incarnation);
        let idx = existing.unwrap_or_else(|| {
            self.counters
                .push((incarnation, Counter::default(), Duration::ZERO));
            self.counters.len() - 1
        });
        &mut self.counters[idx]
    }

    /// Merges a counter and updates the posteriors with its increase. Returns whether a change was detected.
    fn merge(&mut self, incarnation: Incarnation, other: &Counter, now: Duration) -> bool {
        let entry = self.counter(incarnation);
        let increase = entry.1.merge(other);
        if increase == Counter::default() {
            return false;
        }
        entry.2 = now;
        let first_changed = self.first.update(increase.adequate, increase.inadequate);
        let after_rejection_changed = self
            .after_rejection
            .update(increase.escalated_adequate, increase.escalated_inadequate);
        first_changed || after_rejection_changed
    }
}
