//! Carries out what the state machines of billing ask for.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ledger::billing::{Action, BatchId, ReleaseReason};
use model::Incarnation;
use wire::peer::{HoldBatchRequest, SettleBatchRequest};

use super::{Job, Side};
use crate::peers::convert;
use crate::shared::Shared;

/// Carries out actions without blocking.
pub(super) fn carry_out(shared: &Arc<Shared>, actions: Vec<(Side, Action)>) {
    if shared.killed.load(Ordering::SeqCst) {
        return;
    }
    for (side, action) in actions {
        match action {
            Action::Hold {
                peer,
                id,
                payload,
                rank,
                other,
            } => {
                let message = HoldBatchRequest {
                    id: Some(convert::id_message(id)),
                    payload: payload.to_vec(),
                    origin_host: shared.settings.node.host.to_string(),
                    rank: rank.into(),
                    other_holder: other.map(convert::incarnation_bytes).unwrap_or_default(),
                };
                hold(shared, peer, id, message);
            }
            Action::Append { number, payload } => {
                let job = Job {
                    side,
                    number,
                    payload,
                };
                if shared.biller.jobs.0.try_send(job).is_err() {
                    log::error!("an append of bills is under way although the last one was not reported");
                }
            }
            Action::Settle { peer, number, ids } => settle(shared, side, peer, number, &ids),
            Action::Release { sequence, reason } => release(shared, sequence, reason),
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
    let mut state = shared.biller.lock();
    if held {
        state.origin.hold_confirmed(peer, id, now);
    } else {
        shared.metrics.peers.hold_failures.inc();
        state.origin.hold_failed(peer, id, now);
    }
    shared.biller.report(state);
}

fn settle(shared: &Arc<Shared>, side: Side, peer: Incarnation, number: u64, ids: &[BatchId]) {
    let Some(target) = shared.peers.target(peer) else {
        return;
    };
    let message = SettleBatchRequest {
        ids: ids.iter().copied().map(convert::id_message).collect(),
    };
    let runtime = shared.client.runtime().clone();
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let settled = shared.client.settle(target, message).await.is_ok();
        if settled && side == Side::Origin {
            shared.biller.lock().origin.settle_confirmed(peer, number);
        }
    });
}

fn release(shared: &Shared, sequence: u64, reason: ReleaseReason) {
    if reason == ReleaseReason::Underreplicated {
        shared.metrics.billing_underreplicated.inc();
    }
    let waiting = shared.biller.lock().waiting.remove(&sequence);
    for done in waiting.into_iter().flatten() {
        // The answer may have stopped waiting.
        done.try_send(()).ok();
    }
}
