//! Sequential comparison of two success probabilities.
//!
//! The null hypothesis is that the new version succeeds at least as often as the old one. The test is a
//! product of E-variables for blocks of one outcome of the new version and `k` of the old one (Turner, Ly and
//! Grünwald 2024, "Generic E-variables for exact sequential k-sample tests that allow for optional stopping",
//! J. Stat. Plan. Inference 230). For an alternative `new < old` the E-variable divides the block's
//! likelihood by that under the common probability `(new + k old) / (k + 1)`. Its expectation is at most 1 if
//! both probabilities are equal, by the inequality of means, and it falls when the new version's true
//! probability rises; so it is at most 1 under the whole null hypothesis. By Ville's inequality (1939) the
//! product exceeds `1 / alpha` at *any* look with probability at most `alpha`, regardless of how the times of
//! the looks are chosen. Averages over alternatives and over starting points of the product preserve that
//! property.
//!
//! Assumptions: given which outcomes have arrived, outcomes are independent, and whether or when a rating
//! arrives does not depend on the verdict. Counters carry no order, so outcomes within an increment are drawn
//! in random order, which is equivalent to the true order under exchangeability. A node that starts late or
//! replaces another one therefore processes the merged counters from the start and needs no state of the node
//! that it replaces.

use rand::Rng;

/// Maximum number of outcomes of the old version in a block. More add little information, since the common
/// probability is then nearly that of the old version.
const MAX_OLD_PER_BLOCK: u64 = 64;

/// Maximum number of outcomes of the old version that are kept for later blocks. They span well under a
/// minute of traffic, so that a drift that affects both versions has little effect on the comparison.
const MAX_UNPAIRED_OLD: u64 = 16 * MAX_OLD_PER_BLOCK;

/// Weight, in outcomes, of the prior for the success probability of the old version.
const PRIOR_OUTCOMES: f64 = 10.0;

/// Weight of the product that starts with the first block. The remaining weight goes to products that start
/// later, so that evidence against a version that degrades in the middle of a stage does not have to outweigh
/// all earlier evidence in its favour.
const INITIAL_WEIGHT: f64 = 0.7;

/// Share of the remaining weight that goes to a product starting with each block.
const START_SHARE: f64 = 1.0 / 30.0;

/// Minimum distance of probabilities from 0 and 1.
const PROBABILITY_MARGIN: f64 = 0.005;

/// Numbers of successes and failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of successes.
    pub successes: u64,
    /// Number of failures.
    pub failures: u64,
}

/// An alternative hypothesis: the new version is worse by a given share.
#[derive(Debug, Clone, Copy)]
struct Alternative {
    /// Share by which the success probability of the new version is lower than that of the old one.
    loss: f64,
    /// Prior probability.
    weight: f64,
    /// Sum of the products that have started, with their weights.
    product: f64,
    /// Logarithm of the likelihood ratio of the new version's outcomes since the start of the test. It treats
    /// the estimated probability of the old version as exact, since the common probability of a block would
    /// cancel nearly all evidence for the new version when neither version ever fails.
    log_ratio: f64,
}

/// State of a sequential test.
#[derive(Debug, Clone)]
pub struct SequentialTest {
    alternatives: Vec<Alternative>,
    /// Weight of the products that have not started.
    unstarted_weight: f64,
    /// Successes and failures of the old version that have been processed, including the prior.
    old_estimate: (f64, f64),
    /// Outcomes of the old version for later blocks.
    unpaired_old: Tally,
    /// Outcomes of the new version that have not been processed.
    pending_new: Tally,
    /// Totals of the old and the new version at the last update.
    seen: (Tally, Tally),
}

impl SequentialTest {
    /// Creates a test with alternatives `(share of successes lost, prior probability)` and a prior mean
    /// `old_mean` of the old version's success probability. Neither affects the validity of the test.
    pub fn new(alternatives: &[(f64, f64)], old_mean: f64) -> Self {
        let alternative = |&(loss, weight)| Alternative {
            loss,
            weight,
            product: INITIAL_WEIGHT,
            log_ratio: 0.0,
        };
        Self {
            alternatives: alternatives.iter().map(alternative).collect(),
            unstarted_weight: 1.0 - INITIAL_WEIGHT,
            old_estimate: (old_mean * PRIOR_OUTCOMES, (1.0 - old_mean) * PRIOR_OUTCOMES),
            unpaired_old: Tally::default(),
            pending_new: Tally::default(),
            seen: (Tally::default(), Tally::default()),
        }
    }

