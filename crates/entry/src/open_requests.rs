//! Requests that have arrived and whose responses are not complete, and the sockets that they come on.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use forward::BootTime;
use forward::configuration::Route;
use forward::directory::Engine;

use crate::clock;
use crate::memory::RequestShare;
use crate::shared::{Shared, lock};

/// Maximum number of requests that are logged one by one when the process exits.
const MAX_LOGGED: usize = 64;

/// What is known about an open request.
#[derive(Debug, Clone)]
struct Progress {
    id: String,
    arrived: BootTime,
    /// Route, and when the caller must have a response; `None` until the request is accepted.
    accepted: Option<(Arc<Route>, BootTime)>,
    /// Engine of the last attempt.
    engine: Option<Arc<Engine>>,
}

/// The open requests of a node.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    last_number: AtomicU64,
    progress: Mutex<HashMap<u64, Progress>>,
    sockets: AtomicUsize,
}

impl OpenRequests {
    /// Number of open requests.
    pub(crate) fn len(&self) -> usize {
        lock(&self.progress).len()
    }

    /// Number of open sockets for callers: connections, and the listener.
    pub(crate) fn sockets(&self) -> usize {
        self.sockets.load(Ordering::SeqCst)
    }

    /// Logs the open requests, which the exit of the process cuts off.
    pub(crate) fn log_cut(&self) {
        let now = clock::now();
        let cut: Vec<_> = lock(&self.progress).values().cloned().collect();
        for it in cut.iter().take(MAX_LOGGED) {
            let id = &*it.id;
            let accepted = it.accepted.as_ref();
            let route = accepted.map_or("", |it| &*it.0.name);
            let kind = accepted.map(|it| it.0.kind);
            let deadline = accepted.map_or(now, |it| it.1);
            let engine = it.engine.as_ref().map_or("", |it| &*it.id);
            let age_ms = now.saturating_sub(it.arrived).as_millis() as u64;
            let left_ms = deadline.saturating_sub(now).as_millis() as u64;
            log::warn!(id, route, kind:?, engine, age_ms, left_ms; "request cut off by the exit");
        }
        if cut.len() > MAX_LOGGED {
            log::warn!(count = cut.len() - MAX_LOGGED; "further requests cut off by the exit");
        }
    }
}

/// A request that is open until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    shared: Arc<Shared>,
    number: u64,
    _memory: RequestShare,
}

impl OpenRequest {
    /// Adds a request that arrived at a time.
    pub(crate) fn begin(shared: &Arc<Shared>, id: String, arrived: BootTime, memory: RequestShare) -> Self {
        let requests = &shared.open_requests;
        let number = requests.last_number.fetch_add(1, Ordering::Relaxed);
        let progress = Progress {
            id,
            arrived,
            accepted: None,
            engine: None,
        };
        lock(&requests.progress).insert(number, progress);
        Self {
            shared: shared.clone(),
            number,
            _memory: memory,
        }
    }

    /// Records that the request is served, and when the caller must have a response.
    pub(crate) fn accept(&self, route: &Arc<Route>, deadline: BootTime) {
        self.update(|it| it.accepted = Some((route.clone(), deadline)));
    }

    /// Records the engine of an attempt.
    pub(crate) fn record_attempt(&self, engine: &Arc<Engine>) {
        self.update(|it| it.engine = Some(engine.clone()));
    }

    fn update(&self, change: impl FnOnce(&mut Progress)) {
        if let Some(progress) = lock(&self.shared.open_requests.progress).get_mut(&self.number) {
            change(progress);
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock(&self.shared.open_requests.progress).remove(&self.number);
    }
}

/// A socket for callers that is open until this is dropped; a connection is, until its last response is written.
#[derive(Debug)]
pub(crate) struct OpenSocket(Arc<Shared>);

impl OpenSocket {
    pub(crate) fn begin(shared: &Arc<Shared>) -> Self {
        shared.open_requests.sockets.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.open_requests.sockets.fetch_sub(1, Ordering::SeqCst);
    }
}
