//! Choice of versions for a request: those that may answer it, and the plan in which they are tried.

use std::sync::Arc;
use std::time::Duration;

use config::view::{Candidate, OrganisationView, View};
use model::object::Version;
use model::refusal::Reason;
use model::{Class, Refusal, Tokens};
use policy::cascade::{self, Error, Forecast, Plan, Purpose, RatingMode, Step};

use super::cost;
use crate::ratings;
use crate::rollouts::Trial;
use crate::shared::Shared;

/// What the choice depends on besides the organisation.
pub(super) struct Wish {
    pub class: Class,
    /// Time left until the answer is due.
    pub time: Duration,
    pub prompt: Tokens,
    pub max_tokens: Option<Tokens>,
}

/// Versions that may answer a request.
pub(super) struct Choice {
    pub versions: Vec<Arc<Version>>,
    /// Roll-out that the request is evidence for.
    pub trial: Option<Trial>,
}

impl Choice {
    /// The version of a session.
    pub(super) fn pinned(version: &Arc<Version>) -> Self {
        Self {
            versions: vec![Arc::clone(version)],
            trial: None,
        }
    }
}

/// Live and allowed versions for a request without a session.
///
/// Roll-outs take part in requests for their model only: of several candidates of a cascade, the plan may not start
/// the new version at all, and a trial request would never end.
///
/// # Errors
/// Any refusal of [`View::candidates`].
pub(super) fn candidates(
    shared: &Shared,
    view: &View,
    tenant: &OrganisationView,
    requested: &str,
) -> Result<Choice, Refusal> {
    let list = view.candidates(tenant, requested)?.list;
    let trial = match &list[..] {
        [
            Candidate {
                rollout: Some(it), ..
            },
        ] => shared.rollouts.admit(shared, it).map(|trial| (trial, it)),
        _ => None,
    };
    let new = trial.as_ref().filter(|it| it.0.is_new()).map(|it| &it.1.to);
    let new = new.and_then(|it| view.pinned(tenant, it).ok());
    let versions = match new {
        Some(new) => vec![Arc::clone(new)],
        None => list.iter().map(|it| Arc::clone(&it.version)).collect(),
    };
    let trial = trial.map(|it| it.0);
    Ok(Choice { versions, trial })
}

/// Plans the steps of a request.
///
/// # Errors
/// `deadline_unreachable` if no version answers in time.
pub(super) fn plan(
    shared: &Shared,
    view: &View,
    tenant: &OrganisationView,
    choice: &Choice,
    wish: &Wish,
) -> Result<Plan, Refusal> {
    let versions = &choice.versions;
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
    let plan = shared
        .planner
        .plan(&request, &candidates, &mut shared.rng())
        .map_err(|err| match err {
            Error::NoCandidate => Refusal::not_run(Reason::NotAllowed),
            Error::Deadline => Refusal::not_run(Reason::DeadlineUnreachable),
        });
    let mut plan = plan?;
    if choice.trial.as_ref().is_some_and(Trial::is_new)
        && let Some(step) = plan.steps.last_mut()
    {
        // Every answer of a version on trial is rated.
        step.rating_mode = RatingMode::AfterDelivery;
    }
    Ok(plan)
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
        _ => shared.latencies.pessimistic(&version.name),
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
            rating_mode: RatingMode::Never,
        }],
        purpose: Purpose::BestEffort,
        forecast: Forecast {
            cost: candidate.cost as f64,
            adequacy: 0.0,
        },
    }
}
