//! Choice of versions for a request: those that may answer it, and the plan in which they are tried.

use std::sync::Arc;
use std::time::Duration;

use config::view::{Candidate, Tenant, View};
use model::object::{Rollout, Version};
use model::refusal::Reason;
use model::{Class, Refusal, Tokens, object};
use policy::cascade::{self, Error, Forecast, Gate, Plan, Purpose, Step};
use rand::Rng;
use rand::rngs::SmallRng;

use super::cost;
use crate::ratings;
use crate::shared::Shared;

/// What the choice depends on besides the organisation.
pub(super) struct Wish {
    pub class: Class,
    /// Time left until the answer is due.
    pub time: Duration,
    pub prompt: Tokens,
    pub max_tokens: Option<Tokens>,
}

/// Live and allowed versions for a request without a session; each is replaced by the new version of its roll-out
/// for the share of the current stage.
///
/// # Errors
/// Any refusal of [`View::candidates`].
pub(super) fn candidates(
    view: &View,
    tenant: &Tenant,
    requested: &str,
    rng: &mut SmallRng,
) -> Result<Vec<Arc<Version>>, Refusal> {
    let candidates = view.candidates(tenant, requested)?;
    Ok(candidates
        .list
        .into_iter()
        .map(|it| try_new(view, tenant, it, rng))
        .collect())
}

fn try_new(view: &View, tenant: &Tenant, candidate: Candidate, rng: &mut SmallRng) -> Arc<Version> {
    let Candidate { version, rollout } = candidate;
    let Some(rollout) = rollout.filter(|it| rng.random_range(0..1000) < share(it)) else {
        return version;
    };
    view.pinned(tenant, &rollout.to).cloned().unwrap_or(version)
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

/// Plans the steps of a request.
///
/// # Errors
/// `deadline_unreachable` if no version answers in time.
pub(super) fn plan(
    shared: &Shared,
    view: &View,
    tenant: &Tenant,
    versions: &[Arc<Version>],
    wish: &Wish,
) -> Result<Plan, Refusal> {
    let candidates: Vec<_> = versions
        .iter()
        .map(|it| candidate(shared, view, it, versions.len(), wish))
        .collect();
    let Some(first) = candidates.first() else {
        return Err(Refusal::not_run(Reason::UnknownName));
    };
    if shared.ports.rating.is_none() {
        return Ok(direct(first));
    }
    let request = cascade::Request {
        organisation: &tenant.organisation,
        class: wish.class,
        deadline: wish.time,
        rating_timeout: ratings::TIMEOUT,
        // The price of a rating is not known; it changes which of two plans is cheaper only if it is near their gap.
        rating_cost: 0,
    };
    shared
        .planner
        .plan(&request, &candidates, &mut shared.rng())
        .map_err(|err| match err {
            Error::NoCandidate => Refusal::not_run(Reason::NotAllowed),
            Error::Deadline => Refusal::not_run(Reason::DeadlineUnreachable),
        })
}

fn candidate<'a>(
    shared: &Shared,
    view: &View,
    version: &'a Version,
    choices: usize,
    wish: &Wish,
) -> cascade::Candidate<'a> {
    let group = shared.upstreams.group(view, &version.pool);
    let output = group.map_or(0, |it| it.expected_output(wish.class, wish.max_tokens));
    let latency = match choices {
        // Without a choice, admission decides whether the deadline can be met, and says when to try again.
        1 => Duration::ZERO,
        _ => shared.latencies.high(&version.name),
    };
    cascade::Candidate {
        version,
        cost: cost(version, wish.prompt, output),
        latency,
    }
}

/// The plan without a rating service: the first version of the cascade.
fn direct(candidate: &cascade::Candidate<'_>) -> Plan {
    Plan {
        steps: vec![Step {
            version: candidate.version.name.clone(),
            cost: candidate.cost,
            latency: candidate.latency,
            gate: Gate::Unrated,
        }],
        purpose: Purpose::BestEffort,
        forecast: Forecast {
            cost: candidate.cost as f64,
            adequacy: 0.0,
        },
    }
}
