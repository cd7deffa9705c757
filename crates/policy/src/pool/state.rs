//! State of a pool and its transitions.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use model::{Class, Domain, Upstream};
use rand::Rng;

use super::call::{AttemptState, Call, Phase, Progress};
use super::engines::Engines;
use super::event::{Action, Attempt, AttemptKind, Cause, Host, Outcome, Request, Ticket};
use super::settings::Settings;
use super::status::{EngineStatus, Status};
use crate::admission::Queue;
use crate::affinity::{self, Slot};
use crate::estimate::{Estimate, Rate};
use crate::id_map::IdMap;
use crate::limit::Load;
use crate::retry::{HedgeDelay, RetryBudget};

mod admit;
mod attempt;

use admit::cost;

/// Maximum number of prefixes that are added to the index at the next tick; further ones are added only by
/// cache events.
const MAX_PENDING_PREFIXES: usize = 1_024;

/// Fraction of engines reserved for urgent requests, relative to the fraction of the dispatched cost of these
/// requests.
const RESERVED_SHARE_FACTOR: f64 = 2.0;

/// Maximum fraction of reserved engines.
const MAX_RESERVED_SHARE: f64 = 0.3;

/// Minimum number of tokens of an answer for recording its time per token; shorter answers give too noisy
/// samples.
const MIN_TIMED_TOKENS: model::Tokens = 8;

/// Engines that may have capacity for the head of the queue. Under full load a completion frees capacity at
/// one engine, and scanning all the others would take most of the time of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CapacityHint {
    /// Any engine may have capacity.
    Unknown,
    /// No engine has capacity.
    None,
    /// Only this engine may have capacity.
    Only(Slot),
}

impl CapacityHint {
    fn freed(&mut self, slot: Slot) {
        *self = match *self {
            Self::None => Self::Only(slot),
            Self::Only(known) if known == slot => Self::Only(slot),
            Self::Only(_) | Self::Unknown => Self::Unknown,
        };
    }
}

#[derive(Debug)]
pub(super) struct State {
    settings: Settings,
    engines: Engines,
    queue: Queue,
    calls: IdMap<Call>,
    waiting: VecDeque<Ticket>,
    timers: BTreeSet<(Duration, Ticket)>,
    budget: RetryBudget,
    hedge: HedgeDelay,
    /// Seconds per unit of cost for each class.
    service_times: [Estimate; 4],
    /// Seconds per unit of cost over all classes.
    overall_service_time: Estimate,
    dispatched: [Rate; 4],
    capacity_hint: CapacityHint,
    /// Requests whose prefixes will be added to the index at the next tick, with their engines.
    pending_prefixes: Vec<(Slot, Ticket)>,
    /// Sum of the concurrency limits of the healthy engines.
    total_limit: f64,
}

impl State {
    pub fn new(settings: Settings, domain: Domain) -> Self {
        Self {
            engines: Engines::new(&settings, domain),
            queue: Queue::new(settings.queue.clone()),
            calls: IdMap::default(),
            waiting: VecDeque::new(),
            timers: BTreeSet::new(),
            budget: RetryBudget::new(settings.retry_fraction),
            hedge: HedgeDelay::new(),
            service_times: Default::default(),
            overall_service_time: Estimate::default(),
            dispatched: Default::default(),
            capacity_hint: CapacityHint::Unknown,
            total_limit: 0.0,
            pending_prefixes: Vec::new(),
            settings,
        }
    }

    pub fn submit(&mut self, request: Request, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if self.calls.contains_key(&request.ticket) {
            return;
        }
        let cost = self.cost_of(&request);
        let flow = self.queue.flow_id(request.class, &request.organisation);
        match self.admit(&request, cost, flow, now, rng) {
            Ok(expires_at) => {
                let call = Call::new(request, cost, flow);
                if self.queue.is_empty() && self.waiting.is_empty() {
                    self.send_or_enqueue(call, expires_at, now, rng, out);
                    return;
                }
                self.enqueue(call, expires_at, now, rng, out);
            }
            Err(refusal) => out.push(Action::Refuse {
                ticket: request.ticket,
                refusal,
            }),
        }
        self.dispatch(now, rng, out);
    }

    pub fn attempt_started(
        &mut self,
        attempt: Attempt,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        let class = call.request.class;
        let Some(it) = call.unfinished(attempt.number) else {
            return;
        };
        if it.progress != Progress::Sent {
            return;
        }
        it.progress = Progress::Started;
        it.started = now;
        let (slot, sent, kind) = (it.slot, it.sent, it.kind);
        let latency = now.saturating_sub(sent);
        call.winner = Some(attempt.number);
        call.may_have_run = true;
        let competitors: Vec<u16> = call.unfinished_numbers();
        self.engines.record_first_token(slot, class, latency, now);
        if kind == AttemptKind::First {
            self.hedge.add(class, latency);
        }
        for number in competitors.into_iter().filter(|it| *it != attempt.number) {
            self.cancel_attempt(attempt.ticket, number, now, out);
        }
        self.dispatch(now, rng, out);
    }

