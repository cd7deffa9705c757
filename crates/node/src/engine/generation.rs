//! The attempts of one generation.
//!
//! Tokens are counted, and a further attempt resumes after those that were delivered, so that the caller receives
//! each token once whatever number of engines took part.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use model::object::Version;
use model::refusal::Reason;
use model::{Class, Ran, Refusal, Tokens, Usage};
use platform::engine::{self, Error, Event, Message};

use super::attempt::{self, Item};
use crate::chat::answer::{Answer, Gone};
use crate::metrics::Retry;
use crate::shared::Shared;
use crate::upstreams::Upstream;

/// Greatest number of attempts.
const MAX_ATTEMPTS: usize = 3;

/// Interval at which a waiting answer checks whether its caller is still there.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// When to try again after all engines refused.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What to generate.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: String,
    pub version: Version,
    pub messages: Vec<Message>,
    pub max_tokens: Option<Tokens>,
    pub class: Class,
    pub deadline: Instant,
}

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// All tokens were delivered.
    Complete(Usage),
    /// The caller went away after this number of tokens.
    Gone(Tokens),
    /// No attempt completed the answer.
    Failed(Refusal),
}

/// How an attempt ended without a complete answer.
enum Failure {
    /// The engine failed.
    Engine(Error),
    /// The deadline passed.
    Deadline,
    /// The caller went away.
    Gone,
}

impl From<Error> for Failure {
    fn from(err: Error) -> Self {
        Self::Engine(err)
    }
}

impl From<Gone> for Failure {
    fn from(_: Gone) -> Self {
        Self::Gone
    }
}

/// Runs attempts until one completes the answer.
pub(crate) fn run(shared: &Shared, job: &Job, answer: &mut Answer) -> Outcome {
    let mut tried = Vec::new();
    let mut delivered = 0;
    let mut rng = shared.rng();
    let mut refusal = Refusal::not_run(Reason::NoUpstream).retry_after(RETRY_AFTER);
    while tried.len() < MAX_ATTEMPTS {
        let Some(assignment) = shared
            .upstreams
            .choose(&job.version.pool, &tried, shared.now(), &mut rng)
        else {
            break;
        };
        let upstream = &assignment.upstream;
        let err = match attempt(shared, job, upstream, &mut delivered, answer) {
            Ok(usage) => return Outcome::Complete(usage),
            Err(Failure::Gone) => return Outcome::Gone(delivered),
            Err(Failure::Deadline) => {
                return Outcome::Failed(Refusal::unknown(Reason::DeadlineExceeded));
            }
            Err(Failure::Engine(err)) => err,
        };
        note(shared, upstream, &err);
        shared.metrics.retry(reason(&err));
        tried.push(upstream.name.clone());
        refusal = combine(&refusal, &err);
    }
    Outcome::Failed(refusal)
}

fn attempt(
    shared: &Shared,
    job: &Job,
    upstream: &Upstream,
    delivered: &mut Tokens,
    answer: &mut Answer,
) -> Result<Usage, Failure> {
    let timeouts = &shared.settings.upstream;
    let events = attempt::start(
        &shared.ports.engines,
        upstream.address,
        request(shared, job, *delivered),
    );
    let mut patience = timeouts.connect_timeout + timeouts.first_token_timeout;
    loop {
        match next(&events, job.deadline, patience, answer)? {
            Event::Token { index, .. } if index < *delivered => {}
            Event::Token { index, .. } if index > *delivered => return Err(Error::Malformed.into()),
            Event::Token { text, .. } => {
                *delivered += 1;
                shared.metrics.tokens.inc();
                answer.push(&text)?;
            }
            // Tokens at the end are missing.
            Event::Done { usage } if usage.output > *delivered => return Err(Error::Malformed.into()),
            Event::Done { usage } => return Ok(usage),
        }
        patience = timeouts.progress_timeout;
    }
}

fn request(shared: &Shared, job: &Job, delivered: Tokens) -> engine::Request {
    let timeouts = &shared.settings.upstream;
    engine::Request {
        id: job.id.clone(),
        version: job.version.name.clone(),
        messages: job.messages.clone(),
        max_tokens: job.max_tokens,
        resume_after: delivered,
        class: job.class,
        connect_timeout: timeouts.connect_timeout,
        // The port has one time-out for all events; the shorter one between tokens is enforced here.
        progress_timeout: timeouts.first_token_timeout.max(timeouts.progress_timeout),
    }
}

fn next(
    events: &Receiver<Item>,
    deadline: Instant,
    patience: Duration,
    answer: &mut Answer,
) -> Result<Event, Failure> {
    let silent_at = Instant::now() + patience;
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Err(Failure::Deadline);
        }
        if now >= silent_at {
            return Err(Error::Silent.into());
        }
        let wait = KEEP_ALIVE.min(deadline - now).min(silent_at - now);
        match events.recv_timeout(wait) {
            Ok(item) => return Ok(item?),
            Err(RecvTimeoutError::Timeout) => answer.keep_alive()?,
            Err(RecvTimeoutError::Disconnected) => return Err(Error::Broken.into()),
        }
    }
}

/// Keeps what a failure says about the upstream.
fn note(shared: &Shared, upstream: &Upstream, err: &Error) {
    match err {
        Error::Refused(engine::Refusal::Leaving) => upstream.set_leaving(),
        Error::Refused(_) => {}
        Error::Connect | Error::Silent | Error::Broken | Error::Malformed => upstream.eject(shared.now()),
    }
}

fn reason(err: &Error) -> Retry {
    match err {
        Error::Connect => Retry::Connect,
        Error::Refused(engine::Refusal::Busy) => Retry::Busy,
        Error::Refused(engine::Refusal::Leaving) => Retry::Leaving,
        Error::Refused(_) => Retry::Refused,
        Error::Silent => Retry::Silent,
        Error::Broken => Retry::Broken,
        Error::Malformed => Retry::Malformed,
    }
}

/// The refusal after a further failure; once something may have run, every later refusal says so.
fn combine(earlier: &Refusal, err: &Error) -> Refusal {
    let next = match err {
        Error::Connect => Refusal::not_run(Reason::NoUpstream),
        Error::Refused(engine::Refusal::Busy) => Refusal::not_run(Reason::Overloaded),
        Error::Refused(_) => Refusal::not_run(Reason::NoUpstream),
        Error::Silent => Refusal::unknown(Reason::UpstreamSilent),
        Error::Broken | Error::Malformed => Refusal::unknown(Reason::UpstreamFailed),
    };
    let ran = match (earlier.ran, next.ran) {
        (Ran::No, Ran::No) => Ran::No,
        _ => Ran::Unknown,
    };
    Refusal { ran, ..next }.retry_after(RETRY_AFTER)
}
