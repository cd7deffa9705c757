//! Whether the answers of a new version speak against it.
//!
//! Nodes exchange counters of answers by route and version. Each node follows the totals with a sequential test
//! (Page's cumulative sum) for each route: a bad answer raises the sum and a good one lowers it, but never below zero.
//! So the good answers of the past do not hide a version that turns bad, and a run of bad luck on one of many nodes
//! does not stop a good one.

use std::collections::{BTreeMap, HashMap};

use model::{Incarnation, Name};

use crate::release::Arm;

/// What an answer says about the version that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grade {
    /// As usual.
    Good,
    /// Far slower than the old version's usual answers.
    Slow,
    /// A failure.
    Bad,
}

/// Answers on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers of the old version.
    pub old: u64,
    /// Those that were failures.
    pub old_bad: u64,
    /// Those that were slow.
    pub old_slow: u64,
    /// Answers of the new version.
    pub new: u64,
    /// Those that were failures.
    pub new_bad: u64,
    /// Those that were slow.
    pub new_slow: u64,
}

impl Tally {
    fn count(&mut self, arm: Arm, grade: Grade) {
        let (all, bad, slow) = match arm {
            Arm::Old => (&mut self.old, &mut self.old_bad, &mut self.old_slow),
            Arm::New => (&mut self.new, &mut self.new_bad, &mut self.new_slow),
        };
        *all += 1;
        match grade {
            Grade::Good => {}
            Grade::Slow => *slow += 1,
            Grade::Bad => *bad += 1,
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

/// The counters of one process, by route.
pub type Counters = BTreeMap<Name, Tally>;

/// Sum at which a version counts as bad. Four failures in a row reach it; a version of which a twelfth of the answers
/// is slow passes it less than once in a hundred releases on a fleet of 90 nodes.
const ALARM: f64 = 7.5;

/// Greatest share that a test reckons with; a larger one leaves nothing to tell apart.
const MOST: f64 = 0.95;

/// What a test looks for.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    /// Share of such answers that a good version may have, besides twice the old version's.
    good: f64,
    /// What a bad version has more.
    rise: f64,
}

/// A good version fails where a single engine of it does.
const FAILURES: Suspicion = Suspicion {
    good: 0.05,
    rise: 0.3,
};

/// Answers are slow by chance more often than they fail.
const SLOWNESS: Suspicion = Suspicion {
    good: 0.15,
    rise: 0.2,
};

/// Sum of one test, and the counters up to which answers are taken in.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    answers: u64,
    suspect: u64,
    value: f64,
}

impl Sum {
    /// Takes in the answers since the last update; each pair is all answers and those that are suspect.
    fn update(&mut self, suspicion: Suspicion, old: (u64, u64), new: (u64, u64)) {
        let old_share = old.1 as f64 / old.0.max(1) as f64;
        let good = (suspicion.good + 2.0 * old_share).min(MOST - suspicion.rise);
        let bad = good + suspicion.rise;
        let news = new.0.saturating_sub(self.answers);
        let suspect = new.1.saturating_sub(self.suspect).min(news);
        let rise = suspect as f64 * (bad / good).ln();
        let fall = (news - suspect) as f64 * ((1.0 - bad) / (1.0 - good)).ln();
        self.value = (self.value + rise + fall).max(0.0);
        (self.answers, self.suspect) = new;
    }
}

/// The tests of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    failures: Sum,
    slowness: Sum,
}

/// What is known about the answers of both versions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    counters: HashMap<Incarnation, Counters>,
    sums: HashMap<Name, Sums>,
}

impl Evidence {
    /// Counts an answer of a process.
    pub(crate) fn count(&mut self, of: Incarnation, route: &Name, arm: Arm, grade: Grade) {
        let counters = self.counters.entry(of).or_default();
        let tally = counters.entry(route.clone()).or_default();
        tally.count(arm, grade);
        self.update(route);
    }

    /// Takes over a process's counters; they only grow, so the larger ones are the newer ones.
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

    /// Answers of the new version.
    pub(crate) fn answers(&self) -> u64 {
        self.counters
            .values()
            .flat_map(|it| it.values())
            .map(|it| it.new)
            .sum()
    }

    /// A route on which the new version is bad.
    pub(crate) fn bad_route(&self) -> Option<&Name> {
        let is_bad = |it: &Sums| it.failures.value >= ALARM || it.slowness.value >= ALARM;
        self.sums
            .iter()
            .find(|(_, it)| is_bad(it))
            .map(|(route, _)| route)
    }

    /// All known answers on a route.
    pub(crate) fn total(&self, route: &Name) -> Tally {
        let mut total = Tally::default();
        let tallies = self.counters.values().filter_map(|it| it.get(route));
        tallies.for_each(|it| total.add(it));
        total
    }

    fn update(&mut self, route: &Name) {
        let total = self.total(route);
        let sums = self.sums.entry(route.clone()).or_default();
        let Tally { old, new, .. } = total;
        sums.failures
            .update(FAILURES, (old, total.old_bad), (new, total.new_bad));
        sums.slowness
            .update(SLOWNESS, (old, total.old_slow), (new, total.new_slow));
    }
}
