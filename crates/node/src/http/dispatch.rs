//! Takes requests from the server and runs each on a thread of its own.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::Refusal;
use model::refusal::Reason;
use tiny_http::Server;

use super::exchange::Exchange;
use super::reply::Reply;
use crate::phase::Phase;
use crate::shared::Shared;
use crate::{admin, chat, entries, models, services};

/// Stack of a request thread; its frames are small and there may be thousands of threads.
const STACK_BYTES: usize = 256 << 10;

/// Interval between checks whether the node stops.
const POLL: Duration = Duration::from_millis(100);

/// When to try again after all request slots were taken.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Takes requests until the node stops.
pub(crate) fn run(shared: &Arc<Shared>, server: &Server) {
    while shared.phase.get() < Phase::Stopped {
        match server.recv_timeout(POLL) {
            Ok(Some(request)) => start(shared, Exchange::new(request)),
            Ok(None) => {}
            Err(err) => {
                log::error!("the caller API accepts no more connections: {err}");
                return;
            }
        }
    }
    refuse_rest(shared, server);
}

/// Refuses requests that arrived after the last ones were taken.
fn refuse_rest(shared: &Shared, server: &Server) {
    while let Ok(Some(request)) = server.try_recv() {
        if let Some(exchange) = Exchange::new(request).droppable() {
            refuse(shared, exchange, &Refusal::not_run(Reason::Leaving));
        }
    }
}

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
struct Slot {
    shared: Arc<Shared>,
}

impl Slot {
    fn take(shared: &Arc<Shared>) -> Option<Self> {
        let bound = shared.settings.http.max_open_requests;
        let room = |it: usize| (it < bound).then_some(it + 1);
        shared
            .open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, room)
            .ok()?;
        Some(Self {
            shared: Arc::clone(shared),
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::SeqCst);
    }
}

fn start(shared: &Arc<Shared>, exchange: Exchange) {
    shared.metrics.requests.inc();
    let Some(exchange) = exchange.droppable() else {
        shared.metrics.abandoned.inc();
        return;
    };
    let Some(slot) = Slot::take(shared) else {
        let refusal = Refusal::not_run(Reason::Overloaded).retry_after(RETRY_AFTER);
        return refuse(shared, exchange, &refusal);
    };
    let run = move || {
        let slot = slot;
        route(&slot.shared, exchange);
    };
    let thread = std::thread::Builder::new()
        .name("request".to_owned())
        .stack_size(STACK_BYTES);
    if let Err(err) = thread.spawn(run) {
        log::error!("no thread for a request: {err}");
    }
}

fn route(shared: &Arc<Shared>, exchange: Exchange) {
    if exchange.header_bytes() > shared.settings.http.max_header_bytes {
        return refuse(shared, exchange, &Refusal::not_run(Reason::HeadersTooLarge));
    }
    let result = match (exchange.method(), exchange.path()) {
        ("POST", "/v1/chat/completions") => return chat::serve(shared, exchange),
        (_, path) if path.starts_with(services::PREFIX) => return services::serve(shared, exchange),
        ("GET", "/v1/models") => models::list(shared, &exchange),
        ("GET", "/v1/entries") => entries::list(shared, &exchange),
        ("GET", "/metrics") => Ok(admin::metrics(shared)),
        ("GET", "/healthz") => Ok(Reply::text(200, "ok\n")),
        ("GET", "/readyz") => Ok(admin::ready(shared)),
        ("GET", "/admin/status") => admin::status(shared, &exchange),
        ("POST", "/admin/drain") => admin::drain(shared, &exchange),
        _ => Err(Refusal::not_run(Reason::UnknownName)),
    };
    match result {
        Ok(reply) => exchange.respond(reply),
        Err(refusal) => refuse(shared, exchange, &refusal),
    }
}

/// Counts a refusal and sends it.
pub(crate) fn refuse(shared: &Shared, exchange: Exchange, refusal: &Refusal) {
    shared.metrics.refusal(refusal.reason);
    let refusal = services::proof::unproven(&exchange, refusal);
    exchange.respond(Reply::refusal(&refusal));
}