    pub fn attempt_ended(
        &mut self,
        attempt: Attempt,
        outcome: Outcome,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        let class = call.request.class;
        let Some(it) = call.unfinished(attempt.number) else {
            return;
        };
        let answered_at_once = it.progress == Progress::Sent && it.kind == AttemptKind::First;
        it.progress = Progress::Ended;
        let (slot, sent, started) = (it.slot, it.sent, it.started);
        self.engines.get_mut(slot).limit.request_ended(now);
        self.capacity_hint.freed(slot);
        match outcome {
            Outcome::Done(usage) => {
                if answered_at_once {
                    // A plain service answers with a single message, so there was no report of a first token.
                    let latency = now.saturating_sub(sent);
                    self.engines.record_first_token(slot, class, latency, now);
                    self.hedge.add(class, latency);
                }
                if usage.output >= MIN_TIMED_TOKENS && started > sent {
                    let time = now.saturating_sub(started) / usage.output;
                    self.engines.record_token_time(slot, time, now);
                }
                let actual = cost(
                    &self.settings,
                    usage.input.saturating_sub(usage.cached),
                    usage.output,
                );
                self.finish(attempt, slot, actual, now.saturating_sub(sent), now, out);
            }
            outcome => self.fail(attempt, slot, &outcome, now, out),
        }
        self.dispatch(now, rng, out);
    }

    pub fn cancel(&mut self, ticket: Ticket, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        self.queue.remove(ticket);
        self.remove_call(ticket, now, out);
        self.capacity_hint = CapacityHint::Unknown;
        self.dispatch(now, rng, out);
    }

    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        self.index_pending_prefixes();
        // Ejections may have ended since the last tick.
        self.refresh_capacity(now);
        self.expire(now, rng, out);
        while let Some((at, ticket)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.on_timer(ticket, now, rng, out);
        }
        self.dispatch(now, rng, out);
    }

    pub fn next_wake(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|it| it.0);
        self.queue.next_expiry().into_iter().chain(timer).min()
    }

    pub fn report_load(
        &mut self,
        upstream: &Upstream,
        load: Load,
        age: Duration,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let nodes_per_engine = self.engines.nodes_per_engine;
        if let Some(slot) = self.engines.slot(upstream) {
            self.engines
                .get_mut(slot)
                .limit
                .apply_report(load, age, nodes_per_engine, now);
            self.refresh_capacity(now);
            self.dispatch(now, rng, out);
        }
    }

    pub fn apply_cache_events(&mut self, upstream: &Upstream, events: &[affinity::Event]) {
        if let Some(slot) = self.engines.slot(upstream) {
            self.engines.index.apply(slot, events);
        }
    }

    pub fn update_hosts(
        &mut self,
        hosts: &[&Host],
        nodes_per_engine: f64,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        self.engines.update_hosts(hosts, nodes_per_engine, now);
        self.refresh_capacity(now);
        self.dispatch(now, rng, out);
    }

    pub fn mark_leaving(&mut self, upstream: &Upstream, now: Duration) {
        if let Some(slot) = self.engines.slot(upstream) {
            self.engines.mark_leaving(slot, now);
        }
    }

    pub fn status(&self, now: Duration) -> Status {
        let (first_attempts, extra_attempts) = self.budget.counts();
        let engine = |slot: Slot| {
            let it = self.engines.get(slot);
            EngineStatus {
                name: it.name.clone(),
                limit: it.limit.get(),
                inflight: it.limit.inflight(),
                health: it.outlier.health(now),
            }
        };
        Status {
            queued: Class::ALL.map(|it| self.queue.class_len(it)),
            open: self.calls.len(),
            first_attempts,
            extra_attempts,
            engines: self.engines.live().map(engine).collect(),
        }
    }

    /// Recomputes what depends on the limits and health of the engines after they may have changed.
    fn refresh_capacity(&mut self, now: Duration) {
        self.capacity_hint = CapacityHint::Unknown;
        self.total_limit = self.engines.total_limit(now);
        let rates = self.dispatched.map(|it| it.per_second(now));
        let urgent = rates[Class::Interactive.index()] + rates[Class::Transaction.index()];
        let share = urgent / rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        self.engines
            .reserve((share * RESERVED_SHARE_FACTOR).min(MAX_RESERVED_SHARE), now);
    }
}
