//! Applies the decisions about the model of a request, and records what they are based on.

use std::time::Duration;

use forward::BootTime;
use forward::adequacy::Adequacy;
use forward::answer_value::{self, AnswerValue, Tokens};
use forward::configuration::Route;
use forward::escalation::{self, Answer, Candidate, Confidence};
use forward::first_byte;
use forward::retry_budget::RetryReason;
use model::Name;

use crate::attempt::EngineResponse;
use crate::clock;
use crate::request::RequestContext;
use crate::selection;
use crate::shared::{Shared, lock};

/// Share of the requests that start on the smallest model although another one is expected to be better: its
/// confidence in them is what the estimates of all models are based on.
const EXPLORATION_SHARE: f64 = 0.05;

/// Time to the first byte that is assumed until a model of the route has answered.
const DEFAULT_FIRST_BYTE: Duration = Duration::from_millis(200);

/// Tokens assumed for requests that do not state them.
const DEFAULT_TOKENS: Tokens = (1000, 100);

/// What a node has learned about the models of one route.
#[derive(Debug)]
pub(crate) struct RouteModels {
    models: Vec<Name>,
    adequacy: Adequacy,
    value: AnswerValue,
}

impl RouteModels {
    pub(crate) fn new(models: &[Name]) -> Self {
        Self {
            models: models.to_vec(),
            adequacy: Adequacy::new(models.len()),
            value: AnswerValue::default(),
        }
    }

    /// Whether this is about a route's models.
    pub(crate) fn is_of(&self, models: &[Name]) -> bool {
        self.models == models
    }

    /// Forgets everything if the route has other models than before.
    pub(crate) fn follow(&mut self, models: &[Name]) {
        if !self.is_of(models) {
            *self = Self::new(models);
        }
    }
}

impl RequestContext {
    /// Chooses the model that is asked first, if the caller leaves the choice to the node.
    pub(crate) fn choose_model(&mut self) {
        if self.model.is_none() {
            return;
        }
        let tokens = self.tokens();
        let value = self.shared.with_route_models(&self.route, |it| {
            it.value.record(tokens);
            it.value.of(tokens)
        });
        if rand::random_bool(EXPLORATION_SHARE) {
            return;
        }
        let candidates = self.candidates(value, clock::now());
        let first = self.shared.with_route_models(&self.route, |it| {
            escalation::first_model(&it.adequacy, &candidates)
        });
        self.model = self.route.models.get(first).cloned();
    }

    /// Whether to drop the response in favour of another model; prepares the next attempt if so.
    pub(crate) async fn try_escalate(&mut self, engine_response: &EngineResponse) -> bool {
        let now = clock::now();
        let own = self.model.as_ref();
        let model = self.route.models.iter().position(|it| Some(it) == own);
        let (Some(model), Some(confidence)) = (model, engine_response.metadata.confidence) else {
            return false;
        };
        let value = self.record_confidence(model, confidence);
        if !self.may_run_again(now) || !selection::has_open(self, &[]) {
            return false;
        }
        let answer = Answer {
            model,
            confidence,
            is_timely: now.saturating_sub(self.arrived) <= self.route.latency_goal,
        };
        let candidates = self.candidates(value, now);
        let next = self.shared.with_route_models(&self.route, |it| {
            escalation::decide(&it.adequacy, answer, &candidates)
        });
        let Some(next) = next else {
            return false;
        };
        if !self.reserve_or_ask(RetryReason::Quality).await {
            return false;
        }
        let (name, candidate) = (self.route.models[next].clone(), candidates[next]);
        log::info!(
            id = self.id, confidence, model = *name, price = candidate.price, timely = candidate.timely;
            "answer dropped for a larger model"
        );
        self.shared
            .metrics
            .retries
            .get_or_create(&[("reason", "escalated")])
            .inc();
        self.dropped_answer = Some((model, confidence));
        self.model = Some(name);
        self.tried.clear();
        true
    }

    /// Records the confidence of an answer; returns the value of an adequate one.
    fn record_confidence(&self, model: usize, confidence: Confidence) -> f64 {
        let (dropped, tokens) = (self.dropped_answer, self.tokens());
        self.shared.with_route_models(&self.route, |it| {
            match dropped {
                Some(before) => it.adequacy.record_escalation(before, (model, confidence)),
                None if model == 0 => it.adequacy.record_smallest(confidence),
                None => {}
            }
            it.value.of(tokens)
        })
    }

    fn tokens(&self) -> Tokens {
        self.metadata.tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Price, relative to the value of an adequate answer, and timeliness of each model of the route.
    fn candidates(&self, value: f64, now: BootTime) -> Vec<Candidate> {
        let waited = now.saturating_sub(self.arrived);
        candidates(
            &self.shared,
            &self.route,
            &self.service,
            self.tokens(),
            value,
            waited,
            now,
        )
    }
}

/// Like [`RequestContext::candidates`], for a request that has waited for a time.
fn candidates(
    shared: &Shared,
    route: &Route,
    service: &Name,
    tokens: Tokens,
    value: f64,
    waited: Duration,
    now: BootTime,
) -> Vec<Candidate> {
    let remaining = route.latency_goal.saturating_sub(waited);
    let price_factor = shared.price_factor(service, now) / value;
    let configuration = lock(&shared.configuration).value().cloned();
    let service = configuration.as_ref().and_then(|it| it.service(service));
    let cost = |model| service.and_then(|it| it.model_costs.get(model)).copied();
    let first_byte_times = lock(&shared.first_byte_times);
    let expected = |model| first_byte_times.expected(&route.name, Some(model), tokens.0);
    let smallest = route.models.first().and_then(expected);
    let models = route.models.iter().map(|model| {
        let expected = expected(model).or(smallest).unwrap_or(DEFAULT_FIRST_BYTE);
        Candidate {
            price: price_factor * answer_value::price(cost(model).unwrap_or_default(), tokens),
            timely: first_byte::timely(expected, remaining),
        }
    });
    models.collect()
}

/// The model that a new request is sent to first unless it is explored, and what that follows from. Records nothing.
pub(crate) fn first_model(
    shared: &Shared,
    route: &Route,
    service: &Name,
    tokens: Option<Tokens>,
    now: BootTime,
) -> (usize, Vec<Candidate>) {
    let tokens = tokens.unwrap_or(DEFAULT_TOKENS);
    let value = shared.read_route_models(route, |it| it.value.of(tokens));
    let candidates = candidates(shared, route, service, tokens, value, Duration::ZERO, now);
    let first = shared.read_route_models(route, |it| escalation::first_model(&it.adequacy, &candidates));
    (first, candidates)
}