    /// Processes the outcomes that the totals `old` and `new` contain beyond those of earlier calls.
    pub fn update(&mut self, old: Tally, new: Tally, rng: &mut impl Rng) {
        let (seen_old, seen_new) = self.seen;
        self.unpaired_old = self.unpaired_old.plus(old.minus(seen_old));
        self.pending_new = self.pending_new.plus(new.minus(seen_new));
        self.seen = (old.max(seen_old), new.max(seen_new));
        while self.pending_new.total() > 0 && self.unpaired_old.total() > 0 {
            let old_count =
                (self.unpaired_old.total() / self.pending_new.total()).clamp(1, MAX_OLD_PER_BLOCK);
            let new_outcome = self.pending_new.draw(1, rng);
            let old_outcomes = self.unpaired_old.draw(old_count, rng);
            self.add_block(old_outcomes, new_outcome);
        }
        let surplus = self.unpaired_old.total().saturating_sub(MAX_UNPAIRED_OLD);
        let surplus = self.unpaired_old.draw(surplus, rng);
        self.update_old_estimate(surplus);
    }

    /// Evidence against the null hypothesis. Under that hypothesis it ever exceeds `1 / alpha` with a
    /// probability of at most `alpha`.
    pub fn e_value(&self) -> f64 {
        let started = self
            .alternatives
            .iter()
            .map(|it| it.weight * it.product)
            .sum::<f64>();
        started + self.unstarted_weight
    }

    /// Likelihood ratio between the alternative with the smallest loss of at least `loss` and no loss.
    pub fn likelihood_ratio(&self, loss: f64) -> f64 {
        let large_enough = self.alternatives.iter().filter(|it| it.loss >= loss);
        let smallest = large_enough.min_by(|a, b| a.loss.total_cmp(&b.loss));
        smallest.map_or(1.0, |it| it.log_ratio.exp())
    }

    fn add_block(&mut self, old: Tally, new: Tally) {
        let probability = self.old_estimate.0 / (self.old_estimate.0 + self.old_estimate.1);
        let probability = probability.clamp(2.0 * PROBABILITY_MARGIN, 1.0 - PROBABILITY_MARGIN);
        let count = old.total() as f64;
        let started_weight = self.unstarted_weight * START_SHARE;
        self.unstarted_weight -= started_weight;
        for it in &mut self.alternatives {
            let worse = (probability * (1.0 - it.loss)).max(PROBABILITY_MARGIN);
            let common = (worse + count * probability) / (count + 1.0);
            let log = old.log_likelihood(probability) + new.log_likelihood(worse)
                - old.log_likelihood(common)
                - new.log_likelihood(common);
            it.product = (it.product + started_weight) * log.exp();
            it.log_ratio += new.log_likelihood(worse) - new.log_likelihood(probability);
        }
        self.update_old_estimate(old);
    }

    fn update_old_estimate(&mut self, old: Tally) {
        self.old_estimate.0 += old.successes as f64;
        self.old_estimate.1 += old.failures as f64;
    }
}

impl Tally {
    /// Number of outcomes.
    pub fn total(self) -> u64 {
        self.successes + self.failures
    }

    fn plus(self, other: Self) -> Self {
        Self {
            successes: self.successes + other.successes,
            failures: self.failures + other.failures,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            successes: self.successes.saturating_sub(other.successes),
            failures: self.failures.saturating_sub(other.failures),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            successes: self.successes.max(other.successes),
            failures: self.failures.max(other.failures),
        }
    }

    /// Removes and returns `count` random outcomes, without replacement.
    fn draw(&mut self, count: u64, rng: &mut impl Rng) -> Self {
        let mut drawn = Self::default();
        for _ in 0..count {
            if rng.random_range(0..self.total()) < self.successes {
                self.successes -= 1;
                drawn.successes += 1;
            } else {
                self.failures -= 1;
                drawn.failures += 1;
            }
        }
        drawn
    }

    fn log_likelihood(self, probability: f64) -> f64 {
        self.successes as f64 * probability.ln() + self.failures as f64 * (1.0 - probability).ln()
    }
}
