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

/// Greatest number of prefixes that wait for the next tick; later ones are left to the cache events.
const MOST_UNNOTED: usize = 1_024;

/// Share of engines reserved for urgent requests, relative to these requests' share of the dispatched cost.
const RESERVE: f64 = 2.0;

/// Greatest share of reserved engines.
const MOST_RESERVED: f64 = 0.3;

/// Tokens of an answer from which its time for each token is compared; shorter ones are too noisy.
const LEAST_TOKENS: model::Tokens = 8;

/// Which engines may have room for the head of the queue. Under full load an end makes room at one engine, and the
/// search of all others would take most of the time of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    /// Any engine may.
    Unknown,
    /// No engine has.
    None,
    /// At most this engine has.
    Only(Slot),
}

impl Room {
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
    budget: Budget,
    hedge: Hedge,
    /// Seconds for each unit of cost, by class.
    service: [Estimate; 4],
    /// Seconds for each unit of cost over all classes.
    place: Estimate,
    dispatched: [Rate; 4],
    room: Room,
    /// Requests whose prefixes are still to be noted in the index, with their engines.
    unnoted: Vec<(Slot, Ticket)>,
    /// Sum of the limits of the engines that take work.
    places: f64,
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
            room: Room::Unknown,
            places: 0.0,
            unnoted: Vec::new(),
            settings,
        }
    }

    pub fn submit(&mut self, request: Request, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if self.calls.contains_key(&request.ticket) {
            return;
        }
        let cost = self.cost_of(&request);
        let flow = self.queue.account(request.class, &request.organisation);
        match self.admit(&request, cost, flow, now, rng) {
            Ok(give_up) => {
                let call = Call::new(request, cost, flow);
                if self.queue.is_empty() && self.waiting.is_empty() {
                    self.pass_or_enqueue(call, give_up, now, rng, out);
                    return;
                }
                self.enqueue(call, give_up, now, rng, out);
            }
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
        it.started = now;
        let (slot, sent, kind) = (it.slot, it.sent, it.kind);
        let latency = now.saturating_sub(sent);
        call.winner = Some(attempt.number);
        call.may_have_run = true;
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
        let class = call.request.class;
        let Some(it) = call.live(attempt.number) else {
            return;
        };
        let answered_at_once = it.progress == Progress::Sent && it.kind == Kind::First;
        it.progress = Progress::Ended;
        let (slot, sent, started) = (it.slot, it.sent, it.started);
        self.engines.get_mut(slot).limit.ended(now);
        self.room.freed(slot);
        match outcome {
            Outcome::Done(usage) => {
                if answered_at_once {
                    // A plain service answers with one message.
                    let latency = now.saturating_sub(sent);
                    self.engines.first_token(slot, class, latency, now);
                    self.hedge.add(class, latency);
                }
                if usage.output >= LEAST_TOKENS && started > sent {
                    let time = now.saturating_sub(started) / usage.output;
                    self.engines.token_time(slot, time, now);
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
        self.end(ticket, now, out);
        self.room = Room::Unknown;
        self.dispatch(now, rng, out);
    }

    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        self.note_prefixes();
        // Ejections end as time passes.
        self.recount(now);
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
            self.recount(now);
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
        self.recount(now);
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

    /// Takes into account that the engines' limits or standings may have changed.
    fn recount(&mut self, now: Duration) {
        self.room = Room::Unknown;
        self.places = self.engines.places(now);
        let rates = self.dispatched.map(|it| it.per_second(now));
        let urgent = rates[Class::Interactive.index()] + rates[Class::Transaction.index()];
        let share = urgent / rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        self.engines.reserve((share * RESERVE).min(MOST_RESERVED), now);
    }
}
