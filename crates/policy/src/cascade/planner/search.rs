//! Search for the cheapest plan that meets the quality target.

use std::time::Duration;

use rand::Rng;

use super::shard::{Shard, Track};
use crate::cascade::belief::Belief;
use crate::cascade::estimate::{Adequacy, Forecast, forecast};
use crate::cascade::plan::{Candidate, Gate, MAX_STEPS, Plan, Purpose, Request, Step};

/// How far the expected adequacy of a plan may lie below the target when the mixture with a better plan meets it.
const MAX_SHORTFALL: f64 = 0.1;

/// Rounds of improving a mixture. Each takes one pass over the chains; two suffice almost always.
const MIX_ROUNDS: usize = 3;

/// Candidates considered. Their number dominates the time of a decision: six give 41 chains of at most three steps.
const MAX_CANDIDATES: usize = 6;

/// Chains of at most three of [`MAX_CANDIDATES`] versions.
const MAX_CHAINS: usize = 41;

/// Prior of the adequacy of the cheapest version over all classes: its mean and its weight in ratings.
const PRIOR: (f64, f64) = (0.5, 2.0);

/// Weight in ratings of the adequacy in the other classes as prior for this one.
const CLASS_STRENGTH: f64 = 4.0;

/// Standard deviations above the mean that an exploration credits a version with.
const OPTIMISM: f64 = 2.0;

/// Share of explorations of rated requests that put a cheaper version in front, whatever is known about it. They find
/// versions that became better unnoticed, at the cost of one cheap answer.
const AUDIT_SHARE: f64 = 0.5;

/// Adequacy after a rejected answer relative to that of a first step, before any rating shows it. Requests that a
/// cheaper version failed are harder.
const AFTER_REJECTION_RATIO: f64 = 0.8;

/// Weight in ratings of the prior for the adequacy after a rejected answer.
const AFTER_REJECTION_STRENGTH: f64 = 8.0;

/// Least standard deviation in explorations, so that versions slightly below the target keep being tried.
const MIN_DEVIATION: f64 = 0.02;

/// First-step ratings up to which every answer is rated.
const FULL_SAMPLING: f64 = 200.0;

/// Share of answers rated afterwards beyond that.
const SAMPLING_SHARE: f64 = 0.2;

/// A candidate with what is known about it.
#[derive(Debug, Clone, Copy)]
struct Known<'a> {
    candidate: &'a Candidate<'a>,
    first: (f64, f64),
    after_rejection: (f64, f64),
    ratings: f64,
}

/// Chain of indices of candidates.
type Chain = ([usize; MAX_STEPS], usize);

/// A chain with its forecast.
type Valued = (Chain, Forecast);

/// Two plans of which one is drawn for each request.
#[derive(Debug, Clone, Copy)]
struct Mix {
    low: Valued,
    high: Valued,
    /// Probability of `low`.
    share: f64,
}

/// Everything that a choice depends on.
#[derive(Debug)]
pub struct Search<'a> {
    req: &'a Request<'a>,
    known: Vec<Known<'a>>,
    arrival: f64,
}

impl<'a> Search<'a> {
    /// `candidates` are timely, ordered by cost, and there is at least one.
    pub fn new(req: &'a Request<'a>, shard: &Shard, candidates: Vec<&'a Candidate<'a>>) -> Self {
        let mut known: Vec<Known<'_>> = Vec::with_capacity(candidates.len());
        let mut prior = PRIOR.0;
        for it in candidates {
            let name = &it.version.name;
            let mean = shard.elsewhere(req.class, name, prior, PRIOR.1);
            let next = Known::new(it, mean, shard.track(req.class, name));
            // Until ratings tell otherwise, a dearer version is taken to be as good as the cheaper ones.
            prior = prior.max(next.first.0);
            known.push(next);
        }
        while known.len() > MAX_CANDIDATES {
            let worst = (0..known.len()).min_by(|&a, &b| known[a].first.0.total_cmp(&known[b].first.0));
            known.remove(worst.unwrap_or_default());
        }
        Self {
            req,
            known,
            arrival: shard.arrival(),
        }
    }

    /// A plan of the cheapest mixture that is expected to meet the target, else the one that comes closest.
    pub fn best(&self, rng: &mut impl Rng) -> Plan {
        let means: Vec<_> = self.known.iter().map(Known::mean).collect();
        let mix = self.choose(&means);
        let (chain, forecast) = mix.draw(rng);
        let met = mix.high.1.adequacy >= self.req.quality();
        let purpose = if met { Purpose::Target } else { Purpose::BestEffort };
        self.plan(chain, forecast, purpose, rng)
    }

