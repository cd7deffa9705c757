//! Attempts of a generation, as the pool's policy decides.
//!
//! Delivered tokens are counted and each later attempt resumes after them, so that the caller receives each
//! token once, however many engines took part. Of two concurrent attempts, the first to send a token
//! continues and the other is dropped.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Select};
use model::object::Version;
use model::object::service::Repeat;
use model::refusal::Reason;
use model::{Class, Name, Refusal, Tokens, Upstream, Usage, hash};
use policy::pool::{AttemptKind, Cause, Request};
use ports::engine::{self, Error, Event, Message};

use super::attempt::{self, Item};
use super::sink::Sink;
use crate::chat::answer::Disconnected;
use crate::shared::Shared;
use crate::upstreams::outcome;
use crate::upstreams::pending::PendingRequest;
use crate::upstreams::pool::Signal;

/// Interval between checks that the caller is still connected.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Retry delay if the pool is not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Approximate length of a token, to estimate prompts that no engine has counted yet.
const BYTES_PER_TOKEN: usize = 4;

/// A generation to run.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: String,
    pub organisation: Name,
    /// Weight of the organisation in the fair queue.
    pub weight: u32,
    pub version: Version,
    pub messages: Vec<Message>,
    pub max_tokens: Option<Tokens>,
    pub class: Class,
    pub deadline: Instant,
}

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// All tokens were delivered to the sink.
    Complete(Usage),
    /// The caller disconnected after this number of tokens.
    Disconnected(Tokens),
    /// No attempt completed the answer.
    Failed(Refusal),
}

/// A running attempt.
struct Attempt {
    number: u16,
    upstream: Upstream,
    events: Receiver<Item>,
    /// Time of the last token, or of the start before the first one.
    last_progress: Instant,
    /// Maximum time without progress.
    timeout: Duration,
    started: bool,
}

/// Event that ends a wait.
enum Wakeup {
    Signal(Signal),
    Item(usize, Item),
    Timeout,
}

/// A running generation.
struct Generation<'a, 'b> {
    shared: &'a Shared,
    job: &'a Job,
    pending: PendingRequest,
    sink: &'a mut Sink<'b>,
    attempts: Vec<Attempt>,
    /// Numbers of cancelled attempts; the signal to cancel may arrive before the signal to send.
    cancelled: Vec<u16>,
    delivered: Tokens,
    sent: bool,
    last_keep_alive: Instant,
}

impl Job {
    /// Estimated number of prompt tokens.
    pub(crate) fn prompt_tokens(&self) -> Tokens {
        let bytes: usize = self.messages.iter().map(|it| it.content.len()).sum();
        Tokens::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(Tokens::MAX)
    }

    /// Hash of the part that is constant in a conversation. Session tokens cannot identify one, because they
    /// are equal for all sessions of an organisation on the same version.
    fn conversation(&self) -> u64 {
        let first = self.messages.iter().find(|it| it.role == "user");
        let text = first.map_or("", |it| it.content.as_str());
        hash::stable(&[self.organisation.as_bytes(), b"/", text.as_bytes()].concat())
    }
}

/// Runs attempts until one completes the answer.
pub(crate) fn run(shared: &Shared, job: &Job, sink: &mut Sink<'_>) -> Outcome {
    let Some(pool) = shared.upstreams.pool(&shared.config.view(), &job.version.pool) else {
        return Outcome::Failed(Refusal::not_run(Reason::NoUpstream).retry_after(RETRY_AFTER));
    };
    let blocks = shared
        .ports
        .engines
        .block_hashes(&job.version.name, &job.messages);
    let request = Request {
        ticket: 0,
        organisation: job.organisation.clone(),
        weight: job.weight,
        class: job.class,
        deadline: shared.now() + job.deadline.saturating_duration_since(Instant::now()),
        repeat: Repeat::Idempotent,
        prompt: job.prompt_tokens(),
        output: pool.expected_output(job.class, job.max_tokens),
        session: (!blocks.is_empty()).then(|| job.conversation()),
        blocks,
    };
    let mut generation = Generation {
        shared,
        job,
        pending: PendingRequest::submit(&pool, request),
        sink,
        attempts: Vec::new(),
        cancelled: Vec::new(),
        delivered: 0,
        sent: false,
        last_keep_alive: Instant::now(),
    };
    let outcome = loop {
        let wakeup = generation.wait();
        if let Err(outcome) = generation.handle(wakeup) {
            break outcome;
        }
    };
    if let Outcome::Complete(usage) = outcome {
        pool.add_output(job.class, usage.output);
    }
    outcome
}

