//! Search for the cheapest plan that meets the quality target.

use std::time::Duration;

use rand::Rng;

use super::organisation::{OrganisationState, VersionRatings};
use crate::cascade::forecast::{Adequacy, Forecast, forecast};
use crate::cascade::plan::{Candidate, MAX_STEPS, Plan, Purpose, RatingMode, Request, Step};
use crate::cascade::posterior::Posterior;

/// Maximum difference between the target and the expected adequacy of a plan that does not meet it, in a
/// mixture with a better plan that makes up for it.
const MAX_SHORTFALL: f64 = 0.1;

/// Maximum number of rounds that improve a mixture. Each passes over the chains for either plan; two rounds
/// are almost always enough.
const MIXTURE_ROUNDS: usize = 3;

/// Maximum number of candidates that are considered. It dominates the time of a decision: six give 41 chains
/// of at most three steps.
const MAX_CANDIDATES: usize = 6;

/// Number of chains of at most three of [`MAX_CANDIDATES`] versions.
const MAX_CHAINS: usize = 41;

/// Prior adequacy of the cheapest version over all classes: mean, and weight in ratings.
const ADEQUACY_PRIOR: (f64, f64) = (0.5, 2.0);

/// Weight in ratings of the prior for one class, which is the adequacy in the other classes.
const CLASS_PRIOR_RATINGS: f64 = 4.0;

/// Standard deviations above the mean at which an exploration assumes the adequacy of a version.
const OPTIMISM_DEVIATIONS: f64 = 2.0;

/// Share of explorations that try to put a cheaper version in front of the best chain, regardless of its
/// ratings. They detect versions that have become better, at the cost of one cheap answer.
const CHEAPER_FIRST_SHARE: f64 = 0.5;

/// Prior adequacy after a rejected answer, relative to that of a first step. It is below 1 because requests
/// that a cheaper version answered inadequately are harder.
const AFTER_REJECTION_RATIO: f64 = 0.8;

/// Weight in ratings of the prior for the adequacy after a rejected answer.
const AFTER_REJECTION_PRIOR_RATINGS: f64 = 8.0;

/// Minimum standard deviation in explorations, so that versions slightly below the target keep being tried.
const MIN_DEVIATION: f64 = 0.02;

/// Number of first-step ratings below which every answer of a version is rated.
const FULL_SAMPLING_RATINGS: f64 = 200.0;

/// Share of final answers that are rated once a version has [`FULL_SAMPLING_RATINGS`].
const SAMPLING_SHARE: f64 = 0.2;

/// A candidate with the mean and standard deviation of its adequacy.
#[derive(Debug, Clone, Copy)]
struct RatedCandidate<'a> {
    candidate: &'a Candidate<'a>,
    first: (f64, f64),
    after_rejection: (f64, f64),
    ratings: f64,
}

/// Indices of candidates and the number of them that are used.
type Chain = ([usize; MAX_STEPS], usize);

/// A chain with its forecast.
type ForecastChain = (Chain, Forecast);

/// Two chains, one of which is drawn at random for each request.
#[derive(Debug, Clone, Copy)]
struct Mixture {
    low: ForecastChain,
    high: ForecastChain,
    /// Probability with which `low` is drawn.
    low_share: f64,
}

/// Request, candidates and estimates that a choice of a plan depends on.
#[derive(Debug)]
pub struct Search<'a> {
    req: &'a Request<'a>,
    candidates: Vec<RatedCandidate<'a>>,
    arrival_probability: f64,
}

impl<'a> Search<'a> {
    /// `candidates` is not empty, is ordered by cost, and each can answer within the deadline.
    pub fn new(req: &'a Request<'a>, state: &OrganisationState, candidates: Vec<&'a Candidate<'a>>) -> Self {
        let mut rated: Vec<RatedCandidate<'_>> = Vec::with_capacity(candidates.len());
        let mut prior = ADEQUACY_PRIOR.0;
        for it in candidates {
            let name = &it.version.name;
            let mean = state.mean_in_other_classes(req.class, name, prior, ADEQUACY_PRIOR.1);
            let next = RatedCandidate::new(it, mean, state.ratings(req.class, name));
            // Without ratings, a dearer version is assumed to be at least as good as the cheaper ones.
            prior = prior.max(next.first.0);
            rated.push(next);
        }
        while rated.len() > MAX_CANDIDATES {
            let worst = (0..rated.len()).min_by(|&a, &b| rated[a].first.0.total_cmp(&rated[b].first.0));
            rated.remove(worst.unwrap_or_default());
        }
        Self {
            req,
            candidates: rated,
            arrival_probability: state.arrival_probability(),
        }
    }

