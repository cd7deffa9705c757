//! Takes requests from the connections and runs each on a blocking thread.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::{Response, StatusCode};
use model::Refusal;
use model::refusal::Reason;
use serde_json::json;

use super::exchange::Exchange;
use super::payload::Payload;
use super::reply::Reply;
use crate::shared::Shared;
use crate::{admin, chat, entries, models, services};

/// When to try again after all request slots were taken.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
}

impl Slot {
    fn take(shared: &Arc<Shared>) -> Option<Self> {
        let bound = shared.settings.http.max_open_requests;
        let room = |it: usize| (it < bound).then_some(it + 1);
        shared
            .open_requests
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, room)
            .ok()?;
        Some(Self {
            shared: Arc::clone(shared),
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Hands a request to a blocking thread, or refuses it if too many are in progress.
pub(super) fn start(shared: &Arc<Shared>, mut exchange: Exchange) {
    shared.metrics.requests.inc();
    let Some(slot) = Slot::take(shared) else {
        let refusal = Refusal::not_run(Reason::Overloaded).retry_after(RETRY_AFTER);
        return refuse(shared, exchange, &refusal);
    };
    // Both the thread and the answer hold the slot: a thread still bills after its caller has disconnected, and an
    // answer is still being sent after its thread has ended.
    let slot = Arc::new(slot);
    exchange.hold(Arc::clone(&slot));
    tokio::task::spawn_blocking(move || route(&slot.shared, exchange));
}

fn route(shared: &Arc<Shared>, exchange: Exchange) {
    if exchange.header_bytes() > shared.settings.http.max_header_bytes {
        return refuse(shared, exchange, &Refusal::not_run(Reason::HeadersTooLarge));
    }
    if !exchange.is_ascii() {
        return refuse(shared, exchange, &Refusal::not_run(Reason::BadRequest));
    }
    let result = match (exchange.effective_method(), exchange.path()) {
        ("POST", "/v1/chat/completions") => return chat::serve(shared, exchange),
        (_, path) if path.starts_with(services::PREFIX) => return services::serve(shared, exchange),
        ("GET", "/v1/models") => models::list(shared, &exchange),
        ("GET", "/v1/entries") => entries::list(shared, &exchange),
        ("GET", "/metrics") => Ok(admin::metrics(shared)),
        ("GET", "/healthz") => Ok(Reply::text(200, "ok\n")),
        ("GET", "/readyz") => Ok(admin::ready(shared)),
        ("GET", "/admin/status") => admin::status(shared, &exchange),
        ("POST", "/admin/drain") => admin::drain(shared, &exchange),
        (_, path) => match allowed(path) {
            Some(methods) => return refuse_method(shared, exchange, methods),
            None => Err(Refusal::not_run(Reason::UnknownName)),
        },
    };
    match result {
        Ok(reply) => exchange.respond(reply),
        Err(refusal) => refuse(shared, exchange, &refusal),
    }
}

/// Counts a refusal and sends it.
pub(crate) fn refuse(shared: &Shared, exchange: Exchange, refusal: &Refusal) {
    shared.metrics.count_refusal(refusal.reason);
    let refusal = services::proof::unproven(&exchange, refusal);
    exchange.respond(Reply::refusal(&refusal));
}

/// Methods of a path, for the header `Allow`.
fn allowed(path: &str) -> Option<&'static str> {
    match path {
        "/v1/chat/completions" | "/admin/drain" => Some("POST"),
        "/v1/models" | "/v1/entries" | "/metrics" | "/healthz" | "/readyz" | "/admin/status" => {
            Some("GET, HEAD")
        }
        _ => None,
    }
}

fn refuse_method(shared: &Shared, exchange: Exchange, methods: &str) {
    let refusal = Refusal::not_run(Reason::MethodNotAllowed);
    shared.metrics.count_refusal(refusal.reason);
    exchange.respond(Reply::refusal(&refusal).header("Allow", methods.to_owned()));
}

/// The response to a request whose thread ended without an answer.
pub(super) fn unanswered() -> Response<Payload> {
    let error = json!({
        "code": "internal",
        "message": "the request was given up (ran: unknown)",
        "ran": "unknown",
    });
    let body = json!({ "error": error }).to_string().into_bytes();
    let mut response = Response::new(Payload::whole(body, None));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// A reply as it is sent on a connection that no HTTP library serves.
pub(super) fn bytes(reply: &Reply) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {}\r\nContent-Length: {}\r\n",
        reply.status,
        reply.body.len()
    );
    for (name, value) in &reply.headers {
        // Writing to a string does not fail.
        write!(head, "{name}: {value}\r\n").ok();
    }
    head.push_str("\r\n");
    [head.as_bytes(), &reply.body].concat()
}
