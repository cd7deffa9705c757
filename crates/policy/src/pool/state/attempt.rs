//! Attempts: dispatch, hedging, retries and completion.

use std::time::Duration;

use model::refusal::Reason;
use model::{Class, Ran, Refusal};
use rand::Rng;

use super::{
    Action, Attempt, AttemptKind, AttemptState, CapacityHint, Cause, MAX_PENDING_PREFIXES, Outcome, Phase,
    Progress, State, Ticket,
};
use crate::affinity::Slot;
use crate::fault::{Fault, is_injected};
use crate::retry::{Execution, may_resend};

impl State {
    pub(super) fn dispatch(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        self.expire(now, rng, out);
        if self.capacity_hint == CapacityHint::None {
            return;
        }
        // Each waiting request excludes the engines that it has already tried, so one without a usable engine
        // must not block the next.
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|ticket| {
            let Some(call) = self.calls.get(ticket) else {
                return false;
            };
            let Some(slot) = self.engines.choose(call, now, rng) else {
                return true;
            };
            self.send(*ticket, slot, AttemptKind::Retry, now, out);
            false
        });
        self.waiting = waiting;
        while let Some(entry) = self.queue.peek() {
            let ticket = entry.ticket;
            let Some(call) = self.calls.get(&ticket) else {
                break;
            };
            let chosen = match self.capacity_hint {
                CapacityHint::None => None,
                CapacityHint::Only(slot) => self.engines.can_accept(slot, call, now).then_some(slot),
                CapacityHint::Unknown => self.engines.choose(call, now, rng),
            };
            let Some(slot) = chosen else {
                self.capacity_hint = CapacityHint::None;
                break;
            };
            let (class, cost) = (call.request.class, call.cost);
            self.queue.pop();
            self.send_first(ticket, slot, class, cost, now, out);
        }
    }

    /// Sends the first attempt of a request.
    pub(super) fn send_first(
        &mut self,
        ticket: Ticket,
        slot: Slot,
        class: Class,
        cost: u64,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.dispatched[class.index()].add(cost as f64, now);
        self.budget.earn();
        self.send(ticket, slot, AttemptKind::First, now, out);
    }

    fn send(&mut self, ticket: Ticket, slot: Slot, kind: AttemptKind, now: Duration, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        let attempt = call.attempt_id(call.attempts.len() as u16);
        call.phase = Phase::Running;
        call.attempts.push(AttemptState {
            slot,
            sent: now,
            started: now,
            progress: Progress::Sent,
            kind,
        });
        if kind == AttemptKind::First
            && let Some(delay) = self.hedge.delay(call.request.class, call.request.repeat)
        {
            self.timers.insert((now + delay, ticket));
        }
        let engine = self.engines.get_mut(slot);
        engine.limit.request_sent(now);
        out.push(Action::Send {
            attempt,
            upstream: engine.name.clone(),
            kind,
        });
        if !call.request.blocks.is_empty() && self.pending_prefixes.len() < MAX_PENDING_PREFIXES {
            self.pending_prefixes.push((slot, ticket));
        }
    }

    /// Adds the prefixes that the engines will hold to the index. This is done at ticks, because inserting
    /// the blocks of a long prompt took half of the dispatch time.
    pub(super) fn index_pending_prefixes(&mut self) {
        for (slot, ticket) in self.pending_prefixes.drain(..) {
            if let Some(call) = self.calls.get(&ticket) {
                self.engines.index.assume_stored(slot, &call.request.blocks);
            }
        }
    }

    /// Hedges an unanswered request, or refuses one whose deadline passed while it waited for a further
    /// attempt.
    pub(super) fn on_timer(
        &mut self,
        ticket: Ticket,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        if call.phase == Phase::AwaitingRetry && call.request.deadline <= now {
            self.budget.refund();
            self.waiting.retain(|it| *it != ticket);
            self.refuse(ticket, Reason::DeadlineExceeded, now, out);
            return;
        }
        let unanswered = call.phase == Phase::Running && call.winner.is_none() && call.attempts.len() == 1;
        if !unanswered {
            return;
        }
        let Some(slot) = self.engines.choose(call, now, rng) else {
            return;
        };
        if self.budget.spend() {
            self.send(ticket, slot, AttemptKind::Hedge, now, out);
        }
    }

    pub(super) fn finish(
        &mut self,
        attempt: Attempt,
        slot: Slot,
        actual: u64,
        took: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.engines.get_mut(slot).outlier.record_success();
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        let class = call.request.class;
        let seconds = took.as_secs_f64() / call.cost as f64;
        self.service_times[class.index()].add(seconds);
        self.overall_service_time.add(seconds);
        self.queue.correct_cost(class, call.flow, call.cost, actual);
        out.push(Action::Finish { attempt });
        if is_injected(Fault::FinishTwice) {
            out.push(Action::Finish { attempt });
        }
        self.remove_call(attempt.ticket, now, out);
    }

    pub(super) fn fail(
        &mut self,
        attempt: Attempt,
        slot: Slot,
        outcome: &Outcome,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::NotStarted(Cause::Leaving) => self.engines.mark_leaving(slot, now),
            _ => self.engines.record_failure(slot, now),
        }
        let execution = outcome.execution();
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        call.may_have_run |= execution == Execution::Possible;
        let execution = if call.may_have_run {
            Execution::Possible
        } else {
            execution
        };
        if call.winner == Some(attempt.number) {
            call.winner = None;
        }
        if !call.unfinished_numbers().is_empty() {
            return;
        }
        let reason = match outcome {
            Outcome::Silent => Reason::UpstreamSilent,
            Outcome::NotStarted(Cause::Busy) if !call.may_have_run => Reason::Overloaded,
            Outcome::NotStarted(Cause::Connect | Cause::Leaving) if !call.may_have_run => Reason::NoUpstream,
            _ => Reason::UpstreamFailed,
        };
        // A request that every engine has already had would wait in vain until its deadline.
        let resend = may_resend(call.request.repeat, execution)
            && call.attempts.len() < usize::from(self.settings.max_attempts)
            && self.engines.has_untried(call);
        if !resend || call.request.deadline <= now {
            self.refuse(attempt.ticket, reason, now, out);
        } else if self.budget.spend() {
            call.phase = Phase::AwaitingRetry;
            self.timers.insert((call.request.deadline, attempt.ticket));
            self.waiting.push_back(attempt.ticket);
        } else {
            self.refuse(attempt.ticket, Reason::RetryBudget, now, out);
        }
    }

    /// Cancels an attempt when another one of the same request answered first.
    pub(super) fn cancel_attempt(
        &mut self,
        ticket: Ticket,
        number: u16,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        let attempt = call.attempt_id(number);
        let Some(it) = call.unfinished(number) else { return };
        it.progress = Progress::Ended;
        let (slot, kind) = (it.slot, it.kind);
        // A cancelled attempt is not proven not to have started.
        call.may_have_run = true;
        let engine = self.engines.get_mut(slot);
        engine.limit.request_ended(now);
        self.capacity_hint.freed(slot);
        out.push(Action::Cancel {
            attempt,
            upstream: engine.name.clone(),
        });
        if kind != AttemptKind::Hedge {
            self.engines.record_failure(slot, now);
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason, now: Duration, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let ran = if call.may_have_run && !is_injected(Fault::AlwaysNotRun) {
            Ran::Unknown
        } else {
            Ran::No
        };
        let refusal = Refusal {
            reason,
            ran,
            retry_after: (ran == Ran::No).then_some(Duration::from_secs(1)),
        };
        out.push(Action::Refuse { ticket, refusal });
        self.remove_call(ticket, now, out);
    }

    /// Removes a request and cancels its attempts in flight.
    pub(super) fn remove_call(&mut self, ticket: Ticket, now: Duration, out: &mut Vec<Action>) {
        let Some(mut call) = self.calls.remove(&ticket) else {
            return;
        };
        for number in call.unfinished_numbers() {
            let attempt = call.attempt_id(number);
            let Some(it) = call.unfinished(number) else {
                continue;
            };
            let slot = it.slot;
            let engine = self.engines.get_mut(slot);
            engine.limit.request_ended(now);
            self.capacity_hint.freed(slot);
            out.push(Action::Cancel {
                attempt,
                upstream: engine.name.clone(),
            });
        }
    }
}