impl Generation<'_, '_> {
    fn wait(&self) -> Wakeup {
        let silent = self.attempts.iter().map(|it| it.last_progress + it.timeout);
        let until = silent.fold(
            self.job.deadline.min(self.last_keep_alive + KEEP_ALIVE),
            Instant::min,
        );
        // Signals first: the events of an attempt that has timed out are closed.
        if let Ok(signal) = self.pending.signals().try_recv() {
            return Wakeup::Signal(signal);
        }
        loop {
            let mut select = Select::new();
            select.recv(self.pending.signals());
            for it in &self.attempts {
                select.recv(&it.events);
            }
            let Ok(ready) = select.ready_deadline(until) else {
                return Wakeup::Timeout;
            };
            let Some(idx) = ready.checked_sub(1) else {
                if let Ok(signal) = self.pending.signals().try_recv() {
                    return Wakeup::Signal(signal);
                }
                continue;
            };
            match self.attempts[idx].events.try_recv() {
                Ok(item) => return Wakeup::Item(idx, item),
                Err(err) if err.is_disconnected() => return Wakeup::Item(idx, Err(Error::Broken)),
                Err(_) => {}
            }
        }
    }

    /// Handles an event. The error value is the outcome if the generation has ended.
    fn handle(&mut self, wakeup: Wakeup) -> Result<(), Outcome> {
        match wakeup {
            Wakeup::Signal(signal) => self.signal(signal)?,
            Wakeup::Item(idx, Ok(Event::Token { index, text })) => self.token(idx, index, &text)?,
            // The engine counts more tokens than it sent.
            Wakeup::Item(idx, Ok(Event::Done { usage })) if usage.output > self.delivered => {
                self.fail(idx, &Error::Malformed);
            }
            Wakeup::Item(idx, Ok(Event::Done { usage })) => {
                let number = self.attempts[idx].number;
                self.pending.ended(number, policy::pool::Outcome::Done(usage));
                return Err(Outcome::Complete(usage));
            }
            // The port and `check_time` may have the same time-out between tokens; what follows does not depend on which one
            // ends first. A late first token may mean a long queue, and signals nothing.
            Wakeup::Item(idx, Err(Error::Timeout)) if self.attempts[idx].started => {
                self.attempts[idx].timeout = Duration::ZERO;
            }
            Wakeup::Item(idx, Err(err)) => self.fail(idx, &err),
            Wakeup::Timeout => {}
        }
        self.check_time()
    }

    fn signal(&mut self, signal: Signal) -> Result<(), Outcome> {
        match signal {
            Signal::Send { number, .. } if self.cancelled.contains(&number) => {}
            Signal::Send {
                number,
                upstream,
                address,
                kind,
            } => {
                let view = self.shared.config.view();
                if !self.sent && view.is_withdrawn(&self.job.version.name) {
                    // The version was withdrawn while the request was queued.
                    return Err(Outcome::Failed(Refusal::not_run(Reason::VersionWithdrawn)));
                }
                let Some(address) = address else {
                    self.pending
                        .ended(number, policy::pool::Outcome::NotStarted(Cause::Connect));
                    return Ok(());
                };
                if kind == AttemptKind::Hedge {
                    self.shared.metrics.hedges.inc();
                }
                self.sent = true;
                let timeouts = &self.shared.settings.upstream;
                let request = self.request();
                self.attempts.push(Attempt {
                    number,
                    upstream,
                    events: attempt::start(&self.shared.ports.engines, address, request),
                    last_progress: Instant::now(),
                    timeout: timeouts.connect_timeout + timeouts.first_token_timeout,
                    started: false,
                });
            }
            Signal::Cancel(number) => {
                self.attempts.retain(|it| it.number != number);
                self.cancelled.push(number);
            }
            Signal::Refuse(refusal) => {
                self.pending.refused();
                return Err(Outcome::Failed(refusal));
            }
            Signal::Stalled(upstream) => self.move_away_from(&upstream),
        }
        Ok(())
    }

