//! Non-idempotent calls, executed at most once by the node that issued their idempotency key.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::idempotency::{Call as KeyedCall, Decision, Key, Outcome, Response};
use model::object::service::Repeat;
use model::refusal::Reason;
use model::{Name, Ran, Refusal};
use ports::service::Call;
use wire::peer::{ExecuteRequest, execute_reply};
use xxhash_rust::xxh3::xxh3_64;

use super::Admitted;
use crate::http::admission;
use crate::http::dispatch::refuse;
use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::peers::client::Target;
use crate::peers::convert;
use crate::shared::Shared;

/// Header of the idempotency key, in requests and in responses to calls that came without one.
pub(crate) const KEY_HEADER: &str = "Idempotency-Key";

/// Peers that are queried for the key table of a stopped issuer. This is one more than the number of holders,
/// because the membership views of two nodes may differ by one member.
const MAX_QUERIED_PEERS: usize = crate::idempotency::TABLE_HOLDERS + 1;

/// Time-out of the query to one of these peers, which answers from memory.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of the remaining time that is reserved for the return of a forwarded call's reply.
const RETURN_MARGIN: Duration = Duration::from_millis(50);

/// Result of a call.
type Result = std::result::Result<Arc<Response>, Refusal>;

/// Handles a call of a caller.
pub(super) fn serve(shared: &Shared, exchange: Exchange, mut admitted: Admitted) {
    match exchange.header(KEY_HEADER) {
        Some(text) => match text.parse() {
            Ok(key) => {
                let result = route(shared, &admitted, &key);
                respond(shared, exchange, result, None);
            }
            // No node issues or executes such a key, so the call did not run.
            Err(_) => refuse(shared, exchange, &Refusal::not_run(Reason::KeyInvalid)),
        },
        None => {
            // The response contains the key, with which the caller can repeat the call to learn its outcome.
            let key = issue_key(shared);
            admitted.call.idempotency_key = Some(key.to_string());
            let result = execute(shared, &admitted, &key);
            respond(shared, exchange, result, Some(&key));
        }
    }
}

/// Handles a call that another node forwarded.
pub(crate) fn handle_forwarded(shared: &Shared, message: ExecuteRequest) -> Result {
    let unknown = Refusal::unknown(Reason::OutcomeUnknown);
    let key: Key = message.idempotency_key.parse().map_err(|_| unknown.clone())?;
    let name: Name = message.organisation.clone().into();
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
    let keyed_call = KeyedCall {
        organisation: &name,
        key: &key,
        digest: digest(&message.service, &call),
    };
    if !shared.idempotency.is_issuer(key.issuer) {
        return match shared.idempotency.archived(keyed_call, shared.now()) {
            Some(answer) => into_result(shared, answer),
            None => Err(unknown),
        };
    }
    let view = shared.config.view();
    let permitted = view
        .organisation_by_name(&name)
        .ok_or(Refusal::not_run(Reason::Unauthorised))
        .and_then(|organisation| {
            let found = view.service_call(organisation, &message.service, &call.method, &call.path)?;
            if found.call.repeat == Repeat::Idempotent {
                return Err(Refusal::not_run(Reason::BadRequest));
            }
            Ok((Arc::clone(organisation), found.service.clone()))
        });
    let (organisation, service) = match permitted {
        Ok(permitted) => permitted,
        Err(refusal) => {
            return into_result(
                shared,
                shared
                    .idempotency
                    .refuse(keyed_call, refusal.reason, shared.now()),
            );
        }
    };
    let admitted = Admitted {
        organisation,
        service: service.name.clone(),
        pool: service.pool.clone(),
        repeat: Repeat::NonIdempotent,
        deadline,
        call,
    };
    execute(shared, &admitted, &key)
}

/// Issues a key for a call that came without one.
fn issue_key(shared: &Shared) -> Key {
    let now = shared.now();
    Key {
        issuer: shared.incarnation,
        epoch: shared.idempotency.epoch(now),
        // Request ids are unique. A caller that uses one as its own part of a key only affects its own
        // organisation.
        caller_part: format!("request-{}", shared.request_id()).into(),
    }
}

/// Executes a call if this node issued its key, and otherwise forwards it to the issuer.
fn route(shared: &Shared, admitted: &Admitted, key: &Key) -> Result {
    if shared.idempotency.is_issuer(key.issuer) {
        return execute(shared, admitted, key);
    }
    let keyed_call = keyed_call(admitted, key);
    if let Some(answer) = shared.idempotency.archived(keyed_call, shared.now()) {
        return into_result(shared, answer);
    }
    if let Some(issuer) = shared.peers.target(key.issuer) {
        shared.metrics.peers.keyed_forwards.inc();
        match forward(shared, issuer, admitted, time_left(admitted)) {
            Some(result) => return result,
            None => {
                shared.metrics.peers.keyed_forward_failures.inc();
            }
        }
    }
    query_table_holders(shared, admitted, key)
}

