//! Non-idempotent calls: executed at most once, by the node that issued their key.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::idempotency::{Call as OnceCall, Decision, Key, Outcome, Response};
use model::object::service::Repeat;
use model::refusal::Reason;
use model::{Ran, Refusal};
use ports::service::Call;
use wire::peer::{ExecuteRequest, execute_reply};
use xxhash_rust::xxh3::xxh3_64;

use super::Admitted;
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::gate;
use crate::http::reply::Reply;
use crate::peers::client::Target;
use crate::peers::convert;
use crate::shared::Shared;

/// Header of a call's key, in requests and in responses to calls without one.
pub(crate) const HEADER: &str = "Idempotency-Key";

/// Peers that are asked for the table of a stopped issuer. One more than have it, because the views of the members
/// may differ by one.
const ASKED: usize = crate::idempotency::TABLE_HOLDERS + 1;

/// Bound on the question to one of them; it answers from memory.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that is left for the way back when a call is forwarded.
const RETURN_TIME: Duration = Duration::from_millis(50);

/// Result of a call.
type Result = std::result::Result<Arc<Response>, Refusal>;

/// Answers a call of a caller.
pub(super) fn serve(shared: &Shared, exchange: Exchange, mut admitted: Admitted) {
    match exchange.header(HEADER) {
        Some(text) => match text.parse() {
            Ok(key) => {
                let result = route(shared, &admitted, &key);
                respond(shared, exchange, result, None);
            }
            // No node ever executes a call with such a key.
            Err(_) => refuse(shared, exchange, &Refusal::not_run(Reason::KeyInvalid)),
        },
        None => {
            // The caller can ask for the outcome with the key that it gets in the response.
            let key = own_key(shared);
            admitted.call.idempotency_key = Some(key.to_string());
            let result = execute(shared, &admitted, &key);
            respond(shared, exchange, result, Some(&key));
        }
    }
}

/// Answers a call that another node forwarded.
pub(crate) fn answer_peer(shared: &Shared, message: ExecuteRequest) -> Result {
    let unknown = Refusal::unknown(Reason::OutcomeUnknown);
    let key: Key = message.idempotency_key.parse().map_err(|_| unknown.clone())?;
    let organisation = message.organisation.clone().into();
    let timeout = Duration::from_millis(message.timeout_ms.into());
    let deadline = Instant::now() + timeout;
    let call = Call {
        method: message.method,
        path: message.path,
        content_type: message.content_type,
        body: message.body,
        idempotency_key: Some(message.idempotency_key),
        connect_timeout: shared.settings.upstream.connect_timeout,
        timeout: shared.settings.upstream.service_timeout,
    };
    let once = OnceCall {
        organisation: &organisation,
        key: &key,
        digest: digest(&message.service, &call),
    };
    if !shared.idempotency.is_issuer(key.issuer) {
        return match shared.idempotency.archived(once, shared.now()) {
            Some(answer) => settled(shared, answer),
            None => Err(unknown),
        };
    }
    let view = shared.config.view();
    let permitted = view
        .organisation_by_name(&organisation)
        .ok_or(Refusal::not_run(Reason::Unauthorised))
        .and_then(|tenant| {
            let found = view.service_call(tenant, &message.service, &call.method, &call.path)?;
            if found.call.repeat == Repeat::Idempotent {
                return Err(Refusal::not_run(Reason::BadRequest));
            }
            Ok((Arc::clone(tenant), found.service.clone()))
        });
    let (tenant, service) = match permitted {
        Ok(permitted) => permitted,
        Err(refusal) => {
            return settled(
                shared,
                shared.idempotency.refuse(once, refusal.reason, shared.now()),
            );
        }
    };
    let admitted = Admitted {
        tenant,
        service: service.name.clone(),
        pool: service.pool.clone(),
        repeat: Repeat::NonIdempotent,
        deadline,
        call,
    };
    execute(shared, &admitted, &key)
}

/// Key of a call that came without one.
fn own_key(shared: &Shared) -> Key {
    let now = shared.now();
    Key {
        issuer: shared.incarnation,
        epoch: shared.idempotency.epoch(now),
        // Request ids are unique, and a caller that uses one as its part only affects its own organisation.
        caller_part: format!("request-{}", shared.request_id()).into(),
    }
}

/// Brings a call to the node that decides on its key.
fn route(shared: &Shared, admitted: &Admitted, key: &Key) -> Result {
    if shared.idempotency.is_issuer(key.issuer) {
        return execute(shared, admitted, key);
    }
    let once = once_call(admitted, key);
    if let Some(answer) = shared.idempotency.archived(once, shared.now()) {
        return settled(shared, answer);
    }
    if let Some(issuer) = shared.peers.target(key.issuer) {
        shared.metrics.peers.keyed_forwards.inc();
        match forward(shared, issuer, admitted, left(admitted)) {
            Some(result) => return result,
            None => {
                shared.metrics.peers.keyed_forward_failures.inc();
            }
        }
    }
    ask_table_holders(shared, admitted, key)
}

