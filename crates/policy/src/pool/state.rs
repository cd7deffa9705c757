//! State of a pool and its transitions.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use model::{Class, Domain, Upstream};
use rand::Rng;

use super::call::{Call, Phase, Progress, Try};
use super::engines::Engines;
use super::event::{Action, Attempt, Cause, Host, Kind, Outcome, Request, Ticket};
use super::settings::Settings;
use super::status::{EngineStatus, Status};
use crate::admission::Queue;
use crate::affinity::{self, Slot};
use crate::estimate::{Estimate, Rate};
use crate::id_map::IdMap;
use crate::limit::Load;
use crate::retry::{Budget, Hedge};

mod admit;
mod attempt;

use admit::cost;

#[derive(Debug)]
pub(super) struct State {
    settings: Settings,
    engines: Engines,
    queue: Queue,
    calls: IdMap<Call>,
    waiting: VecDeque<Ticket>,
    timers: BTreeSet<(Duration, Ticket)>,
    budget: Budget,
    hedge: Hedge,
    /// Seconds for each unit of cost, by class.
    service: [Estimate; 4],
    /// Seconds for each unit of cost over all classes.
    place: Estimate,
    dispatched: [Rate; 4],
    /// Whether no engine had room for the head of the queue; cleared by every event that may make room.
    full: bool,
}

impl State {
    pub fn new(settings: Settings, domain: Domain) -> Self {
        Self {
            engines: Engines::new(&settings, domain),
            queue: Queue::new(settings.queue.clone()),
            calls: IdMap::default(),
            waiting: VecDeque::new(),
            timers: BTreeSet::new(),
            budget: Budget::new(settings.retry_fraction),
            hedge: Hedge::new(),
            service: Default::default(),
            place: Estimate::default(),
            dispatched: Default::default(),
            full: false,
            settings,
        }
    }

    pub fn submit(&mut self, request: Request, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if self.calls.contains_key(&request.ticket) {
            return;
        }
        let cost = self.cost_of(&request);
        match self.admit(&request, cost, now, rng) {
            Ok(give_up) if self.queue.is_empty() && self.waiting.is_empty() => {
                self.pass_or_enqueue(request, cost, give_up, now, rng, out);
                return;
            }
            Ok(give_up) => self.enqueue(request, cost, give_up, now, rng, out),
            Err(refusal) => out.push(Action::Refuse {
                ticket: request.ticket,
                refusal,
            }),
        }
        self.dispatch(now, rng, out);
    }

    pub fn started(&mut self, attempt: Attempt, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        let class = call.request.class;
        let Some(it) = call.live(attempt.number) else {
            return;
        };
        if it.progress != Progress::Sent {
            return;
        }
        it.progress = Progress::Started;
        let (slot, sent, kind) = (it.slot, it.sent, it.kind);
        let latency = now.saturating_sub(sent);
        call.winner = Some(attempt.number);
        let rivals: Vec<u16> = call.live_numbers();
        self.engines.first_token(slot, class, latency, now);
        if kind == Kind::First {
            self.hedge.add(class, latency);
        }
        for rival in rivals.into_iter().filter(|it| *it != attempt.number) {
            self.abandon(attempt.ticket, rival, now, out);
        }
        self.dispatch(now, rng, out);
    }

    pub fn ended(
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
        let Some(it) = call.live(attempt.number) else {
            return;
        };
        it.progress = Progress::Ended;
        let (slot, sent) = (it.slot, it.sent);
        self.engines.get_mut(slot).limit.ended(now);
        self.full = false;
        match outcome {
            Outcome::Done(usage) => {
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
        self.end(ticket, now, out);
        self.full = false;
        self.dispatch(now, rng, out);
    }

    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        // Ejections end as time passes.
        self.full = false;
        self.expire(now, rng, out);
        while let Some((at, ticket)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.fire(ticket, now, rng, out);
        }
        self.dispatch(now, rng, out);
    }

    pub fn next_wake(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|it| it.0);
        self.queue.next_expiry().into_iter().chain(timer).min()
    }

    pub fn report(
        &mut self,
        upstream: &Upstream,
        load: Load,
        age: Duration,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let sharers = self.engines.sharers;
        if let Some(slot) = self.engines.slot(upstream) {
            self.engines.get_mut(slot).limit.report(load, age, sharers, now);
            self.full = false;
            self.dispatch(now, rng, out);
        }
    }

    pub fn cache_events(&mut self, upstream: &Upstream, events: &[affinity::Event]) {
        if let Some(slot) = self.engines.slot(upstream) {
            self.engines.index.apply(slot, events);
        }
    }

    pub fn hosts(
        &mut self,
        hosts: &[&Host],
        sharers: f64,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        self.engines.replace(hosts, sharers, now);
        self.full = false;
        self.dispatch(now, rng, out);
    }

    pub fn leaving(&mut self, upstream: &Upstream, now: Duration) {
        if let Some(slot) = self.engines.slot(upstream) {
            self.engines.leaving(slot, now);
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
                standing: it.outlier.standing(now),
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
}