    /// A plan of the cheapest mixture that is expected to meet the target, or else the plan that comes
    /// closest to it.
    pub fn best(&self, rng: &mut impl Rng) -> Plan {
        let means: Vec<_> = self.candidates.iter().map(RatedCandidate::mean).collect();
        let mixture = self.cheapest_mixture(&means);
        let (chain, forecast) = mixture.draw(rng);
        let met = mixture.high.1.adequacy >= self.req.quality_target();
        let purpose = if met { Purpose::Target } else { Purpose::BestEffort };
        self.plan(chain, forecast, purpose, rng)
    }

    /// A plan that puts a cheaper version in front of the best chain, or one that would be best if adequacies
    /// were at the upper end of their plausible range. If neither differs from the best plans, returns one of
    /// those, which does not count as an exploration.
    pub fn explore(&self, rng: &mut impl Rng) -> Plan {
        let means: Vec<_> = self.candidates.iter().map(RatedCandidate::mean).collect();
        let best = self.cheapest_mixture(&means);
        let cheaper_first = if rng.random_bool(CHEAPER_FIRST_SHARE) {
            self.cheaper_first(best.high.0, rng)
        } else {
            None
        };
        let exploration = cheaper_first.or_else(|| {
            let optimistic: Vec<_> = self.candidates.iter().map(|it| it.optimistic(rng)).collect();
            let chain = self.cheapest_mixture(&optimistic).draw(rng).0;
            let cost = self.forecast(chain, &means).cost;
            let met = best.high.1.adequacy >= self.req.quality_target();
            (!best.contains(chain) && (!met || cost < best.high.1.cost)).then_some(chain)
        });
        let Some(chain) = exploration else {
            return self.best(rng);
        };
        self.plan(chain, self.forecast(chain, &means), Purpose::Exploration, rng)
    }

    /// Puts a random cheaper version in front of the best chain.
    fn cheaper_first(&self, (indices, len): Chain, rng: &mut impl Rng) -> Option<Chain> {
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
        // A shortened chain still ends with the last version of the best chain, which meets the target alone.
        chain.0[chain.1 - 1] = indices[len - 1];
        let latencies = chain.0[..chain.1]
            .iter()
            .map(|it| self.candidates[*it].candidate.latency);
        let elapsed = latencies.sum::<Duration>() + self.req.rating_timeout * (chain.1 as u32 - 1);
        (self.req.allows_rating_before_delivery() && elapsed <= self.req.deadline).then_some(chain)
    }

    /// The cheapest mixture of two chains that meets the target, or else the chain that comes closest to it.
    fn cheapest_mixture(&self, adequacies: &[Adequacy]) -> Mixture {
        let target = self.req.quality_target();
        let mut chains: Vec<ForecastChain> = Vec::with_capacity(MAX_CHAINS);
        self.visit_chains(&mut |chain| chains.push((chain, self.forecast(chain, adequacies))));
        let meets = |it: &&ForecastChain| it.1.adequacy >= target;
        let cheapest = chains
            .iter()
            .filter(meets)
            .min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
        let Some(&high) = cheapest else {
            // Of equal chains the last is chosen. Later chains start with dearer versions, which are the
            // safer choice when there are no ratings.
            let closest = chains
                .into_iter()
                .max_by(|a, b| a.1.adequacy.total_cmp(&b.1.adequacy));
            return Mixture::single(closest.unwrap_or((
                ([0; MAX_STEPS], 1),
                Forecast {
                    cost: 0.0,
                    adequacy: 0.0,
                },
            )));
        };
        let near_target =
            |it: &&ForecastChain| it.1.adequacy < target && it.1.adequacy >= target - MAX_SHORTFALL;
        let mut mixture = Mixture::single(high);
        for _ in 0..MIXTURE_ROUNDS {
            let initial_cost = mixture.cost();
            let mut lowest_cost = initial_cost;
            for low in chains.iter().filter(near_target) {
                let cost = mixture_cost(&low.1, &mixture.high.1, target);
                if cost < lowest_cost {
                    lowest_cost = cost;
                    mixture.low = *low;
                }
            }
            if lowest_cost >= initial_cost {
                break;
            }
            for high in chains.iter().filter(meets) {
                let cost = mixture_cost(&mixture.low.1, &high.1, target);
                if cost < lowest_cost {
                    lowest_cost = cost;
                    mixture.high = *high;
                }
            }
            mixture = Mixture::new(mixture.low, mixture.high, target);
        }
        mixture
    }

    /// Visits all chains that can answer within the deadline.
    fn visit_chains(&self, visit: &mut impl FnMut(Chain)) {
        for idx in 0..self.candidates.len() {
            let chain = ([idx; MAX_STEPS], 1);
            visit(chain);
            if self.req.allows_rating_before_delivery() {
                self.visit_extensions(chain, self.candidates[idx].candidate.latency, visit);
            }
        }
    }

