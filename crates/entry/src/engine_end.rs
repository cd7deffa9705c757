//! Checks whether an engine that broke off a request has ended.
//!
//! An answer may be lost, or a connection reset, while the engine lives on, and a node that loses its own path sees many
//! requests break off. Only an engine that accepts no connections, while this node reaches others or no node reaches
//! any, shows that its process has ended. The end of a stream that ends with its connection is doubtful already if the engine
//! accepts none.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use forward::BootTime;
use forward::crash::Traits;
use forward::directory::Engine;
use forward::path::Way;
use forward::statement::Run;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use crate::path::{self, CONNECT_TIMEOUT};
use crate::shared::{Shared, lock};
use crate::{clock, detour, quarantine};

/// Time in which a process that ends closes its listening socket after its connections.
const CLOSING_TIME: Duration = Duration::from_millis(20);

/// Other engines that are tried if one accepts no connections.
const MAX_OTHERS: usize = 4;

/// Maximum number of engines that are checked at the same time, and of broken requests of each.
const MAX_CHECKS: usize = 64;
const MAX_BROKEN: usize = 128;

/// Requests that were broken off, with the time, by runs of engines that are being checked.
#[derive(Debug, Default)]
pub(crate) struct EndChecks(Mutex<HashMap<Run, Vec<(Traits, BootTime)>>>);

/// Records that an engine broke off a request, which is evidence if the engine has ended.
pub(crate) fn record_broken(shared: &Arc<Shared>, engine: &Arc<Engine>, traits: &Traits) {
    if shared.is_evacuated(engine) {
        // Operators may switch it off at any time, which says nothing about the requests that it had.
        return log::debug!(engine = *engine.id; "evacuated engine broke off a request");
    }
    let run = Run::of(engine);
    let broken = (traits.clone(), clock::now());
    let mut checks = lock(&shared.end_checks.0);
    if let Some(requests) = checks.get_mut(&run) {
        if requests.len() < MAX_BROKEN {
            requests.push(broken);
        }
        return;
    }
    if checks.len() >= MAX_CHECKS {
        return log::debug!("too many engines to check");
    }
    checks.insert(run.clone(), vec![broken]);
    drop(checks);
    tokio::spawn(check(shared.clone(), engine.clone(), run));
}

async fn check(shared: Arc<Shared>, engine: Arc<Engine>, run: Run) {
    let broken_at = clock::now();
    sleep(CLOSING_TIME).await;
    let has_ended = has_ended(&shared, &engine, broken_at).await;
    let requests = lock(&shared.end_checks.0).remove(&run).unwrap_or_default();
    let label = if has_ended { "ended" } else { "lives" };
    shared
        .metrics
        .engine_end_checks
        .get_or_create(&[("result", label)])
        .inc();
    log::info!(engine = *engine.id, requests = requests.len(), has_ended; "engine broke off requests");
    if has_ended {
        quarantine::record_broken(&shared, &run, &requests);
    }
}

/// Whether an engine that has just closed a connection accepts further ones, from this node or from a peer.
pub(crate) async fn accepts_connections(shared: &Arc<Shared>, engine: &Engine, is_direct: bool) -> bool {
    sleep(CLOSING_TIME).await;
    match is_direct {
        true => try_connect(shared, engine).await,
        false => detour::reaches(shared, engine).await,
    }
}

async fn has_ended(shared: &Arc<Shared>, engine: &Engine, broken_at: BootTime) -> bool {
    if try_connect(shared, engine).await {
        return false;
    }
    if path::has_reached_since(shared, &engine.service, broken_at) {
        return true;
    }
    let now = clock::now();
    let mut others = shared.available(&engine.service, now);
    others.retain(|it| it.id != engine.id);
    others.shuffle(&mut rand::rng());
    for other in others.iter().take(MAX_OTHERS) {
        if try_connect(shared, other).await {
            return true;
        }
    }
    // This node can't tell by itself.
    path::way(shared, &engine.service).await == Way::None
}

async fn try_connect(shared: &Arc<Shared>, engine: &Engine) -> bool {
    let result = shared.client.connect(engine.address, CONNECT_TIMEOUT).await;
    match &result {
        Ok(_) => path::record_reached(shared, engine),
        Err(_) => path::record_unreached(shared, engine),
    }
    result.is_ok()
}
