//! Dispatch of calls to plain services, as the pool's policy decides.
//!
//! Each attempt runs on its own thread, so that an idempotent call can be hedged and the wait can end at the
//! deadline. The policy never hedges a non-idempotent call, and retries it only if the previous attempt
//! provably did not start.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Select, bounded};
use model::object::service::Repeat;
use model::refusal::Reason;
use model::{Class, Name, Ran, Refusal, Usage};
use policy::pool::{AttemptKind, Cause, Outcome, Request};
use ports::service::{Call, Error, Reply};

use crate::shared::Shared;
use crate::upstreams::outcome;
use crate::upstreams::pending::PendingRequest;
use crate::upstreams::pool::Signal;

/// Stack size of a thread that waits for a reply.
const STACK_BYTES: usize = 256 << 10;

/// Retry delay if the pool is not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceCall<'a> {
    /// Pool of the service's instances.
    pub pool: &'a Name,
    /// Organisation of the caller.
    pub organisation: &'a Name,
    /// Weight of the organisation in the fair queue.
    pub weight: u32,
    /// Whether the call may be sent more than once.
    pub repeat: Repeat,
    /// Time by which the reply must be complete.
    pub deadline: Instant,
    /// Call to send.
    pub call: &'a Call,
}

/// An attempt without a reply.
struct Attempt {
    number: u16,
    reply: Receiver<Result<Reply, Error>>,
}

/// Event that ends a wait.
enum Wakeup {
    Signal(Signal),
    Reply(usize, Result<Reply, Error>),
    Deadline,
}

/// Runs attempts until one of them returns a reply.
///
/// # Errors
/// Any refusal; its `ran` is [`Ran::No`] if nothing ran or will run.
pub(crate) fn run(shared: &Shared, service_call: &ServiceCall<'_>) -> Result<Reply, Refusal> {
    let pool = shared.upstreams.pool(&shared.config.view(), service_call.pool);
    let pool = pool.ok_or(Refusal::not_run(Reason::NoUpstream).retry_after(RETRY_AFTER))?;
    let mut pending = PendingRequest::submit(&pool, request(shared, service_call));
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut cancelled = Vec::new();
    let mut sent = false;
    loop {
        match wait(&pending, &attempts, service_call.deadline) {
            Wakeup::Deadline => return Err(deadline_refusal(service_call, sent)),
            Wakeup::Signal(Signal::Refuse(refusal)) => {
                pending.refused();
                return Err(outcome_refusal(service_call, refusal));
            }
            Wakeup::Signal(Signal::Cancel(number)) => {
                attempts.retain(|it| it.number != number);
                cancelled.push(number);
            }
            // Each call has its own connection and a time-out for the whole reply.
            Wakeup::Signal(Signal::Stalled(_)) => {}
            Wakeup::Signal(Signal::Send { number, .. }) if cancelled.contains(&number) => {}
            Wakeup::Signal(Signal::Send {
                number,
                address: None,
                ..
            }) => pending.ended(number, Outcome::NotStarted(Cause::Connect)),
            Wakeup::Signal(Signal::Send {
                number,
                address: Some(address),
                kind,
                ..
            }) => {
                if kind == AttemptKind::Hedge {
                    shared.metrics.hedges.inc();
                }
                sent = true;
                let reply = start(shared, service_call, address);
                attempts.push(Attempt { number, reply });
            }
            Wakeup::Reply(idx, result) => {
                let number = attempts.swap_remove(idx).number;
                match result {
                    Ok(reply) => {
                        pending.started(number);
                        pending.ended(number, Outcome::Done(Usage::default()));
                        return Ok(reply);
                    }
                    Err(err) => {
                        let (outcome, reason) = outcome::of_service(&err);
                        shared.metrics.count_retry(reason);
                        pending.ended(number, outcome);
                    }
                }
            }
        }
    }
}

fn request(shared: &Shared, service_call: &ServiceCall<'_>) -> Request {
    Request {
        ticket: 0,
        organisation: service_call.organisation.clone(),
        weight: service_call.weight,
        class: Class::Transaction,
        deadline: shared.now() + service_call.deadline.saturating_duration_since(Instant::now()),
        repeat: service_call.repeat,
        prompt: 0,
        output: 0,
        blocks: Vec::new(),
        session: None,
    }
}

fn start(
    shared: &Shared,
    service_call: &ServiceCall<'_>,
    address: std::net::SocketAddr,
) -> Receiver<Result<Reply, Error>> {
    let (sender, receiver) = bounded(1);
    let services = Arc::clone(&shared.ports.services);
    let mut call = service_call.call.clone();
    call.timeout = call
        .timeout
        .min(service_call.deadline.saturating_duration_since(Instant::now()));
    let fallback = sender.clone();
    let thread = std::thread::Builder::new()
        .name("service".to_owned())
        .stack_size(STACK_BYTES);
    let run = move || {
        // The send fails if another attempt has answered the request.
        sender.send(services.call(address, &call)).ok();
    };
    if thread.spawn(run).is_err() {
        // Without a thread nothing was sent, which is equivalent to a failed connection.
        fallback.try_send(Err(Error::Connect)).ok();
    }
    receiver
}

fn wait(pending: &PendingRequest, attempts: &[Attempt], deadline: Instant) -> Wakeup {
    loop {
        let mut select = Select::new();
        select.recv(pending.signals());
        for attempt in attempts {
            select.recv(&attempt.reply);
        }
        let Ok(ready) = select.ready_deadline(deadline) else {
            return Wakeup::Deadline;
        };
        let Some(idx) = ready.checked_sub(1) else {
            if let Ok(signal) = pending.signals().try_recv() {
                return Wakeup::Signal(signal);
            }
            continue;
        };
        match attempts[idx].reply.try_recv() {
            Ok(result) => return Wakeup::Reply(idx, result),
            Err(err) if err.is_disconnected() => return Wakeup::Reply(idx, Err(Error::Unknown)),
            Err(_) => {}
        }
    }
}

/// Refusal when the deadline passes before a reply.
fn deadline_refusal(service_call: &ServiceCall<'_>, sent: bool) -> Refusal {
    match (sent, service_call.repeat) {
        (false, _) => Refusal::not_run(Reason::DeadlineExceeded),
        (true, Repeat::Idempotent) => Refusal::unknown(Reason::DeadlineExceeded),
        (true, Repeat::NonIdempotent) => Refusal::unknown(Reason::OutcomeUnknown),
    }
}

/// Replaces the reason by `outcome_unknown` if a non-idempotent call may have run, which its caller has to
/// handle.
fn outcome_refusal(service_call: &ServiceCall<'_>, refusal: Refusal) -> Refusal {
    match (service_call.repeat, refusal.ran) {
        (Repeat::NonIdempotent, Ran::Unknown) => Refusal::unknown(Reason::OutcomeUnknown),
        _ => refusal,
    }
}