    fn visit_extensions(&self, (indices, len): Chain, elapsed: Duration, visit: &mut impl FnMut(Chain)) {
        if len == MAX_STEPS {
            return;
        }
        for next in indices[len - 1] + 1..self.candidates.len() {
            let elapsed = elapsed + self.req.rating_timeout + self.candidates[next].candidate.latency;
            if elapsed > self.req.deadline {
                continue;
            }
            let mut chain = (indices, len + 1);
            chain.0[len] = next;
            visit(chain);
            self.visit_extensions(chain, elapsed, visit);
        }
    }

    fn forecast(&self, (indices, len): Chain, adequacies: &[Adequacy]) -> Forecast {
        let steps = indices[..len]
            .iter()
            .map(|&idx| (self.candidates[idx].candidate.cost as f64, adequacies[idx]));
        forecast(steps, self.req.rating_cost as f64, self.arrival_probability)
    }

    fn plan(&self, (indices, len): Chain, forecast: Forecast, purpose: Purpose, rng: &mut impl Rng) -> Plan {
        let mut steps: Vec<_> = indices[..len]
            .iter()
            .map(|&idx| self.step(&self.candidates[idx]))
            .collect();
        let last = &self.candidates[indices[len - 1]];
        let rated = purpose == Purpose::Exploration
            || last.ratings < FULL_SAMPLING_RATINGS
            || rng.random_bool(SAMPLING_SHARE);
        if let Some(step) = steps.last_mut() {
            step.rating_mode = if rated {
                RatingMode::AfterDelivery
            } else {
                RatingMode::Never
            };
        }
        Plan {
            steps,
            purpose,
            forecast,
        }
    }

    fn step(&self, rated: &RatedCandidate<'_>) -> Step {
        Step {
            version: rated.candidate.version.name.clone(),
            cost: rated.candidate.cost,
            latency: rated.candidate.latency,
            rating_mode: RatingMode::BeforeDelivery(self.req.rating_timeout),
        }
    }
}

impl Mixture {
    fn single(plan: ForecastChain) -> Self {
        Self {
            low: plan,
            high: plan,
            low_share: 0.0,
        }
    }

    /// `low` must not meet the target, and `high` must.
    fn new(low: ForecastChain, high: ForecastChain, target: f64) -> Self {
        let low_share = low_share(&low.1, &high.1, target);
        Self { low, high, low_share }
    }

    fn cost(&self) -> f64 {
        self.low_share * self.low.1.cost + (1.0 - self.low_share) * self.high.1.cost
    }

    fn contains(&self, chain: Chain) -> bool {
        self.high.0 == chain || (self.low_share > 0.0 && self.low.0 == chain)
    }

    fn draw(&self, rng: &mut impl Rng) -> ForecastChain {
        if rng.random_bool(self.low_share.clamp(0.0, 1.0)) {
            self.low
        } else {
            self.high
        }
    }
}

/// Greatest share of `low` with which a mixture meets the target.
fn low_share(low: &Forecast, high: &Forecast, target: f64) -> f64 {
    (high.adequacy - target) / (high.adequacy - low.adequacy)
}

/// Expected cost of the mixture with this share.
fn mixture_cost(low: &Forecast, high: &Forecast, target: f64) -> f64 {
    high.cost - low_share(low, high, target) * (high.cost - low.cost)
}

impl<'a> RatedCandidate<'a> {
    fn new(candidate: &'a Candidate<'a>, prior: f64, ratings: Option<&VersionRatings>) -> Self {
        let unrated = Posterior::default();
        let (first, after_rejection) =
            ratings.map_or((&unrated, &unrated), |it| (&it.first, &it.after_rejection));
        let first_estimate = first.estimate(prior, CLASS_PRIOR_RATINGS);
        Self {
            candidate,
            first: first_estimate,
            after_rejection: after_rejection.estimate(
                first_estimate.0 * AFTER_REJECTION_RATIO,
                AFTER_REJECTION_PRIOR_RATINGS,
            ),
            ratings: first.effective_ratings(),
        }
    }

    fn mean(&self) -> Adequacy {
        Adequacy {
            first: self.first.0,
            after_rejection: self.after_rejection.0,
        }
    }

    /// At random, the mean adequacy or the upper end of its plausible range. Without the randomness, a cheap
    /// version slightly below the target takes all explorations, and a better one is never tried.
    fn optimistic(&self, rng: &mut impl Rng) -> Adequacy {
        if rng.random_bool(0.5) {
            return self.mean();
        }
        let upper = |(mean, deviation): (f64, f64)| {
            (mean + OPTIMISM_DEVIATIONS * f64::max(deviation, MIN_DEVIATION)).min(1.0)
        };
        Adequacy {
            first: upper(self.first),
            after_rejection: upper(self.after_rejection),
        }
    }
}
