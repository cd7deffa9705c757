//! Calls to plain services through the pool's policy.
//!
//! Each attempt runs on a thread of its own, so that an idempotent call can be hedged and a deadline ends the wait.
//! The policy never hedges a non-idempotent call, and resends it only if it is proven that it was not started.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Select, bounded};
use model::object::service::Repeat;
use model::refusal::Reason;
use model::{Class, Name, Ran, Refusal, Usage};
use policy::pool::{AttemptKind, Cause, Outcome, Request};
use ports::service::{Call, Error, Reply};

use crate::shared::Shared;
use crate::upstreams::call::Call as Submitted;
use crate::upstreams::group::Signal;
use crate::upstreams::outcome;

/// Stack of a thread that waits for a reply.
const STACK_BYTES: usize = 256 << 10;

/// When to try again if the pool is not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plain<'a> {
    /// Pool of the service's instances.
    pub pool: &'a Name,
    /// Organisation that calls.
    pub organisation: &'a Name,
    /// Its share.
    pub weight: u32,
    /// Whether the call may be sent more than once.
    pub repeat: Repeat,
    /// When the reply must be there.
    pub deadline: Instant,
    /// What to send.
    pub call: &'a Call,
}

/// An attempt without a reply.
struct Attempt {
    number: u16,
    reply: Receiver<Result<Reply, Error>>,
}

/// What happened next.
enum Wake {
    Signal(Signal),
    Reply(usize, Result<Reply, Error>),
    Deadline,
}

/// Sends the call as the policy decides and returns its reply.
///
/// # Errors
/// Any refusal; `ran: "no"` if nothing was or will be executed.
pub(crate) fn run(shared: &Shared, plain: &Plain<'_>) -> Result<Reply, Refusal> {
    let group = shared.upstreams.group(&shared.config.view(), plain.pool);
    let group = group.ok_or(Refusal::not_run(Reason::NoUpstream).retry_after(RETRY_AFTER))?;
    let mut submitted = Submitted::submit(&group, request(shared, plain));
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut cancelled = Vec::new();
    let mut sent = false;
    loop {
        match wait(&submitted, &attempts, plain.deadline) {
            Wake::Deadline => return Err(overdue(plain, sent)),
            Wake::Signal(Signal::Refuse(refusal)) => {
                submitted.refused();
                return Err(refine(plain, refusal));
            }
            Wake::Signal(Signal::Cancel(number)) => {
                attempts.retain(|it| it.number != number);
                cancelled.push(number);
            }
            // Each call has a connection of its own and a bound on its whole time.
            Wake::Signal(Signal::Stalled(_)) => {}
            Wake::Signal(Signal::Send { number, .. }) if cancelled.contains(&number) => {}
            Wake::Signal(Signal::Send {
                number,
                address: None,
                ..
            }) => submitted.ended(number, Outcome::NotStarted(Cause::Connect)),
            Wake::Signal(Signal::Send {
                number,
                address: Some(address),
                kind,
                ..
            }) => {
                if kind == AttemptKind::Hedge {
                    shared.metrics.hedges.inc();
                }
                sent = true;
                let reply = start(shared, plain, address);
                attempts.push(Attempt { number, reply });
            }
            Wake::Reply(idx, result) => {
                let number = attempts.swap_remove(idx).number;
                match result {
                    Ok(reply) => {
                        submitted.started(number);
                        submitted.ended(number, Outcome::Done(Usage::default()));
                        return Ok(reply);
                    }
                    Err(err) => {
                        let (outcome, reason) = outcome::of_service(&err);
                        shared.metrics.count_retry(reason);
                        submitted.ended(number, outcome);
                    }
                }
            }
        }
    }
}

fn request(shared: &Shared, plain: &Plain<'_>) -> Request {
    Request {
        ticket: 0,
        organisation: plain.organisation.clone(),
        weight: plain.weight,
        class: Class::Transaction,
        deadline: shared.now() + plain.deadline.saturating_duration_since(Instant::now()),
        repeat: plain.repeat,
        prompt: 0,
        output: 0,
        blocks: Vec::new(),
        session: None,
    }
}

fn start(
    shared: &Shared,
    plain: &Plain<'_>,
    address: std::net::SocketAddr,
) -> Receiver<Result<Reply, Error>> {
    let (sender, receiver) = bounded(1);
    let services = Arc::clone(&shared.ports.services);
    let mut call = plain.call.clone();
    call.timeout = call
        .timeout
        .min(plain.deadline.saturating_duration_since(Instant::now()));
    let fallback = sender.clone();
    let thread = std::thread::Builder::new()
        .name("service".to_owned())
        .stack_size(STACK_BYTES);
    let run = move || {
        // The request may have got its answer from another attempt.
        sender.send(services.call(address, &call)).ok();
    };
    if thread.spawn(run).is_err() {
        // Without a thread nothing was sent, as if the connection had failed.
        fallback.try_send(Err(Error::Connect)).ok();
    }
    receiver
}

fn wait(submitted: &Submitted, attempts: &[Attempt], deadline: Instant) -> Wake {
    loop {
        let mut select = Select::new();
        select.recv(submitted.signals());
        for attempt in attempts {
            select.recv(&attempt.reply);
        }
        let Ok(ready) = select.ready_deadline(deadline) else {
            return Wake::Deadline;
        };
        let Some(idx) = ready.checked_sub(1) else {
            if let Ok(signal) = submitted.signals().try_recv() {
                return Wake::Signal(signal);
            }
            continue;
        };
        match attempts[idx].reply.try_recv() {
            Ok(result) => return Wake::Reply(idx, result),
            Err(err) if err.is_disconnected() => return Wake::Reply(idx, Err(Error::Unknown)),
            Err(_) => {}
        }
    }
}

/// The answer when the deadline passes first.
fn overdue(plain: &Plain<'_>, sent: bool) -> Refusal {
    match (sent, plain.repeat) {
        (false, _) => Refusal::not_run(Reason::DeadlineExceeded),
        (true, Repeat::Idempotent) => Refusal::unknown(Reason::DeadlineExceeded),
        (true, Repeat::NonIdempotent) => Refusal::unknown(Reason::OutcomeUnknown),
    }
}

/// Names the reason that a caller of a non-idempotent call acts on.
fn refine(plain: &Plain<'_>, refusal: Refusal) -> Refusal {
    match (plain.repeat, refusal.ran) {
        (Repeat::NonIdempotent, Ran::Unknown) => Refusal::unknown(Reason::OutcomeUnknown),
        _ => refusal,
    }
}
