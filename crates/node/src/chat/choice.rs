//! Choice of versions for a request: the candidates that may answer it, and the plan that tries them.

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

/// Parameters of a request that its plan depends on.
pub(super) struct RequestParams {
    pub class: Class,
    /// Time left until the deadline.
    pub time_left: Duration,
    pub prompt_tokens: Tokens,
    pub max_tokens: Option<Tokens>,
}

/// Candidate versions of a request.
pub(super) struct Choice {
    pub versions: Vec<Arc<Version>>,
    /// Roll-out trial that the request takes part in.
    pub trial: Option<Trial>,
}

impl Choice {
    /// The only candidate of a request with a session.
    pub(super) fn pinned(version: &Arc<Version>) -> Self {
        Self {
            versions: vec![Arc::clone(version)],
            trial: None,
        }
    }
}

/// Chooses from the live and allowed versions for a request without a session.
///
/// Only a request with a single candidate can take part in a roll-out. With several candidates, the plan may
/// never start the new version, and the trial would never end.
///
/// # Errors
/// Any refusal of [`View::candidates`].
pub(super) fn candidates(
    shared: &Shared,
    view: &View,
    organisation: &OrganisationView,
    requested: &str,
) -> Result<Choice, Refusal> {
    let list = view.candidates(organisation, requested)?.list;
    let trial = match &list[..] {
        [
            Candidate {
                rollout: Some(it), ..
            },
        ] => shared.rollouts.admit(shared, it).map(|trial| (trial, it)),
        _ => None,
    };
    let new = trial.as_ref().filter(|it| it.0.is_new()).map(|it| &it.1.to);
    let new = new.and_then(|it| view.pinned(organisation, it).ok());
    let versions = match new {
        Some(new) => vec![Arc::clone(new)],
        None => list.iter().map(|it| Arc::clone(&it.version)).collect(),
    };
    let trial = trial.map(|it| it.0);
    Ok(Choice { versions, trial })
}

/// Plans the cascade steps of a request.
///
/// # Errors
/// `deadline_unreachable` if no version can answer in time, `not_allowed` if none is both allowed and live.
pub(super) fn plan(
    shared: &Shared,
    view: &View,
    organisation: &OrganisationView,
    choice: &Choice,
    params: &RequestParams,
) -> Result<Plan, Refusal> {
    let versions = &choice.versions;
    let candidates: Vec<_> = versions
        .iter()
        .map(|it| candidate(shared, view, it, versions.len(), params))
        .collect();
    let Some(first) = candidates.first() else {
        return Err(Refusal::not_run(Reason::UnknownName));
    };
    if shared.ports.rating.is_none() {
        return Ok(unrated_plan(first));
    }
    let request = cascade::Request {
        organisation: &organisation.organisation,
        class: params.class,
        deadline: params.time_left,
        rating_timeout: ratings::TIMEOUT,
        // The price of a rating is unknown. It would only matter for plans whose costs differ by about that
        // price.
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
        // Every answer of a version in a roll-out trial is rated.
        step.rating_mode = RatingMode::AfterDelivery;
    }
    Ok(plan)
}

fn candidate<'a>(
    shared: &Shared,
    view: &View,
    version: &'a Version,
    candidates: usize,
    params: &RequestParams,
) -> cascade::Candidate<'a> {
    let pool = shared.upstreams.pool(view, &version.pool);
    let output = pool.map_or(0, |it| it.expected_output(params.class, params.max_tokens));
    let latency = match candidates {
        // With a single candidate, the pool's admission decides whether the deadline can be met and sets the
        // retry delay.
        1 => Duration::ZERO,
        _ => shared.latencies.pessimistic(&version.name),
    };
    cascade::Candidate {
        version,
        cost: cost(version, params.prompt_tokens, output),
        latency,
    }
}

/// Plan without a rating service: only the first candidate, unrated.
fn unrated_plan(candidate: &cascade::Candidate<'_>) -> Plan {
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
