//! Selection of the nodes that run trial traffic, and limits on that traffic.

use std::time::Duration;

use model::hash;
use model::object::Rollout;

/// Number of trial nodes in the first stage and of evaluators in every stage. With two, a roll-out continues
/// after the loss of one. More evaluators would cross a bound by chance more often: 17 evaluators halted 7.5%
/// of roll-outs between equal versions.
pub const EVALUATORS: usize = 2;

/// Minimum number of nodes that record evidence. Those that are not trial nodes record the old version only,
/// which makes the comparison more precise.
pub const OBSERVERS: usize = 8;

/// Maximum share of a node's traffic for the new version. The rest is the control group, without which the
/// last stage has nothing to compare with and cannot end.
const MAX_TRIAL_SHARE: f64 = 0.9;

/// Requests with unknown outcome that each trial node may have before any outcome is known.
const INITIAL_ALLOWANCE: u64 = 2;

/// Minimum time between two trial requests of one node under the initial allowance.
const INITIAL_START_INTERVAL: Duration = Duration::from_millis(2000);

/// Good outcomes in the fleet that allow one more request with unknown outcome in the fleet.
const GOOD_OUTCOMES_PER_REQUEST: u64 = 16;

/// Hosts that run trial traffic, in rendezvous order: [`EVALUATORS`] of them in the first stage, then the
/// stage's share of the fleet.
pub fn trial_nodes<'a>(rollout: &Rollout, hosts: impl ExactSizeIterator<Item = &'a str>) -> Vec<&'a str> {
    let share = usize::from(stage_permille(rollout));
    let count = if rollout.stage == 0 {
        0
    } else {
        (hosts.len() * share).div_ceil(1000)
    };
    hash::highest(&rollout.name, hosts, count.max(EVALUATORS))
}

/// Hosts that record evidence: the trial nodes, and further hosts up to a total of [`OBSERVERS`].
pub fn observers<'a>(
    rollout: &Rollout,
    hosts: impl ExactSizeIterator<Item = &'a str> + Clone,
) -> Vec<&'a str> {
    let trial = trial_nodes(rollout, hosts.clone()).len();
    hash::highest(&rollout.name, hosts, trial.max(OBSERVERS))
}

/// Hosts that evaluate the evidence and propose an advance or a halt.
pub fn evaluators<'a>(rollout: &Rollout, hosts: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    hash::highest(&rollout.name, hosts, EVALUATORS)
}

/// Share, from 0 to 1, of the new sessions and sessionless requests of a trial node that run on the new
/// version, in a fleet of `hosts` hosts with `trial` trial nodes.
pub fn trial_share(rollout: &Rollout, hosts: usize, trial: usize) -> f64 {
    let share = f64::from(stage_permille(rollout)) / 1000.0;
    (share * hosts as f64 / trial.max(1) as f64).min(MAX_TRIAL_SHARE)
}

/// Requests with unknown outcome that one of `nodes` trial nodes may have, given the good outcomes in the
/// fleet. The sum over the trial nodes is the allowance of the fleet.
pub fn allowance(nodes: usize, good_outcomes: u64) -> u64 {
    INITIAL_ALLOWANCE + good_outcomes / (GOOD_OUTCOMES_PER_REQUEST * nodes.max(1) as u64)
}

/// Minimum time between two trial requests of one node. With the initial allowance and ratings that take 5 s,
/// a node starts one request per 2.5 s on average. Without the interval, a node with much traffic starts
/// several more while the evaluators do not yet know that the first ones failed.
pub fn start_interval(allowance: u64) -> Duration {
    INITIAL_START_INTERVAL * INITIAL_ALLOWANCE as u32 / u32::try_from(allowance.max(1)).unwrap_or(u32::MAX)
}

/// Requests that one of `nodes` trial nodes may start in the first stage, given the number that the others
/// have started.
pub fn start_budget(rollout: &Rollout, nodes: usize, others: u64) -> u64 {
    if rollout.stage > 0 {
        return u64::MAX;
    }
    let budget = u64::from(rollout.exposure_budget);
    (budget / nodes.max(1) as u64).min(budget.saturating_sub(others))
}

fn stage_permille(rollout: &Rollout) -> u16 {
    let stage = rollout.stages.get(usize::from(rollout.stage));
    stage.or(rollout.stages.last()).copied().unwrap_or(0)
}
