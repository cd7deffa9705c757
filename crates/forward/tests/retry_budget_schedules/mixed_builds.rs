//! Fleets with one node of a build that takes the ratio of its own last window at any moment, as up to 3ec5b14.
//!
//! The callers of the whole fleet send at a steady rate, with which the older node alone never exceeds the limit. They move
//! between it and the newer nodes, and the node is replaced, and put back.

use std::time::Duration;

use forward::BootTime;
use forward::fleet_part::{FleetPart, Observation, Start};
use forward::retry_budget::{RetryBudget, RetryReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::arrivals::Arrivals;
use crate::{LIMIT, STEP, WINDOW};

/// Fraction of its part that an older node spends.
const USABLE_FRACTION: f64 = 0.9;

const BEGIN: BootTime = Duration::from_secs(100);

const REQUESTS_PER_S: usize = 60;

/// Time after which an older node whose process has ended is no longer a member, and before which an added one is not known.
const GOSSIP: Duration = Duration::from_secs(1);

/// When a process of the older build runs, and which fraction of the callers it has while it does.
#[derive(Debug, Clone)]
struct Plan {
    newer: usize,
    /// Seconds from the begin, in order; runs of the older build lie at least a window apart.
    runs: Vec<(f64, f64)>,
    /// Seconds from the begin, and the fraction from then on.
    fractions: Vec<(f64, f64)>,
    /// Seconds from the begin between which requests fail and are sent again.
    failing: Vec<(f64, f64)>,
}

impl Plan {
    fn older_runs(&self, at: f64) -> bool {
        self.runs.iter().any(|it| it.0 <= at && at < it.1)
    }

    fn older_fraction(&self, at: f64) -> f64 {
        let fraction = self
            .fractions
            .iter()
            .rev()
            .find(|it| it.0 <= at)
            .map_or(0.0, |it| it.1);
        if self.older_runs(at) { fraction } else { 0.0 }
    }

    fn fails(&self, at: f64) -> bool {
        self.failing.iter().any(|it| it.0 <= at && at < it.1)
    }

    fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = rng.random_range(5.0..25.0);
        let second = first + rng.random_range(11.0..20.0);
        let mut spans = |count: usize, longest: f64| -> Vec<(f64, f64)> {
            let begins = (0..count).map(|_| rng.random_range(0.0..40.0));
            let begins: Vec<f64> = begins.collect();
            begins
                .into_iter()
                .map(|it| (it, it + rng.random_range(0.1..longest)))
                .collect()
        };
        let failing = spans(3, 12.0);
        let mut fractions: Vec<_> = spans(8, 1.0).into_iter().map(|it| (it.0, it.1 - it.0)).collect();
        fractions.push((0.0, 0.9));
        fractions.sort_by(|a, b| a.0.total_cmp(&b.0));
        Self {
            newer: rng.random_range(1..8),
            runs: vec![(0.0, first), (second, 60.0)],
            fractions,
            failing,
        }
    }

    /// Plays the plan; the requests and retries of the whole fleet.
    fn play(&self) -> Arrivals {
        let hosts = self.newer + 1;
        let mut newer: Vec<_> = (0..self.newer)
            .map(|_| (RetryBudget::new(LIMIT), FleetPart::new(Start::Fleet, BEGIN)))
            .collect();
        let mut arrivals = Arrivals::default();
        let (mut requests, mut retries) = (vec![], vec![]);
        let mut due = 0.0;
        let mut next = 0;
        for step in 0..(45.0 / STEP.as_secs_f64()) as u32 {
            let now = BEGIN + STEP * step;
            let at = (now - BEGIN).as_secs_f64();
            let known = self.older_runs((at - GOSSIP.as_secs_f64()).max(0.0));
            for (_, fleet) in &mut newer {
                let observation = Observation {
                    reachable: self.newer + usize::from(known),
                    known: hosts,
                    told: vec![hosts; self.newer - 1],
                    older: usize::from(known),
                };
                fleet.observe(&observation, now);
            }
            if !self.older_runs(at) {
                requests.clear();
                retries.clear();
            }
            for _ in 0..(REQUESTS_PER_S as f64 * STEP.as_secs_f64()) as usize {
                arrivals.requests.push(now);
                due += self.older_fraction(at);
                if due >= 1.0 {
                    due -= 1.0;
                    requests.push(now);
                } else {
                    newer[next].0.record_request(now, now);
                    next = (next + 1) % self.newer;
                }
            }
            if !self.fails(at) {
                continue;
            }
            let recent = |it: &&BootTime| now.saturating_sub(**it) <= WINDOW;
            let allowed =
                LIMIT.ratio * requests.iter().filter(recent).count() as f64 + LIMIT.slack / hosts as f64;
            let spent = retries.iter().filter(recent).count();
            let left = (USABLE_FRACTION * allowed) as usize;
            let count = if self.older_runs(at) {
                left.saturating_sub(spent)
            } else {
                0
            };
            retries.extend(vec![now; count]);
            arrivals.retries.extend(vec![now; count]);
            for (budget, fleet) in &mut newer {
                let part = fleet.retry_part(WINDOW, now);
                while budget.try_reserve(RetryReason::Failure, part, now).is_ok() {
                    arrivals.retries.push(now);
                }
            }
        }
        arrivals
    }
}

/// Guards against BUDGET while a fleet is upgraded.
macro_rules! plans {
    ($($name:ident: $newer:literal newer, runs $runs:expr, fractions $fractions:expr, failing $failing:expr;)*) => {
        $(#[test]
        fn $name() {
            let plan = Plan {
                newer: $newer,
                runs: $runs.to_vec(),
                fractions: $fractions.to_vec(),
                failing: $failing.to_vec(),
            };
            assert_eq!(plan.play().check(), Ok(()));
        })*
    };
}

plans! {
    older_node_with_its_part_of_the_callers: 4 newer, runs [(0.0, 60.0)], fractions [(0.0, 0.2)], failing [(15.0, 30.0)];
    older_node_with_half_of_the_callers: 4 newer, runs [(0.0, 60.0)], fractions [(0.0, 0.5)], failing [(15.0, 30.0)];
    older_node_with_most_callers: 4 newer, runs [(0.0, 60.0)], fractions [(0.0, 0.9)], failing [(15.0, 30.0)];
    callers_that_move_from_an_older_node:
        4 newer, runs [(0.0, 60.0)], fractions [(0.0, 1.0), (20.0, 0.0)], failing [(19.9, 20.0), (29.0, 30.0)];
    callers_that_move_to_an_older_node:
        4 newer, runs [(0.0, 60.0)], fractions [(0.0, 0.0), (20.0, 1.0)], failing [(19.9, 20.0), (29.0, 30.0)];
    older_node_that_is_replaced:
        4 newer, runs [(0.0, 20.0)], fractions [(0.0, 1.0)], failing [(19.9, 20.0), (29.0, 30.0)];
    older_node_that_is_put_back:
        4 newer, runs [(20.0, 60.0)], fractions [(0.0, 1.0)], failing [(19.9, 20.0), (21.0, 30.0)];
}

#[test]
fn sum_beside_an_older_node_stays_within_the_limit() {
    let violations: Vec<_> = (0..crate::SCHEDULES)
        .filter_map(|seed| {
            let result = Plan::random(seed).play().check();
            result.err().map(|it| format!("seed {seed}: {it}"))
        })
        .collect();
    assert!(
        violations.is_empty(),
        "{} of {}: {violations:#?}",
        violations.len(),
        crate::SCHEDULES
    );
}