    /// Plan that would be best if versions were as good as they may plausibly be, or an audit of a cheaper version.
    /// Where neither differs from the best plans, it is one of them, which is no exploration.
    pub fn explore(&self, rng: &mut impl Rng) -> Plan {
        let means: Vec<_> = self.known.iter().map(Known::mean).collect();
        let best = self.choose(&means);
        let found = if rng.random_bool(AUDIT_SHARE) {
            self.audit(best.high.0, rng)
        } else {
            None
        };
        let found = found.or_else(|| {
            let hopes: Vec<_> = self.known.iter().map(|it| it.hope(rng)).collect();
            let hoped = self.choose(&hopes).draw(rng).0;
            let cost = self.forecast(hoped, &means).cost;
            let met = best.high.1.adequacy >= self.req.quality();
            (!best.contains(hoped) && (!met || cost < best.high.1.cost)).then_some(hoped)
        });
        let Some(chain) = found else {
            return self.best(rng);
        };
        self.plan(chain, self.forecast(chain, &means), Purpose::Exploration, rng)
    }

    /// Puts a random cheaper version in front of the best chain.
    fn audit(&self, (indices, len): Chain, rng: &mut impl Rng) -> Option<Chain> {
        if indices[0] == 0 {
            return None;
        }
        let added = rng.random_range(0..indices[0]);
        let mut chain = ([added; MAX_STEPS], 1);
        for idx in &indices[..len] {
            if chain.1 < MAX_STEPS {
                chain.0[chain.1] = *idx;
                chain.1 += 1;
            }
        }
        // A shortened chain still ends with its last version, which meets the target on its own account.
        chain.0[chain.1 - 1] = indices[len - 1];
        let latencies = chain.0[..chain.1]
            .iter()
            .map(|it| self.known[*it].candidate.latency);
        let elapsed = latencies.sum::<Duration>() + self.req.rating_timeout * (chain.1 as u32 - 1);
        (self.req.tolerates_rating() && elapsed <= self.req.deadline).then_some(chain)
    }

    /// Cheapest mixture of two chains that meets the target.
    fn choose(&self, adequacies: &[Adequacy]) -> Mix {
        let target = self.req.quality();
        let mut chains: Vec<Valued> = Vec::with_capacity(MAX_CHAINS);
        self.each_chain(&mut |chain| chains.push((chain, self.forecast(chain, adequacies))));
        let meets = |it: &&Valued| it.1.adequacy >= target;
        let cheapest = chains
            .iter()
            .filter(meets)
            .min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
        let Some(&high) = cheapest else {
            // Later chains start with dearer versions, which are the safer choice while nothing is known.
            let closest = chains
                .into_iter()
                .max_by(|a, b| a.1.adequacy.total_cmp(&b.1.adequacy));
            return Mix::single(closest.unwrap_or((
                ([0; MAX_STEPS], 1),
                Forecast {
                    cost: 0.0,
                    adequacy: 0.0,
                },
            )));
        };
        let near = |it: &&Valued| it.1.adequacy < target && it.1.adequacy >= target - MAX_SHORTFALL;
        let mut mix = Mix::single(high);
        for _ in 0..MIX_ROUNDS {
            let before = mix.cost();
            let mut held = before;
            for low in chains.iter().filter(near) {
                let cost = mixed_cost(&low.1, &mix.high.1, target);
                if cost < held {
                    held = cost;
                    mix.low = *low;
                }
            }
            if held >= before {
                break;
            }
            for high in chains.iter().filter(meets) {
                let cost = mixed_cost(&mix.low.1, &high.1, target);
                if cost < held {
                    held = cost;
                    mix.high = *high;
                }
            }
            mix = Mix::new(mix.low, mix.high, target);
        }
        mix
    }

    /// Visits the chains that keep to the deadline.
    fn each_chain(&self, visit: &mut impl FnMut(Chain)) {
        for idx in 0..self.known.len() {
            let chain = ([idx; MAX_STEPS], 1);
            visit(chain);
            if self.req.tolerates_rating() {
                self.extend(chain, self.known[idx].candidate.latency, visit);
            }
        }
    }

