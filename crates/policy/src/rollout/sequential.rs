//! Sequential comparison of two success probabilities.
//!
//! The null hypothesis is that the new version succeeds at least as often as the old one. The test is a product of
//! E-variables for blocks of one outcome of the new version and `k` of the old one (Turner, Ly and Grünwald 2024,
//! "Generic E-variables for exact sequential k-sample tests that allow for optional stopping", J. Stat. Plan.
//! Inference 230). For an alternative `new < old` the E-variable divides the block's likelihood by that under the
//! common probability `(new + k old) / (k + 1)`. Its expectation is at most 1 if both probabilities are equal, by the
//! inequality of means, and it falls when the new version's true probability rises; so it is at most 1 under the whole
//! null hypothesis. By Ville's inequality (1939) the product exceeds `1 / alpha` at *any* look with probability at
//! most `alpha`, whatever decides when to look. Averages over alternatives and over starting points of the product
//! keep that property.
//!
//! Assumptions: given which outcomes have arrived, outcomes are independent, and whether or when a rating arrives does
//! not depend on the verdict. Counters carry no order, so outcomes within an increment are drawn in random order; under
//! exchangeability this is as good as the true order. A node that starts late or takes over therefore replays the
//! merged counters and needs nothing from the node that it replaces.

use rand::Rng;

/// Greatest number of old outcomes in a block; more add little, since the common probability is then the old one's.
const MAX_PAIRED: u64 = 64;

/// Old outcomes kept for coming blocks. They span well under a minute of traffic, so that drift that both versions
/// share hardly shows.
const MAX_BANK: u64 = 16 * MAX_PAIRED;

/// Weight in outcomes of the prior for the old version's probability.
const PRIOR_STRENGTH: f64 = 10.0;

/// Share of the wealth that bets from the start; the rest starts later, so that evidence against a version that
/// degrades in the middle of a stage does not have to outweigh all that spoke for it.
const FIRST_STAKE: f64 = 0.7;

/// Share of the remaining stake that starts with each block.
const RESTART: f64 = 1.0 / 30.0;

/// Probabilities are kept this far from 0 and 1.
const MARGIN: f64 = 0.005;

/// Good and bad outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Successes.
    pub good: u64,
    /// Failures.
    pub bad: u64,
}

/// A hypothesis on how much worse the new version is.
#[derive(Debug, Clone, Copy)]
struct Alternative {
    /// Share of the old version's success probability that is lost.
    loss: f64,
    /// Prior probability.
    weight: f64,
    /// Wealth of the bets under way.
    active: f64,
    /// Logarithm of the likelihood ratio of the new outcomes since the start of the run. It takes the old version's
    /// probability as known, since the block's common probability would cancel nearly all evidence for a version when
    /// neither version ever fails.
    log_ratio: f64,
}

/// State of the test.
#[derive(Debug, Clone)]
pub struct Process {
    alternatives: Vec<Alternative>,
    reserve: f64,
    /// Old outcomes used, with the prior.
    old: (f64, f64),
    bank: Tally,
    pending: Tally,
    seen: (Tally, Tally),
}

impl Process {
    /// A test with alternatives `(share of successes lost, prior probability)`, and with a prior guess of the old
    /// version's success probability. Neither affects validity.
    pub fn new(alternatives: &[(f64, f64)], guess: f64) -> Self {
        let alternative = |&(loss, weight)| Alternative {
            loss,
            weight,
            active: FIRST_STAKE,
            log_ratio: 0.0,
        };
        Self {
            alternatives: alternatives.iter().map(alternative).collect(),
            reserve: 1.0 - FIRST_STAKE,
            old: (guess * PRIOR_STRENGTH, (1.0 - guess) * PRIOR_STRENGTH),
            bank: Tally::default(),
            pending: Tally::default(),
            seen: (Tally::default(), Tally::default()),
        }
    }

    /// Takes in the totals so far; what was folded before is skipped.
    pub fn fold(&mut self, old: Tally, new: Tally, rng: &mut impl Rng) {
        let (seen_old, seen_new) = self.seen;
        self.bank = self.bank.plus(old.minus(seen_old));
        self.pending = self.pending.plus(new.minus(seen_new));
        self.seen = (old.max(seen_old), new.max(seen_new));
        while self.pending.total() > 0 && self.bank.total() > 0 {
            let paired = (self.bank.total() / self.pending.total()).clamp(1, MAX_PAIRED);
            let outcome = self.pending.draw(1, rng);
            let paired = self.bank.draw(paired, rng);
            self.block(paired, outcome);
        }
        let surplus = self.bank.total().saturating_sub(MAX_BANK);
        let surplus = self.bank.draw(surplus, rng);
        self.learn(surplus);
    }

    /// Evidence against the null hypothesis; exceeds `1 / alpha` ever with probability at most `alpha` under it.
    pub fn e_value(&self) -> f64 {
        let active = self
            .alternatives
            .iter()
            .map(|it| it.weight * it.active)
            .sum::<f64>();
        active + self.reserve
    }

    /// Likelihood ratio of the alternative with the least loss of at least `loss` against no loss.
    pub fn ratio(&self, loss: f64) -> f64 {
        let least = self.alternatives.iter().filter(|it| it.loss >= loss);
        let least = least.min_by(|a, b| a.loss.total_cmp(&b.loss));
        least.map_or(1.0, |it| it.log_ratio.exp())
    }

    fn block(&mut self, old: Tally, new: Tally) {
        let probability = self.old.0 / (self.old.0 + self.old.1);
        let probability = probability.clamp(2.0 * MARGIN, 1.0 - MARGIN);
        let count = old.total() as f64;
        let started = self.reserve * RESTART;
        self.reserve -= started;
        for it in &mut self.alternatives {
            let worse = (probability * (1.0 - it.loss)).max(MARGIN);
            let common = (worse + count * probability) / (count + 1.0);
            let log = old.log_likelihood(probability) + new.log_likelihood(worse)
                - old.log_likelihood(common)
                - new.log_likelihood(common);
            it.active = (it.active + started) * log.exp();
            it.log_ratio += new.log_likelihood(worse) - new.log_likelihood(probability);
        }
        self.learn(old);
    }

    fn learn(&mut self, old: Tally) {
        self.old.0 += old.good as f64;
        self.old.1 += old.bad as f64;
    }
}

impl Tally {
    /// Number of outcomes.
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            bad: self.bad.saturating_sub(other.bad),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            good: self.good.max(other.good),
            bad: self.bad.max(other.bad),
        }
    }

    /// Removes `count` random outcomes, without replacement.
    fn draw(&mut self, count: u64, rng: &mut impl Rng) -> Self {
        let mut drawn = Self::default();
        for _ in 0..count {
            if rng.random_range(0..self.total()) < self.good {
                self.good -= 1;
                drawn.good += 1;
            } else {
                self.bad -= 1;
                drawn.bad += 1;
            }
        }
        drawn
    }

    fn log_likelihood(self, probability: f64) -> f64 {
        self.good as f64 * probability.ln() + self.bad as f64 * (1.0 - probability).ln()
    }
}
