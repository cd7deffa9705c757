//! What is known for one organisation.

use std::collections::HashMap;
use std::time::Duration;

use model::{Class, Incarnation, Name};
use rand::Rng;

use super::{Observation, Outcome, Stats, Verdict};
use crate::cascade::belief::Belief;
use crate::cascade::counter::{Counter, Record};

/// Explorations per organisation and class that need not be earned by earlier requests. They find out about every
/// version of a new organisation; with 29 versions this is about two each.
const FREE_EXPLORATIONS: f64 = 60.0;

/// Share of requests that explore while free explorations are left.
const EARLY_SHARE: f64 = 0.2;

/// Share of requests that explore afterwards.
const LATE_SHARE: f64 = 0.02;

/// Explorations that a detected change adds to the free ones.
const CHANGE_EXPLORATIONS: f64 = 20.0;

/// Requests per detected change that adds explorations, so that false detections add no more than 5%.
const CHANGE_SPACING: f64 = 400.0;

/// Prior of the arrival of ratings: 9 of 10 in time.
const ARRIVAL_PRIOR: (f64, f64) = (0.9, 10.0);

/// Ratings that a belief keeps when the same version changed in another class. A change usually has a cause that the
/// classes share, such as new weights, so the belief must be checked again.
const SUSPECT_RATINGS: f64 = 3.0;

/// Knowledge about one organisation.
#[derive(Debug, Default)]
pub struct Shard {
    tracks: [HashMap<Name, Track>; Class::ALL.len()],
    stats: [Stats; Class::ALL.len()],
    arrival: Belief,
}

/// Knowledge about one class and version.
#[derive(Debug, Default)]
pub struct Track {
    counters: Vec<(Incarnation, Counter, Duration)>,
    /// Adequacy as a first step.
    pub first: Belief,
    /// Adequacy after a rejected answer.
    pub after_rejection: Belief,
}

impl Shard {
    pub fn track(&self, class: Class, version: &str) -> Option<&Track> {
        self.tracks[class.index()].get(version)
    }

    /// Mean adequacy of a version in the other classes, given a prior of `strength` ratings with mean `prior`.
    pub fn elsewhere(&self, class: Class, version: &str, prior: f64, strength: f64) -> f64 {
        let others = Class::ALL.into_iter().filter(|it| *it != class);
        let tracks = others.filter_map(|it| self.track(it, version));
        let sums = tracks.fold((prior * strength, strength), |sums, it| {
            let ratings = it.first.ratings();
            let mean = it.first.estimate(prior, strength).0;
            (sums.0 + mean * ratings, sums.1 + ratings)
        });
        sums.0 / sums.1
    }

    pub fn stats(&mut self, class: Class) -> &mut Stats {
        &mut self.stats[class.index()]
    }

    /// Whether the next request of the class explores. The number of explorations never exceeds the free ones, those
    /// added by changes and the late share of all requests.
    pub fn explores(&self, class: Class, rng: &mut impl Rng) -> bool {
        let stats = &self.stats[class.index()];
        let explored = stats.explored as f64;
        let planned = stats.planned as f64;
        let changes = f64::min(stats.changes as f64, planned / CHANGE_SPACING);
        let free = FREE_EXPLORATIONS + CHANGE_EXPLORATIONS * changes;
        if explored + 1.0 > free + LATE_SHARE * planned {
            return false;
        }
        let share = if explored < free { EARLY_SHARE } else { LATE_SHARE };
        rng.random_bool(share)
    }

    /// Probability that a rating arrives in time.
    pub fn arrival(&self) -> f64 {
        self.arrival.estimate(ARRIVAL_PRIOR.0, ARRIVAL_PRIOR.1).0
    }

    pub fn observe(&mut self, own: Incarnation, observation: &Observation<'_>, now: Duration) {
        let verdict = match observation.outcome {
            Outcome::InTime(verdict) => {
                self.arrival.fold(1, 0);
                verdict
            }
            Outcome::Late(verdict) => verdict,
            Outcome::Missing => {
                self.arrival.fold(0, 1);
                return;
            }
        };
        let track = self.tracks[observation.class.index()]
            .entry(observation.version.clone())
            .or_default();
        let mut next = track.counter(own).1;
        next.add(observation.position, verdict == Verdict::Adequate);
        if track.merge(own, &next, now) {
            self.suspect(observation.class, observation.version);
        }
    }

    pub fn merge(&mut self, record: &Record, now: Duration) {
        let track = self.tracks[record.class.index()]
            .entry(record.version.clone())
            .or_default();
        if track.merge(record.incarnation, &record.counter, now) {
            self.suspect(record.class, &record.version);
        }
    }

    /// A change of `version` was detected in `class`.
    fn suspect(&mut self, class: Class, version: &str) {
        self.stats[class.index()].changes += 1;
        for other in Class::ALL.into_iter().filter(|it| *it != class) {
            if let Some(track) = self.tracks[other.index()].get_mut(version) {
                track.first.weaken(SUSPECT_RATINGS);
                self.stats[other.index()].changes += 1;
            }
        }
    }

    pub fn export(&self, organisation: &Name, since: Duration, records: &mut Vec<Record>) {
        for (tracks, class) in self.tracks.iter().zip(Class::ALL) {
            for (version, track) in tracks {
                let grown = track.counters.iter().filter(|it| it.2 >= since);
                records.extend(grown.map(|&(incarnation, counter, _)| Record {
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
        for track in self.tracks.iter_mut().flat_map(HashMap::values_mut) {
            track.counters.retain(|it| live(it.0));
        }
    }
}

impl Track {
    fn counter(&mut self, incarnation: Incarnation) -> &mut (Incarnation, Counter, Duration) {
        let found = self.counters.iter().position(|it| it.0 == incarnation);
        let idx = found.unwrap_or_else(|| {
            self.counters
                .push((incarnation, Counter::default(), Duration::ZERO));
            self.counters.len() - 1
        });
        &mut self.counters[idx]
    }

    /// Merges a counter and folds its growth into the beliefs. Returns whether a change was detected.
    fn merge(&mut self, incarnation: Incarnation, other: &Counter, now: Duration) -> bool {
        let held = self.counter(incarnation);
        let growth = held.1.merge(other);
        if growth == Counter::default() {
            return false;
        }
        held.2 = now;
        let first = self.first.fold(growth.adequate, growth.inadequate);
        let rejected = self
            .after_rejection
            .fold(growth.escalated_adequate, growth.escalated_inadequate);
        first || rejected
    }
}