    fn extend(&self, (indices, len): Chain, elapsed: Duration, visit: &mut impl FnMut(Chain)) {
        if len == MAX_STEPS {
            return;
        }
        for next in indices[len - 1] + 1..self.known.len() {
            let elapsed = elapsed + self.req.rating_timeout + self.known[next].candidate.latency;
            if elapsed > self.req.deadline {
                continue;
            }
            let mut chain = (indices, len + 1);
            chain.0[len] = next;
            visit(chain);
            self.extend(chain, elapsed, visit);
        }
    }

    fn forecast(&self, (indices, len): Chain, adequacies: &[Adequacy]) -> Forecast {
        let steps = indices[..len]
            .iter()
            .map(|&idx| (self.known[idx].candidate.cost as f64, adequacies[idx]));
        forecast(steps, self.req.rating_cost as f64, self.arrival)
    }

    fn plan(&self, (indices, len): Chain, forecast: Forecast, purpose: Purpose, rng: &mut impl Rng) -> Plan {
        let mut steps: Vec<_> = indices[..len]
            .iter()
            .map(|&idx| self.step(&self.known[idx]))
            .collect();
        let last = &self.known[indices[len - 1]];
        let sampled = purpose == Purpose::Exploration
            || last.ratings < FULL_SAMPLING
            || rng.random_bool(SAMPLING_SHARE);
        if let Some(step) = steps.last_mut() {
            step.gate = if sampled { Gate::Sampled } else { Gate::Unrated };
        }
        Plan {
            steps,
            purpose,
            forecast,
        }
    }

    fn step(&self, known: &Known<'_>) -> Step {
        Step {
            version: known.candidate.version.name.clone(),
            cost: known.candidate.cost,
            latency: known.candidate.latency,
            gate: Gate::Rated(self.req.rating_timeout),
        }
    }
}

impl Mix {
    fn single(plan: Valued) -> Self {
        Self {
            low: plan,
            high: plan,
            share: 0.0,
        }
    }

    /// `low` does not meet the target, and `high` does.
    fn new(low: Valued, high: Valued, target: f64) -> Self {
        let share = low_share(&low.1, &high.1, target);
        Self { low, high, share }
    }

    fn cost(&self) -> f64 {
        self.share * self.low.1.cost + (1.0 - self.share) * self.high.1.cost
    }

    fn contains(&self, chain: Chain) -> bool {
        self.high.0 == chain || (self.share > 0.0 && self.low.0 == chain)
    }

    fn draw(&self, rng: &mut impl Rng) -> Valued {
        if rng.random_bool(self.share.clamp(0.0, 1.0)) {
            self.low
        } else {
            self.high
        }
    }
}

/// Share of `low` with which a mixture just meets the target.
fn low_share(low: &Forecast, high: &Forecast, target: f64) -> f64 {
    (high.adequacy - target) / (high.adequacy - low.adequacy)
}

fn mixed_cost(low: &Forecast, high: &Forecast, target: f64) -> f64 {
    high.cost - low_share(low, high, target) * (high.cost - low.cost)
}

impl<'a> Known<'a> {
    fn new(candidate: &'a Candidate<'a>, prior: f64, track: Option<&Track>) -> Self {
        let unknown = Belief::default();
        let (first, after) = track.map_or((&unknown, &unknown), |it| (&it.first, &it.after_rejection));
        let marginal = first.estimate(prior, CLASS_STRENGTH);
        Self {
            candidate,
            first: marginal,
            after_rejection: after.estimate(marginal.0 * AFTER_REJECTION_RATIO, AFTER_REJECTION_STRENGTH),
            ratings: first.ratings(),
        }
    }

    fn mean(&self) -> Adequacy {
        Adequacy {
            first: self.first.0,
            after_rejection: self.after_rejection.0,
        }
    }

    /// Adequacy at the upper end of what is plausible, or the mean, at random. Without the randomness a cheap version
    /// slightly below the target takes all explorations, and a better one is never tried.
    fn hope(&self, rng: &mut impl Rng) -> Adequacy {
        if rng.random_bool(0.5) {
            return self.mean();
        }
        let hope =
            |(mean, deviation): (f64, f64)| (mean + OPTIMISM * f64::max(deviation, MIN_DEVIATION)).min(1.0);
        Adequacy {
            first: hope(self.first),
            after_rejection: hope(self.after_rejection),
        }
    }
}
