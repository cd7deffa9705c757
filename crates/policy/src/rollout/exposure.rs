//! Which nodes run trial traffic, and how much.

use std::time::Duration;

use model::hash;
use model::object::Rollout;

/// Trial nodes of the first stage and judges of every stage. Two, so that the roll-out survives the loss of one. The
/// more nodes judge, the more often one of them crosses a bound by chance: 17 judges halted 7.5% of equal versions.
pub const JUDGES: usize = 2;

/// Nodes that record evidence of the old version besides the trial nodes, for sharper comparisons.
pub const OBSERVERS: usize = 8;

/// Greatest share of a node's traffic for the new version; the rest is the control group. Without it the last stage
/// has nothing to compare with and cannot end.
const MAX_SHARE: f64 = 0.9;

/// Requests with unknown outcome that each trial node may have before any outcome is known.
const FIRST_ALLOWANCE: u64 = 2;

/// Time between two starts of trial requests at one node under the first allowance.
const FIRST_PACE: Duration = Duration::from_millis(2000);

/// Good outcomes of the fleet for each further request with unknown outcome of the fleet.
const GOOD_PER_SLOT: u64 = 16;

/// Hosts that run the trial, in rendezvous order: [`JUDGES`] in the first stage, then the stage's share of the fleet.
pub fn trial_nodes<'a>(rollout: &Rollout, hosts: impl ExactSizeIterator<Item = &'a str>) -> Vec<&'a str> {
    let share = usize::from(stage_permille(rollout));
    let wanted = if rollout.stage == 0 {
        0
    } else {
        (hosts.len() * share).div_ceil(1000)
    };
    hash::highest(&rollout.name, hosts, wanted.max(JUDGES))
}

/// Hosts that record evidence: the trial nodes, and at least [`OBSERVERS`].
pub fn observers<'a>(
    rollout: &Rollout,
    hosts: impl ExactSizeIterator<Item = &'a str> + Clone,
) -> Vec<&'a str> {
    let trial = trial_nodes(rollout, hosts.clone()).len();
    hash::highest(&rollout.name, hosts, trial.max(OBSERVERS))
}

/// Hosts that judge the evidence and propose.
pub fn judges<'a>(rollout: &Rollout, hosts: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    hash::highest(&rollout.name, hosts, JUDGES)
}

/// Share of a trial node's new sessions and sessionless requests that try the new version, 0 to 1, for a fleet of
/// `hosts` with `trial` trial nodes.
pub fn trial_share(rollout: &Rollout, hosts: usize, trial: usize) -> f64 {
    let share = f64::from(stage_permille(rollout)) / 1000.0;
    (share * hosts as f64 / trial.max(1) as f64).min(MAX_SHARE)
}

/// Requests with unknown outcome that one of `nodes` trial nodes may have, given the good outcomes of the fleet. The
/// sum over the trial nodes is the fleet's allowance.
pub fn allowance(nodes: usize, good: u64) -> u64 {
    FIRST_ALLOWANCE + good / (GOOD_PER_SLOT * nodes.max(1) as u64)
}

/// Time between two starts of trial requests at one node. With the first allowance and ratings that take 5 s, a node
/// starts one request in 2.5 s on average; without the spacing, a node with much traffic starts several more while the
/// failure of the first ones is still unknown to the judges.
pub fn pace(allowance: u64) -> Duration {
    FIRST_PACE * FIRST_ALLOWANCE as u32 / u32::try_from(allowance.max(1)).unwrap_or(u32::MAX)
}

/// Requests of the first stage that one of `nodes` trial nodes may start, given what the others started.
pub fn budget(rollout: &Rollout, nodes: usize, others: u64) -> u64 {
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
