//! Connects a request to the engine that is selected for it, by this node's own path or through a peer.

use std::sync::Arc;

use forward::directory::Engine;
use forward::hold::Admission;
use forward::path::Way;
use forward::release::Arm;
use forward::retry::Failure;
use forward::work::Work;
use tokio::time::timeout;

use crate::attempt::{AttemptOutcome, record_failure};
use crate::client::IdleConnection;
use crate::in_flight::InFlight;
use crate::path::{self, CONNECT_TIMEOUT};
use crate::request::RequestContext;
use crate::selection::{self, Selected, Selection};
use crate::shared::lock;
use crate::{clock, detour, quarantine};

/// Times that a request that no peer takes asks again who does.
const MAX_INQUIRIES: u32 = 3;

/// An engine to which the node is connected for a request.
#[derive(Debug)]
pub(crate) struct Reached {
    pub engine: Arc<Engine>,
    pub arm: Arm,
    pub connection: IdleConnection,
    /// Whether the connection goes to the engine itself and not through a peer.
    pub is_direct: bool,
    pub in_flight: InFlight,
}

/// Why a request is not connected to the engine that was selected.
enum Unreached {
    /// Another engine, or another way, has to be tried; nothing is known about the engine.
    Again,
    /// The engine was not reached.
    Engine,
    /// No peer takes the request.
    NoPeer,
}

/// Selects an engine and connects to it.
///
/// Selects another one if the engine states in another response meanwhile that it takes no requests.
pub(crate) async fn reach_engine(
    context: &mut RequestContext,
    work: Option<Work>,
) -> Result<Reached, AttemptOutcome> {
    let mut inquiries = 0;
    loop {
        if context.remaining().is_zero() {
            return Err(AttemptOutcome::NoEngine);
        }
        let admission = quarantine::admit(context);
        if let Admission::Held(wait) = admission {
            context.held_for = Some(wait);
            return Err(AttemptOutcome::NoEngine);
        }
        let result = try_reach_engine(context, work, &admission).await;
        if admission == Admission::Probe && !matches!(result, Ok(Ok(_))) {
            quarantine::return_probe(context);
        }
        match result {
            Ok(result) => return result,
            Err(Unreached::NoPeer) if inquiries == MAX_INQUIRIES => return Err(AttemptOutcome::NoEngine),
            Err(Unreached::NoPeer) => inquiries += 1,
            Err(Unreached::Again) => {}
            Err(Unreached::Engine) => return Err(AttemptOutcome::failed(Failure::Unreachable)),
        }
    }
}

/// Like [`reach_engine`]; the outer error is what has to be done about the request.
async fn try_reach_engine(
    context: &mut RequestContext,
    work: Option<Work>,
    admission: &Admission,
) -> Result<Result<Reached, AttemptOutcome>, Unreached> {
    context.no_path_for = None;
    let way = path::way(&context.shared, &context.service).await;
    if way == Way::None {
        context.no_path_for = Some(path::time_to_probe(&context.shared, &context.service));
        return Ok(Err(AttemptOutcome::NoEngine));
    }
    let selected = match selection::select(context, work).await {
        Selection::Engine(selected) => selected,
        Selection::None => return Ok(Err(AttemptOutcome::NoEngine)),
    };
    let Selected {
        engine,
        arm,
        need,
        place,
        permit_end,
    } = selected;
    log_attempt(context, &engine, arm);
    context.arm = Some(arm);
    context.engine = Some(engine.clone());
    let footprint = need.map(|it| it.footprint);
    let work = work.unwrap_or_default();
    let in_flight = InFlight::start(&context.shared, &engine, work, footprint, place);
    let result = match way {
        Way::Peer => connect_through_peer(context, &engine).await,
        _ => connect(context, &engine).await,
    };
    let now = clock::now();
    let is_permitted = permit_end.is_some_and(|it| now < it);
    if result.is_ok() && !is_permitted && lock(&context.shared.statements).is_fragile(&engine, now) {
        log::info!(id = context.id, engine = *engine.id; "engine is cold and needs a permit, nothing was sent");
        return Err(Unreached::Again);
    }
    if !lock(&context.shared.directory).is_available(&engine, now) {
        log::info!(id = context.id, engine = *engine.id; "engine is leaving or gone, nothing was sent");
        return Err(Unreached::Again);
    }
    if !context.shared.access(&engine, now).may_send() {
        log::info!(id = context.id, engine = *engine.id; "engine takes no more requests, nothing was sent");
        return Err(Unreached::Again);
    }
    if *admission == Admission::Open && quarantine::is_held(context) {
        return Err(Unreached::Again);
    }
    if matches!(result, Ok(_) | Err(Unreached::Engine)) {
        context.tried.push(engine.clone());
    }
    let connection = result?;
    context.open.record_attempt(&engine);
    Ok(Ok(Reached {
        engine,
        arm,
        connection,
        is_direct: way == Way::Direct,
        in_flight,
    }))
}

async fn connect(context: &RequestContext, engine: &Engine) -> Result<IdleConnection, Unreached> {
    let shared = &context.shared;
    let began_at = clock::now();
    let remaining = context.remaining();
    let limit = CONNECT_TIMEOUT.min(remaining);
    let err = match shared.client.connect(engine.address, limit).await {
        Ok(connection) => {
            path::record_reached(shared, engine);
            return Ok(connection);
        }
        Err(err) => err,
    };
    log::info!(id = context.id, engine = *engine.id, error:% = err; "engine unreachable");
    if remaining < CONNECT_TIMEOUT {
        // The engine might have been reached with more time.
        return Err(Unreached::Engine);
    }
    path::record_unreached(shared, engine);
    match path::way(shared, &context.service).await {
        Way::Direct => {
            record_failure(context, engine, Failure::Unreachable, began_at);
            Err(Unreached::Engine)
        }
        // The engine is not to blame.
        _ => Err(Unreached::Again),
    }
}

async fn connect_through_peer(
    context: &RequestContext,
    engine: &Engine,
) -> Result<IdleConnection, Unreached> {
    let began_at = clock::now();
    let connecting = detour::connect(&context.shared, engine, &context.id);
    let connected = timeout(context.remaining(), connecting).await;
    connected.unwrap_or(Err(detour::Error::NoPeer)).map_err(|err| {
        log::info!(id = context.id, engine = *engine.id, error:% = err; "engine unreachable");
        match err {
            detour::Error::NoPeer => Unreached::NoPeer,
            detour::Error::Engine(_) => {
                record_failure(context, engine, Failure::Unreachable, began_at);
                Unreached::Engine
            }
        }
    })
}

/// Logs the chosen engine and the state that led to the choice.
fn log_attempt(context: &RequestContext, engine: &Engine, arm: Arm) {
    let now = clock::now();
    let load = lock(&context.shared.loads)
        .get(engine)
        .map_or(0.0, |it| it.estimated_requests(now));
    let waited_ms = now.saturating_sub(context.arrived).as_millis() as u64;
    let (run, sends) = (context.retry_state.runs() + 1, context.retry_state.sends());
    let (model, version) = (context.model.as_deref().unwrap_or_default(), &*engine.version);
    let session = context.metadata.session.as_deref().unwrap_or_default();
    let request_limit = lock(&context.shared.statements).rate(engine, now);
    log::info!(
        id = context.id, session, service = *context.service, engine = *engine.id, version, arm:?, model, load,
        request_limit, run, sends, waited_ms;
        "attempt"
    );
}
