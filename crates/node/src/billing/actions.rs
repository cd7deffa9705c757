//! Execution of the actions that the billing state machines return.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ledger::billing::{Action, BatchId, ReleaseReason};
use model::Incarnation;
use wire::peer::{HoldBatchRequest, SettleBatchRequest};

use super::{AppendJob, Role};
use crate::peers::convert;
use crate::shared::Shared;

/// Executes actions without blocking.
pub(super) fn execute(shared: &Arc<Shared>, actions: Vec<(Role, Action)>) {
    if shared.killed.load(Ordering::SeqCst) {
        return;
    }
    for (role, action) in actions {
        match action {
            Action::Hold {
                peer,
                id,
                payload,
                rank,
                other,
            } => {
                let message = HoldBatchRequest {
                    id: Some(convert::batch_id_message(id)),
                    payload: payload.to_vec(),
                    origin_host: shared.settings.node.host.to_string(),
                    rank: rank.into(),
                    other_holder: other.map(convert::incarnation_bytes).unwrap_or_default(),
                };
                hold(shared, peer, id, message);
            }
            Action::Append { number, payload } => {
                let job = AppendJob {
                    role,
                    number,
                    payload,
                };
                if shared.billing.append_queue.0.try_send(job).is_err() {
                    log::error!("billing append requested while the previous one is still in progress");
                }
            }
            Action::Settle { peer, number, ids } => settle(shared, role, peer, number, &ids),
            Action::Release { sequence, reason } => release_answers(shared, sequence, reason),
        }
    }
}

fn hold(shared: &Arc<Shared>, peer: Incarnation, id: BatchId, message: HoldBatchRequest) {
    let Some(target) = shared.peers.target(peer) else {
        return report_hold(shared, peer, id, false);
    };
    let runtime = shared.client.runtime().clone();
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let held = shared.client.hold(target, message).await.unwrap_or(false);
        report_hold(&shared, peer, id, held);
    });
}

fn report_hold(shared: &Shared, peer: Incarnation, id: BatchId, held: bool) {
    let now = shared.now();
    let mut state = shared.billing.lock();
    if held {
        state.origin.hold_confirmed(peer, id, now);
    } else {
        shared.metrics.peers.hold_failures.inc();
        state.origin.hold_failed(peer, id, now);
    }
    shared.billing.wake_driver(state);
}

fn settle(shared: &Arc<Shared>, role: Role, peer: Incarnation, number: u64, ids: &[BatchId]) {
    let Some(target) = shared.peers.target(peer) else {
        return;
    };
    let message = SettleBatchRequest {
        ids: ids.iter().copied().map(convert::batch_id_message).collect(),
    };
    let runtime = shared.client.runtime().clone();
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let settled = shared.client.settle(target, message).await.is_ok();
        if settled && role == Role::Origin {
            shared.billing.lock().origin.settle_confirmed(peer, number);
        }
    });
}

fn release_answers(shared: &Shared, sequence: u64, reason: ReleaseReason) {
    if reason == ReleaseReason::Underreplicated {
        shared.metrics.billing_underreplicated.inc();
    }
    let waiters = shared.billing.lock().waiters.remove(&sequence);
    for done in waiters.into_iter().flatten() {
        // The answer may have stopped waiting.
        done.try_send(()).ok();
    }
}
