//! Admission of new requests and expiry of queued ones.

use std::time::Duration;

use model::refusal::Reason;
use model::{Class, Refusal};
use rand::Rng;

use super::{Action, Call, Request, State};
use crate::admission::{Entry, FlowId, PushOutcome};
use crate::fault::{Fault, is_injected};
use crate::pool::Settings;

/// Minimum number of completions before a service time estimate is used for refusals.
const MIN_SAMPLES: u64 = 10;

/// Minimum and maximum retry-after time in seconds. Shorter times only add load; longer ones exceed the
/// duration of most load peaks.
const RETRY_AFTER_S: (f64, f64) = (0.2, 30.0);

impl State {
    /// Decides whether to admit a new request. Returns the time at which it expires if it has not been sent.
    pub(super) fn admit(
        &self,
        request: &Request,
        cost: u64,
        flow: FlowId,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Result<Duration, Refusal> {
        if !self.engines.has_live() {
            return Err(Refusal::not_run(Reason::NoUpstream).retry_after(Duration::from_secs(1)));
        }
        let class = request.class;
        let service = self.service_time(class, cost);
        let longest = now + self.settings.queue.max_wait[class.index()];
        let latest = request.deadline.checked_sub(service).filter(|it| *it >= now);
        let Some(latest) = latest else {
            return Err(Refusal::not_run(Reason::DeadlineUnreachable));
        };
        let expires_at = latest.min(longest);
        let wait = self.expected_wait(request, flow, now);
        if now + wait <= expires_at {
            return Ok(expires_at);
        }
        let reason = if latest < longest {
            Reason::DeadlineUnreachable
        } else {
            Reason::Overloaded
        };
        let excess = now + wait - expires_at;
        Err(Refusal::not_run(reason).retry_after(jittered(excess, rng)))
    }

    /// Sends a request at once if an engine has capacity, and queues it otherwise.
    pub(super) fn send_or_enqueue(
        &mut self,
        call: Call,
        expires_at: Duration,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.engines.choose(&call, now, rng) else {
            self.enqueue(call, expires_at, now, rng, out);
            return;
        };
        let (ticket, class, cost) = (call.request.ticket, call.request.class, call.cost);
        self.queue
            .charge_unqueued(class, call.flow, call.request.weight, cost);
        self.calls.insert(ticket, call);
        self.send_first(ticket, slot, class, cost, now, out);
    }

    pub(super) fn enqueue(
        &mut self,
        call: Call,
        expires_at: Duration,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let ticket = call.request.ticket;
        let entry = Entry {
            ticket,
            class: call.request.class,
            flow: call.flow,
            weight: call.request.weight,
            cost: call.cost,
            expires_at,
        };
        let refused = match self.queue.push(entry) {
            PushOutcome::Queued => None,
            PushOutcome::Replaced(other) => Some(other),
            PushOutcome::Full => Some(ticket),
        };
        let wait = refused.map(|_| self.expected_wait(&call.request, call.flow, now));
        self.calls.insert(ticket, call);
        if let (Some(refused), Some(wait)) = (refused, wait) {
            self.calls.remove(&refused);
            out.push(Action::Refuse {
                ticket: refused,
                refusal: Refusal::not_run(Reason::Overloaded).retry_after(jittered(wait, rng)),
            });
        }
    }

    /// Refuses queued requests that can no longer be answered in time.
    pub(super) fn expire(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        while let Some(entry) = self.queue.expire(now) {
            let Some(call) = self.calls.remove(&entry.ticket) else {
                continue;
            };
            if is_injected(Fault::SilentExpiry) {
                continue;
            }
            let wait = self.expected_wait(&call.request, call.flow, now);
            let refusal = Refusal::not_run(Reason::DeadlineUnreachable).retry_after(jittered(wait, rng));
            out.push(Action::Refuse {
                ticket: entry.ticket,
                refusal,
            });
        }
    }

    pub(super) fn cost_of(&self, request: &Request) -> u64 {
        let cached = match request.blocks.is_empty() {
            true => 0,
            false => self.engines.index.longest_prefix(&request.blocks).0 as u32 * self.settings.block_tokens,
        };
        cost(
            &self.settings,
            request.prompt.saturating_sub(cached),
            request.output,
        )
    }

    pub(super) fn service_time(&self, class: Class, cost: u64) -> Duration {
        let estimate = &self.service_times[class.index()];
        if estimate.samples() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(estimate.pessimistic() * cost as f64)
    }

    /// Expected queueing time of a new request, from the queued cost ahead of it and the rate at which
    /// engines complete work.
    pub(super) fn expected_wait(&self, request: &Request, flow: FlowId, now: Duration) -> Duration {
        if self.queue.is_empty() || self.overall_service_time.samples() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let ahead = self.queue.cost_ahead(request.class, flow, request.weight);
        let rate = self.total_limit / self.overall_service_time.mean();
        let dispatched = self.dispatched.map(|it| it.per_second(now));
        let rate = self.queue.class_rate(request.class, rate, dispatched).max(1e-3);
        Duration::from_secs_f64((ahead / rate).min(3600.0))
    }
}

pub(super) fn cost(settings: &Settings, prompt: u32, output: u32) -> u64 {
    let prompt = f64::from(prompt) * settings.prompt_weight;
    (prompt.round() as u64 + u64::from(output)).max(1)
}

/// Adds jitter, so that callers refused at the same time do not retry at the same time.
fn jittered(after: Duration, rng: &mut impl Rng) -> Duration {
    let (min, max) = RETRY_AFTER_S;
    let seconds = after.as_secs_f64().clamp(min, max);
    Duration::from_secs_f64(seconds * rng.random_range(1.0..1.5))
}
