//! Usual rules for comparison: a share of all traffic without an allowance, judged by a z-test.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::simulation::{End, Fleet, Outcome, Quality};

const SHARE: f64 = 0.05;
const LAG_SECONDS: f64 = 6.0;
const FIXED_SAMPLE: usize = 200;
/// One-sided 1% point of the standard normal distribution.
const CRITICAL: f64 = 2.326;
const FIRST_LOOK: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// One z-test after 200 ratings.
    FixedSample,
    /// The same test after every rating from the tenth on, which is not valid at every look.
    EveryLook,
}

pub const RULES: [(Rule, &str); 2] = [
    (Rule::FixedSample, "baseline: z-test after 200 ratings"),
    (Rule::EveryLook, "baseline: z-test at every rating"),
];

/// One run at 8 nodes until 200 ratings or a halt.
pub fn run(rule: Rule, quality: Quality, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = Fleet::SMALL.rate * SHARE;
    let under_way = (rate * LAG_SECONDS).round() as u64;
    let (old, new) = quality.adequate;
    let error = |count: usize| (old * (1.0 - old) / count as f64).sqrt();
    let mut good = 0;
    for count in 1..=FIXED_SAMPLE {
        good += usize::from(rng.random::<f64>() < new);
        let looks = match rule {
            Rule::FixedSample => count == FIXED_SAMPLE,
            Rule::EveryLook => count >= FIRST_LOOK,
        };
        let score = (old - good as f64 / count as f64) / error(count);
        if looks && score > CRITICAL {
            return outcome(End::Halted, count as u64 + under_way, rate);
        }
    }
    outcome(End::Finished, FIXED_SAMPLE as u64 + under_way, rate)
}

fn outcome(end: End, exposure: u64, rate: f64) -> Outcome {
    Outcome {
        end,
        exposure,
        time: Duration::from_secs_f64(exposure as f64 / rate),
    }
}
