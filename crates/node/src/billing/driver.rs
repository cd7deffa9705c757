//! Threads that poll the billing state machines and append to the log.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ledger::BILLING_STREAM;
use ledger::billing::AppendOutcome;

use super::{Action, AppendJob, BillingBuffer, Role, actions};
use crate::phase::Phase;
use crate::shared::Shared;

/// Maximum sleep; bounds the time until the threads notice that the node stops.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Minimum sleep, so that a state machine that is always due does not occupy a core.
const MIN_SLEEP: Duration = Duration::from_micros(200);

/// Polls the state machines until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    while shared.phase.get() < Phase::Stopped {
        let due = poll(shared);
        actions::execute(shared, due);
        sleep(&shared.billing, shared.now());
    }
}

/// Appends payloads to the log until the node stops.
pub(crate) fn append(shared: &Arc<Shared>) {
    while shared.phase.get() < Phase::Stopped {
        let Ok(job) = shared.billing.append_queue.1.recv_timeout(MAX_SLEEP) else {
            continue;
        };
        if shared.killed.load(Ordering::SeqCst) {
            return;
        }
        append_one(shared, job);
    }
}

fn append_one(shared: &Arc<Shared>, job: AppendJob) {
    let result = shared.ports.log.append(BILLING_STREAM, &[job.payload]);
    let outcome = match result {
        Ok(_) => AppendOutcome::Confirmed,
        Err(_) => {
            shared.metrics.billing_append_failures.inc();
            AppendOutcome::Unconfirmed
        }
    };
    if job.role == Role::Holder {
        shared.metrics.peers.takeover_appends.inc();
    }
    let now = shared.now();
    let mut state = shared.billing.lock();
    let due = match job.role {
        Role::Origin => state.origin.append_finished(job.number, outcome, now),
        Role::Holder => state.holder.append_finished(job.number, outcome, now),
    };
    shared.billing.wake_driver(state);
    actions::execute(shared, with_role(due, job.role));
}

fn poll(shared: &Shared) -> Vec<(Role, Action)> {
    let now = shared.now();
    let mut state = shared.billing.lock();
    state.poll_due = false;
    let mut due = with_role(state.origin.poll(now), Role::Origin);
    due.extend(state.holder.poll(now).map(|it| (Role::Holder, it)));
    due
}

fn with_role(due: Vec<Action>, role: Role) -> Vec<(Role, Action)> {
    due.into_iter().map(|it| (role, it)).collect()
}

fn sleep(billing: &BillingBuffer, now: Duration) {
    let state = billing.lock();
    if state.poll_due {
        return;
    }
    let wakeups = [state.origin.wakeup(now), state.holder.wakeup()];
    let next = wakeups.into_iter().flatten().min();
    let time = next.map_or(MAX_SLEEP, |it| it.saturating_sub(now));
    let time = time.clamp(MIN_SLEEP, MAX_SLEEP);
    // A spurious wake-up only causes an early poll.
    drop(billing.poll_requested.wait_timeout(state, time));
}
