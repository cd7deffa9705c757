//! The threads of billing.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ledger::BILLING_STREAM;
use ledger::billing::AppendOutcome;

use super::{Action, Biller, Job, Side, actions};
use crate::phase::Phase;
use crate::shared::Shared;

/// Longest sleep; the stop of the node is noticed within this time.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Shortest sleep, so that a state machine that is due at once does not keep a core busy.
const SHORTEST_SLEEP: Duration = Duration::from_micros(200);

/// Polls the state machines until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    while shared.phase.get() < Phase::Stopped {
        let due = poll(shared);
        actions::carry_out(shared, due);
        sleep(&shared.biller, shared.now());
    }
}

/// Appends payloads to the log until the node stops.
pub(crate) fn append(shared: &Arc<Shared>) {
    while shared.phase.get() < Phase::Stopped {
        let Ok(job) = shared.biller.jobs.1.recv_timeout(LONGEST_SLEEP) else {
            continue;
        };
        if shared.killed.load(Ordering::SeqCst) {
            return;
        }
        append_one(shared, job);
    }
}

fn append_one(shared: &Arc<Shared>, job: Job) {
    let result = shared.ports.log.append(BILLING_STREAM, &[job.payload]);
    let outcome = match result {
        Ok(_) => AppendOutcome::Confirmed,
        Err(_) => {
            shared.metrics.billing_append_failures.inc();
            AppendOutcome::Unconfirmed
        }
    };
    if job.side == Side::Held {
        shared.metrics.peers.takeover_appends.inc();
    }
    let now = shared.now();
    let mut state = shared.biller.lock();
    let due = match job.side {
        Side::Origin => state.origin.append_finished(job.number, outcome, now),
        Side::Held => state.held.append_finished(job.number, outcome, now),
    };
    shared.biller.report(state);
    actions::carry_out(shared, tagged(due, job.side));
}

fn poll(shared: &Shared) -> Vec<(Side, Action)> {
    let now = shared.now();
    let mut state = shared.biller.lock();
    state.is_due = false;
    let mut due = tagged(state.origin.poll(now), Side::Origin);
    due.extend(state.held.poll(now).map(|it| (Side::Held, it)));
    due
}

fn tagged(due: Vec<Action>, side: Side) -> Vec<(Side, Action)> {
    due.into_iter().map(|it| (side, it)).collect()
}

fn sleep(biller: &Biller, now: Duration) {
    let state = biller.lock();
    if state.is_due {
        return;
    }
    let wakeups = [state.origin.wakeup(now), state.held.wakeup()];
    let next = wakeups.into_iter().flatten().min();
    let time = next.map_or(LONGEST_SLEEP, |it| it.saturating_sub(now));
    let time = time.clamp(SHORTEST_SLEEP, LONGEST_SLEEP);
    // A spurious wake-up only polls early.
    drop(biller.changed.wait_timeout(state, time));
}