/// Queries the peers that may hold the key table of a stopped issuer.
fn query_table_holders(shared: &Shared, admitted: &Admitted, key: &Key) -> Result {
    let unknown = Refusal::unknown(Reason::OutcomeUnknown);
    for holder in shared
        .peers
        .table_holders(key.issuer)
        .into_iter()
        .take(MAX_QUERIED_PEERS)
    {
        let time = time_left(admitted).min(QUERY_TIMEOUT);
        match forward(shared, holder, admitted, time) {
            // The peer does not have the table, or the table does not contain the outcome.
            Some(Err(refusal)) if refusal == unknown => {}
            Some(result) => return result,
            None => {}
        }
    }
    shared.metrics.peers.keyed_unknown.inc();
    Err(unknown)
}

/// Forwards a call to a peer. `None` means that there was no valid reply; the call may have run.
fn forward(shared: &Shared, to: Target, admitted: &Admitted, time: Duration) -> Option<Result> {
    let call = &admitted.call;
    let message = ExecuteRequest {
        organisation: admitted.organisation.name().to_string(),
        idempotency_key: call.idempotency_key.clone().unwrap_or_default(),
        service: admitted.service.to_string(),
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        timeout_ms: convert::saturating_millis(time.saturating_sub(RETURN_MARGIN)),
    };
    let reply = shared.client.execute(to, message, time).ok()?;
    match reply.outcome? {
        execute_reply::Outcome::Reply(it) => Some(Ok(Arc::new(convert::reply(it)?))),
        execute_reply::Outcome::Refusal(it) => Some(Err(convert::refusal(&it))),
    }
}

/// Executes a call whose key this node issued, unless it is running or has run.
fn execute(shared: &Shared, admitted: &Admitted, key: &Key) -> Result {
    let keyed_call = keyed_call(admitted, key);
    if let Err(refusal) = admission::check_serving(shared) {
        return into_result(
            shared,
            shared
                .idempotency
                .refuse(keyed_call, refusal.reason, shared.now()),
        );
    }
    let answer = match shared.idempotency.begin(keyed_call, shared.now()) {
        Decision::Execute => {
            shared.metrics.peers.keyed_executions.inc();
            let outcome = to_outcome(super::run(shared, admitted));
            shared.idempotency.finish(keyed_call, outcome)
        }
        Decision::Running => shared
            .idempotency
            .wait(keyed_call, admitted.deadline, || shared.now()),
        answer => {
            if matches!(answer, Decision::Replay(_)) {
                shared.metrics.peers.keyed_replays.inc();
            }
            answer
        }
    };
    into_result(shared, answer)
}

fn to_outcome(result: std::result::Result<ports::service::Reply, Refusal>) -> Outcome {
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

fn into_result(shared: &Shared, answer: Decision) -> Result {
    match answer {
        Decision::Replay(response) => Ok(response),
        Decision::Refused(refusal) => Err(refusal),
        // The call is still running at the caller's deadline. A table never decides `Execute` here.
        Decision::Running | Decision::Execute => {
            shared.metrics.peers.keyed_unknown.inc();
            Err(Refusal::unknown(Reason::OutcomeUnknown))
        }
    }
}

/// Sends the result. Refusals of the issuer are sent unchanged, because its table proves whether the call
/// ran.
fn respond(shared: &Shared, exchange: Exchange, result: Result, key: Option<&Key>) {
    let reply = match result {
        Ok(it) => Reply::new(it.status, &it.content_type, it.body.clone()),
        Err(refusal) => {
            shared.metrics.count_refusal(refusal.reason);
            Reply::refusal(&refusal)
        }
    };
    exchange.respond(match key {
        Some(key) => reply.header(KEY_HEADER, key.to_string()),
        None => reply,
    });
}

fn keyed_call<'a>(admitted: &'a Admitted, key: &'a Key) -> KeyedCall<'a> {
    KeyedCall {
        organisation: admitted.organisation.name(),
        key,
        digest: digest(&admitted.service, &admitted.call),
    }
}

fn time_left(admitted: &Admitted) -> Duration {
    admitted.deadline.saturating_duration_since(Instant::now())
}

/// Digest of a call, to detect a key that is reused for a different one.
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