    fn token(&mut self, idx: usize, index: Tokens, text: &str) -> Result<(), Outcome> {
        let attempt = &mut self.attempts[idx];
        attempt.last_progress = Instant::now();
        attempt.timeout = self.shared.settings.upstream.progress_timeout;
        if !attempt.started {
            attempt.started = true;
            let number = attempt.number;
            self.pending.started(number);
            self.attempts.retain(|it| it.number == number);
        }
        if index < self.delivered {
            return Ok(());
        }
        if index > self.delivered {
            self.fail(0, &Error::Malformed);
            return Ok(());
        }
        self.delivered += 1;
        self.shared.metrics.tokens.inc();
        let delivered = self.delivered;
        self.sink
            .push(text)
            .map_err(|Disconnected| Outcome::Disconnected(delivered))
    }

    fn check_time(&mut self) -> Result<(), Outcome> {
        let now = Instant::now();
        if now >= self.job.deadline {
            let refusal = match self.sent {
                true => Refusal::unknown(Reason::DeadlineExceeded),
                false => Refusal::not_run(Reason::DeadlineExceeded),
            };
            return Err(Outcome::Failed(refusal));
        }
        if now >= self.last_keep_alive + KEEP_ALIVE {
            self.last_keep_alive = now;
            let delivered = self.delivered;
            self.sink
                .keep_alive()
                .map_err(|Disconnected| Outcome::Disconnected(delivered))?;
        }
        while let Some(idx) = self
            .attempts
            .iter()
            .position(|it| now >= it.last_progress + it.timeout)
        {
            // Another stream may have signalled the stall of this upstream; then this one moves for that reason.
            if !self.pending.stalled(&self.attempts[idx].upstream) {
                break;
            }
            self.fail(idx, &Error::Timeout);
        }
        Ok(())
    }

    /// Fails the attempts on an upstream where another stream stalled, unless they made progress recently.
    ///
    /// The threshold is half of the progress time-out. Connections that fail together made their last
    /// progress within one token interval of each other, so they are past this threshold when the first one
    /// times out; working connections are not.
    fn move_away_from(&mut self, upstream: &Upstream) {
        let bound = self.shared.settings.upstream.progress_timeout / 2;
        let affected = |it: &Attempt| it.upstream == *upstream && it.last_progress.elapsed() >= bound;
        while let Some(idx) = self.attempts.iter().position(affected) {
            self.shared.metrics.moved_streams.inc();
            self.fail(idx, &Error::Timeout);
        }
    }

    /// Ends an attempt and reports its failure; the policy decides whether to retry.
    fn fail(&mut self, idx: usize, err: &Error) {
        let attempt = self.attempts.swap_remove(idx);
        let (outcome, reason) = outcome::of_engine(err);
        self.shared.metrics.count_retry(reason);
        self.pending.ended(attempt.number, outcome);
    }

    fn request(&self) -> engine::Request {
        let timeouts = &self.shared.settings.upstream;
        engine::Request {
            id: self.job.id.clone(),
            version: self.job.version.name.clone(),
            messages: self.job.messages.clone(),
            max_tokens: self.job.max_tokens,
            resume_after: self.delivered,
            class: self.job.class,
            connect_timeout: timeouts.connect_timeout,
            // The port has a single time-out for all events; `check_time` enforces the shorter one between
            // tokens.
            progress_timeout: timeouts.first_token_timeout.max(timeouts.progress_timeout),
        }
    }
}
