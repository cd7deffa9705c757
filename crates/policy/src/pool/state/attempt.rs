//! Attempts: dispatch, hedges, retries and ends.

use std::time::Duration;

use model::refusal::Reason;
use model::{Class, Ran, Refusal};
use rand::Rng;

use super::{Action, Attempt, Cause, Kind, MOST_UNNOTED, Outcome, Phase, Progress, Room, State, Ticket, Try};
use crate::affinity::Slot;
use crate::fault::{Fault, fault};
use crate::retry::{Proof, may_resend};

impl State {
    pub(super) fn dispatch(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        self.expire(now, rng, out);
        if self.room == Room::None {
            return;
        }
        // Each waiting request has tried other engines, so one that finds no place must not hold up the next.
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|ticket| {
            let Some(call) = self.calls.get(ticket) else {
                return false;
            };
            let Some(slot) = self.engines.choose(call, now, rng) else {
                return true;
            };
            self.send(*ticket, slot, Kind::Retry, now, out);
            false
        });
        self.waiting = waiting;
        while let Some(entry) = self.queue.peek() {
            let ticket = entry.ticket;
            let Some(call) = self.calls.get(&ticket) else {
                break;
            };
            let chosen = match self.room {
                Room::None => None,
                Room::Only(slot) => self.engines.takes(slot, call, now).then_some(slot),
                Room::Unknown => self.engines.choose(call, now, rng),
            };
            let Some(slot) = chosen else {
                self.room = Room::None;
                break;
            };
            let (class, cost) = (call.request.class, call.cost);
            self.queue.pop();
            self.first(ticket, slot, class, cost, now, out);
        }
    }

    /// Makes the first attempt of a request.
    pub(super) fn first(
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
        self.send(ticket, slot, Kind::First, now, out);
    }

    fn send(&mut self, ticket: Ticket, slot: Slot, kind: Kind, now: Duration, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        let attempt = call.attempt(call.tries.len() as u16);
        call.phase = Phase::Running;
        call.tries.push(Try {
            slot,
            sent: now,
            started: now,
            progress: Progress::Sent,
            kind,
        });
        if kind == Kind::First
            && let Some(delay) = self.hedge.delay(call.request.class, call.request.repeat)
        {
            self.timers.insert((now + delay, ticket));
        }
        let engine = self.engines.get_mut(slot);
        engine.limit.sent(now);
        out.push(Action::Send {
            attempt,
            upstream: engine.name.clone(),
            kind,
        });
        if !call.request.blocks.is_empty() && self.unnoted.len() < MOST_UNNOTED {
            self.unnoted.push((slot, ticket));
        }
    }

    /// Notes in the index which prefixes the engines are about to hold. Done in ticks, because the entries of a long
    /// prompt took half of the time of a dispatch.
    pub(super) fn note_prefixes(&mut self) {
        for (slot, ticket) in self.unnoted.drain(..) {
            if let Some(call) = self.calls.get(&ticket) {
                self.engines.index.expect(slot, &call.request.blocks);
            }
        }
    }

    /// Hedges a request without an answer, or gives up one that waits for a further attempt.
    pub(super) fn fire(&mut self, ticket: Ticket, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        if call.phase == Phase::Waiting && call.request.deadline <= now {
            self.budget.refund();
            self.waiting.retain(|it| *it != ticket);
            self.refuse(ticket, Reason::DeadlineExceeded, now, out);
            return;
        }
        let unanswered = call.phase == Phase::Running && call.winner.is_none() && call.tries.len() == 1;
        if !unanswered {
            return;
        }
        let Some(slot) = self.engines.choose(call, now, rng) else {
            return;
        };
        if self.budget.spend() {
            self.send(ticket, slot, Kind::Hedge, now, out);
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
        self.engines.get_mut(slot).outlier.succeeded();
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        let class = call.request.class;
        let seconds = took.as_secs_f64() / call.cost as f64;
        self.service[class.index()].add(seconds);
        self.place.add(seconds);
        self.queue.correct(class, call.flow, call.cost, actual);
        out.push(Action::Finish { attempt });
        if fault(Fault::FinishTwice) {
            out.push(Action::Finish { attempt });
        }
        self.end(attempt.ticket, now, out);
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
            Outcome::NotStarted(Cause::Leaving) => self.engines.leaving(slot, now),
            _ => self.engines.failed(slot, now),
        }
        let proof = outcome.proof();
        let Some(call) = self.calls.get_mut(&attempt.ticket) else {
            return;
        };
        call.may_have_run |= proof == Proof::None;
        let proof = if call.may_have_run { Proof::None } else { proof };
        if call.winner == Some(attempt.number) {
            call.winner = None;
        }
        if !call.live_numbers().is_empty() {
            return;
        }
        let reason = match outcome {
            Outcome::Silent => Reason::UpstreamSilent,
            Outcome::NotStarted(Cause::Busy) if !call.may_have_run => Reason::Overloaded,
            Outcome::NotStarted(Cause::Connect | Cause::Leaving) if !call.may_have_run => Reason::NoUpstream,
            _ => Reason::UpstreamFailed,
        };
        // A request that every engine has had would wait in vain until its deadline.
        let resend = may_resend(call.request.repeat, proof)
            && call.tries.len() < usize::from(self.settings.attempts)
            && self.engines.any_untried(call);
        if !resend || call.request.deadline <= now {
            self.refuse(attempt.ticket, reason, now, out);
        } else if self.budget.spend() {
            call.phase = Phase::Waiting;
            self.timers.insert((call.request.deadline, attempt.ticket));
            self.waiting.push_back(attempt.ticket);
        } else {
            self.refuse(attempt.ticket, Reason::RetryBudget, now, out);
        }
    }

    /// Cancels an attempt that lost to another one.
    pub(super) fn abandon(&mut self, ticket: Ticket, number: u16, now: Duration, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        let attempt = call.attempt(number);
        let Some(it) = call.live(number) else { return };
        it.progress = Progress::Ended;
        let (slot, kind) = (it.slot, it.kind);
        // Nothing proves that the cancelled attempt did not start.
        call.may_have_run = true;
        let engine = self.engines.get_mut(slot);
        engine.limit.ended(now);
        self.room.freed(slot);
        out.push(Action::Cancel {
            attempt,
            upstream: engine.name.clone(),
        });
        if kind != Kind::Hedge {
            self.engines.failed(slot, now);
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason, now: Duration, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let ran = if call.may_have_run && !fault(Fault::AlwaysNotRun) {
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
        self.end(ticket, now, out);
    }

    /// Forgets a request and cancels what it still has in flight.
    pub(super) fn end(&mut self, ticket: Ticket, now: Duration, out: &mut Vec<Action>) {
        let Some(mut call) = self.calls.remove(&ticket) else {
            return;
        };
        for number in call.live_numbers() {
            let attempt = call.attempt(number);
            let Some(it) = call.live(number) else { continue };
            let slot = it.slot;
            let engine = self.engines.get_mut(slot);
            engine.limit.ended(now);
            self.room.freed(slot);
            out.push(Action::Cancel {
                attempt,
                upstream: engine.name.clone(),
            });
        }
    }
}
