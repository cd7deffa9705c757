//! Plans from the true adequacies.

use policy::cascade::{Forecast, MAX_STEPS, Plan, Purpose, RatingMode, Step};

use super::world::{self, COMMON, COSTS, QUALITY, RATING_COST, RATING_TIMEOUT, Scenario, VERSIONS, World};

/// Points at which the common difficulty is evaluated.
const GRID: usize = 1000;

/// Two plans, as indices of versions, and the share of requests that run the first.
#[derive(Debug, Clone)]
pub struct Mix {
    pub low: Vec<usize>,
    pub high: Vec<usize>,
    pub share: f64,
}

/// Cheapest single plan for each class.
pub fn single(world: &World, scenario: Scenario) -> [Vec<usize>; 3] {
    std::array::from_fn(|class| best(class, &world.truth[class], scenario.arrival()))
}

/// Cheapest mixture of two plans for each class. No policy that chooses plans at random meets the target for less.
pub fn mixed(world: &World, scenario: Scenario) -> [Mix; 3] {
    std::array::from_fn(|class| {
        let truth = &world.truth[class];
        let valued = |it: Vec<usize>| (value(&it, truth, scenario.arrival()), it);
        let (met, short): (Vec<_>, Vec<_>) = chains(class)
            .into_iter()
            .map(valued)
            .partition(|((_, adequacy), _)| *adequacy >= QUALITY);
        let pairs = met
            .iter()
            .flat_map(|high| short.iter().map(move |low| (low, high)));
        let mixes = pairs.map(|(low, high)| {
            let share = (high.0.1 - QUALITY) / (high.0.1 - low.0.1);
            (share * low.0.0 + (1.0 - share) * high.0.0, low, high, share)
        });
        let alone = met.iter().map(|high| (high.0.0, high, high, 0.0));
        let cheapest = mixes.chain(alone).min_by(|a, b| a.0.total_cmp(&b.0));
        let (_, low, high, share) = cheapest.expect("the dearest version meets the target");
        Mix {
            low: low.1.clone(),
            high: high.1.clone(),
            share,
        }
    })
}

/// A plan of these versions, all but the last rated.
pub fn plan(world: &World, versions: &[usize]) -> Plan {
    let step = |(idx, &version): (usize, &usize)| Step {
        version: world.versions[version].name.clone(),
        cost: COSTS[version],
        latency: world::latency(version),
        rating_mode: if idx + 1 < versions.len() {
            RatingMode::BeforeDelivery(RATING_TIMEOUT)
        } else {
            RatingMode::Never
        },
    };
    Plan {
        steps: versions.iter().enumerate().map(step).collect(),
        purpose: Purpose::Target,
        forecast: Forecast {
            cost: 0.0,
            adequacy: 0.0,
        },
    }
}

/// Chains that keep to the deadline.
fn chains(class: usize) -> Vec<Vec<usize>> {
    let mut chains: Vec<Vec<usize>> = (0..VERSIONS).map(|it| vec![it]).collect();
    let mut start = 0;
    // Interactive requests wait for no rating.
    for _ in 1..if class == 0 { 1 } else { MAX_STEPS } {
        let longer: Vec<_> = chains[start..]
            .iter()
            .flat_map(|chain| (chain[chain.len() - 1] + 1..VERSIONS).map(|it| [&chain[..], &[it]].concat()))
            .collect();
        start = chains.len();
        chains.extend(longer);
    }
    chains.retain(|it| {
        let waits = RATING_TIMEOUT * (it.len() as u32 - 1);
        it.iter()
            .map(|it| world::latency(*it))
            .sum::<std::time::Duration>()
            + waits
            <= world::deadline(class)
    });
    chains
}

fn best(class: usize, truth: &[f64; VERSIONS], arrival: f64) -> Vec<usize> {
    let valued = chains(class)
        .into_iter()
        .map(|it| (value(&it, truth, arrival), it));
    let met = valued.filter(|((_, adequacy), _)| *adequacy >= QUALITY);
    let cheapest = met.min_by(|a, b| a.0.0.total_cmp(&b.0.0));
    cheapest.map_or_else(|| vec![VERSIONS - 1], |it| it.1)
}

/// Expected cost and adequacy.
fn value(chain: &[usize], truth: &[f64; VERSIONS], arrival: f64) -> (f64, f64) {
    let independent = walk(chain, arrival, |it| truth[it]);
    let mut cost = (1.0 - COMMON) * independent.0;
    let mut adequacy = (1.0 - COMMON) * independent.1;
    for point in 0..GRID {
        let difficulty = (point as f64 + 0.5) / GRID as f64;
        let common = walk(chain, arrival, |it| f64::from(u8::from(difficulty < truth[it])));
        cost += COMMON * common.0 / GRID as f64;
        adequacy += COMMON * common.1 / GRID as f64;
    }
    (cost, adequacy)
}

fn walk(chain: &[usize], arrival: f64, adequate: impl Fn(usize) -> f64) -> (f64, f64) {
    let mut reached = 1.0;
    let mut cost = 0.0;
    let mut delivered = 0.0;
    for (idx, &version) in chain.iter().enumerate() {
        cost += reached * COSTS[version] as f64;
        if idx + 1 == chain.len() {
            delivered += reached * adequate(version);
            break;
        }
        cost += reached * RATING_COST as f64;
        let passed = arrival * adequate(version);
        delivered += reached * passed;
        reached *= 1.0 - passed;
    }
    (cost, delivered)
}