/// Asks the peers that may have the table of a stopped issuer.
fn ask_table_holders(shared: &Shared, admitted: &Admitted, key: &Key) -> Result {
    let unknown = Refusal::unknown(Reason::OutcomeUnknown);
    for holder in shared.peers.table_holders(key.issuer).into_iter().take(ASKED) {
        let time = left(admitted).min(ASK_TIMEOUT);
        match forward(shared, holder, admitted, time) {
            // The peer does not have the table, or the table does not have the outcome.
            Some(Err(refusal)) if refusal == unknown => {}
            Some(result) => return result,
            None => {}
        }
    }
    shared.metrics.peers.keyed_unknown.inc();
    Err(unknown)
}

/// Sends a call to a peer; `None` if there is no reply, after which nothing is known.
fn forward(shared: &Shared, to: Target, admitted: &Admitted, time: Duration) -> Option<Result> {
    let call = &admitted.call;
    let message = ExecuteRequest {
        organisation: admitted.tenant.name().to_string(),
        idempotency_key: call.idempotency_key.clone().unwrap_or_default(),
        service: admitted.service.to_string(),
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        timeout_ms: convert::saturating_millis(time.saturating_sub(RETURN_TIME)),
    };
    let reply = shared.client.execute(to, message, time).ok()?;
    match reply.outcome? {
        execute_reply::Outcome::Reply(it) => Some(Ok(Arc::new(convert::reply(it)?))),
        execute_reply::Outcome::Refusal(it) => Some(Err(convert::refusal(&it))),
    }
}

/// Executes a call with a key of this node, unless it runs or ran.
fn execute(shared: &Shared, admitted: &Admitted, key: &Key) -> Result {
    let once = once_call(admitted, key);
    if let Err(refusal) = gate::open(shared) {
        return settled(
            shared,
            shared.idempotency.refuse(once, refusal.reason, shared.now()),
        );
    }
    let answer = match shared.idempotency.begin(once, shared.now()) {
        Decision::Execute => {
            shared.metrics.peers.keyed_executions.inc();
            let outcome = outcome(super::run(shared, admitted));
            shared.idempotency.finish(once, outcome)
        }
        Decision::Running => shared.idempotency.wait(once, admitted.deadline, || shared.now()),
        answer => {
            if matches!(answer, Decision::Replay(_)) {
                shared.metrics.peers.keyed_replays.inc();
            }
            answer
        }
    };
    settled(shared, answer)
}

fn outcome(result: std::result::Result<ports::service::Reply, Refusal>) -> Outcome {
    match result {
        Ok(reply) => Outcome::Done(Response {
            status: reply.status,
            content_type: reply.content_type,
            body: reply.body,
        }),
        Err(refusal) if refusal.ran == Ran::No => Outcome::NotRun(refusal.reason),
        Err(_) => Outcome::Unknown,
    }
}

fn settled(shared: &Shared, answer: Decision) -> Result {
    match answer {
        Decision::Replay(response) => Ok(response),
        Decision::Refused(refusal) => Err(refusal),
        // A call that still runs when the caller's time is over. A table never says "execute" here.
        Decision::Running | Decision::Execute => {
            shared.metrics.peers.keyed_unknown.inc();
            Err(Refusal::unknown(Reason::OutcomeUnknown))
        }
    }
}

/// Sends the result; the issuer's refusals are sent as they are, because its table proves them.
fn respond(shared: &Shared, exchange: Exchange, result: Result, key: Option<&Key>) {
    let reply = match result {
        Ok(it) => Reply::new(it.status, &it.content_type, it.body.clone()),
        Err(refusal) => {
            shared.metrics.count_refusal(refusal.reason);
            Reply::refusal(&refusal)
        }
    };
    exchange.respond(match key {
        Some(key) => reply.header(HEADER, key.to_string()),
        None => reply,
    });
}

fn once_call<'a>(admitted: &'a Admitted, key: &'a Key) -> OnceCall<'a> {
    OnceCall {
        organisation: admitted.tenant.name(),
        key,
        digest: digest(&admitted.service, &admitted.call),
    }
}

fn left(admitted: &Admitted) -> Duration {
    admitted.deadline.saturating_duration_since(Instant::now())
}

/// Digest of what a call asks for.
fn digest(service: &str, call: &Call) -> u64 {
    let parts = [
        service.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        call.content_type.as_bytes(),
        &call.body,
    ];
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
        bytes.extend_from_slice(part);
    }
    xxh3_64(&bytes)
}
