//! Choice of a version for a request without a session.

use std::sync::Arc;

use config::view::{Candidate, Tenant, View};
use model::object::{Rollout, Version};
use model::refusal::Reason;
use model::{Refusal, object};
use rand::Rng;
use rand::rngs::SmallRng;

/// Chooses the first candidate, or the new version of its roll-out for the share of the current stage.
///
/// # Errors
/// Any refusal of [`View::candidates`].
pub(super) fn choose(
    view: &View,
    tenant: &Tenant,
    requested: &str,
    rng: &mut SmallRng,
) -> Result<Arc<Version>, Refusal> {
    let candidates = view.candidates(tenant, requested)?;
    let Some(Candidate { version, rollout }) = candidates.list.into_iter().next() else {
        return Err(Refusal::not_run(Reason::UnknownName));
    };
    let Some(rollout) = rollout else {
        return Ok(version);
    };
    if rng.random_range(0..1000) >= share(&rollout) {
        return Ok(version);
    }
    Ok(view.pinned(tenant, &rollout.to).cloned().unwrap_or(version))
}

/// Share of the new version in thousandths.
fn share(rollout: &Rollout) -> u16 {
    match rollout.state {
        object::rollout::State::Running => {
            let stage = usize::from(rollout.stage);
            rollout.stages.get(stage).copied().unwrap_or(0)
        }
        object::rollout::State::Halted | object::rollout::State::Finished => 0,
    }
}
