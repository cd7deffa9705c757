//! The attempts of one generation, as the pool's policy decides.
//!
//! Tokens are counted, and a further attempt resumes after those that were delivered, so that the caller receives
//! each token once whatever number of engines took part. Of two attempts at the same time, the first to send a token
//! goes on alone.

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
use crate::chat::answer::Gone;
use crate::shared::Shared;
use crate::upstreams::call::Call;
use crate::upstreams::group::Signal;
use crate::upstreams::outcome;

/// Interval at which a waiting answer checks whether its caller is still there.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// When to try again if the pool is not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Rough length of a token in bytes, for prompts that no engine has counted yet.
const BYTES_PER_TOKEN: usize = 4;

/// What to generate.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: String,
    pub organisation: Name,
    /// Share of the organisation.
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
    /// All tokens were delivered.
    Complete(Usage),
    /// The caller went away after this number of tokens.
    Gone(Tokens),
    /// No attempt completed the answer.
    Failed(Refusal),
}

/// An attempt under way.
struct Attempt {
    number: u16,
    upstream: Upstream,
    events: Receiver<Item>,
    /// When it was sent or sent its last token.
    progress: Instant,
    /// Longest time without progress.
    timeout: Duration,
    started: bool,
}

/// What happened next.
enum Wake {
    Signal(Signal),
    Item(usize, Item),
    Time,
}

/// A generation under way.
struct Generation<'a, 'b> {
    shared: &'a Shared,
    job: &'a Job,
    call: Call,
    sink: &'a mut Sink<'b>,
    attempts: Vec<Attempt>,
    /// Numbers of attempts that were cancelled, possibly before the order to send them arrived.
    cancelled: Vec<u16>,
    delivered: Tokens,
    sent: bool,
    checked: Instant,
}

impl Job {
    /// Rough number of tokens of the prompt.
    pub(crate) fn prompt_tokens(&self) -> Tokens {
        let bytes: usize = self.messages.iter().map(|it| it.content.len()).sum();
        Tokens::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(Tokens::MAX)
    }

    /// Hash of what stays the same in a conversation. Session tokens do not serve, as they are equal for all sessions
    /// of an organisation on one version.
    fn conversation(&self) -> u64 {
        let first = self.messages.iter().find(|it| it.role == "user");
        let text = first.map_or("", |it| it.content.as_str());
        hash::stable(&[self.organisation.as_bytes(), b"/", text.as_bytes()].concat())
    }
}

/// Runs attempts until one completes the answer.
pub(crate) fn run(shared: &Shared, job: &Job, sink: &mut Sink<'_>) -> Outcome {
    let Some(group) = shared.upstreams.group(&shared.config.view(), &job.version.pool) else {
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
        output: group.expected_output(job.class, job.max_tokens),
        session: (!blocks.is_empty()).then(|| job.conversation()),
        blocks,
    };
    let mut generation = Generation {
        shared,
        job,
        call: Call::submit(&group, request),
        sink,
        attempts: Vec::new(),
        cancelled: Vec::new(),
        delivered: 0,
        sent: false,
        checked: Instant::now(),
    };
    let outcome = loop {
        let wake = generation.wait();
        if let Err(outcome) = generation.take(wake) {
            break outcome;
        }
    };
    if let Outcome::Complete(usage) = outcome {
        group.add_output(job.class, usage.output);
    }
    outcome
}

impl Generation<'_, '_> {
    fn wait(&self) -> Wake {
        let silent = self.attempts.iter().map(|it| it.progress + it.timeout);
        let until = silent.fold(self.job.deadline.min(self.checked + KEEP_ALIVE), Instant::min);
        loop {
            let mut select = Select::new();
            select.recv(self.call.signals());
            for it in &self.attempts {
                select.recv(&it.events);
            }
            let Ok(ready) = select.ready_deadline(until) else {
                return Wake::Time;
            };
            let Some(idx) = ready.checked_sub(1) else {
                if let Ok(signal) = self.call.signals().try_recv() {
                    return Wake::Signal(signal);
                }
                continue;
            };
            match self.attempts[idx].events.try_recv() {
                Ok(item) => return Wake::Item(idx, item),
                Err(err) if err.is_disconnected() => return Wake::Item(idx, Err(Error::Broken)),
                Err(_) => {}
            }
        }
    }

    /// Acts on an event; the error is the end of the generation.
    fn take(&mut self, wake: Wake) -> Result<(), Outcome> {
        match wake {
            Wake::Signal(signal) => self.signal(signal)?,
            Wake::Item(idx, Ok(Event::Token { index, text })) => self.token(idx, index, &text)?,
            // Tokens at the end are missing.
            Wake::Item(idx, Ok(Event::Done { usage })) if usage.output > self.delivered => {
                self.fail(idx, &Error::Malformed);
            }
            Wake::Item(idx, Ok(Event::Done { usage })) => {
                let number = self.attempts[idx].number;
                self.call.ended(number, policy::pool::Outcome::Done(usage));
                return Err(Outcome::Complete(usage));
            }
            Wake::Item(idx, Err(err)) => self.fail(idx, &err),
            Wake::Time => {}
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
                    // The withdrawal came while the request was queued.
                    return Err(Outcome::Failed(Refusal::not_run(Reason::VersionWithdrawn)));
                }
                let Some(address) = address else {
                    self.call
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
                    progress: Instant::now(),
                    timeout: timeouts.connect_timeout + timeouts.first_token_timeout,
                    started: false,
                });
            }
            Signal::Cancel(number) => {
                self.attempts.retain(|it| it.number != number);
                self.cancelled.push(number);
            }
            Signal::Refuse(refusal) => {
                self.call.refused();
                return Err(Outcome::Failed(refusal));
            }
            Signal::Stalled(upstream) => self.move_from(&upstream),
        }
        Ok(())
    }

    fn token(&mut self, idx: usize, index: Tokens, text: &str) -> Result<(), Outcome> {
        let attempt = &mut self.attempts[idx];
        attempt.progress = Instant::now();
        attempt.timeout = self.shared.settings.upstream.progress_timeout;
        if !attempt.started {
            attempt.started = true;
            let number = attempt.number;
            self.call.started(number);
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
        self.sink.push(text).map_err(|Gone| Outcome::Gone(delivered))
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
        if now >= self.checked + KEEP_ALIVE {
            self.checked = now;
            let delivered = self.delivered;
            self.sink.keep_alive().map_err(|Gone| Outcome::Gone(delivered))?;
        }
        while let Some(idx) = self
            .attempts
            .iter()
            .position(|it| now >= it.progress + it.timeout)
        {
            let upstream = self.attempts[idx].upstream.clone();
            self.fail(idx, &Error::Timeout);
            self.call.stalled(&upstream);
        }
        Ok(())
    }

    /// Moves away from an upstream on which another stream went silent, unless there was progress lately.
    ///
    /// Half of the time between tokens tells connections that went silent together from those that work: the
    /// former had their last progress within one token's time of each other.
    fn move_from(&mut self, upstream: &Upstream) {
        let bound = self.shared.settings.upstream.progress_timeout / 2;
        let affected = |it: &Attempt| it.upstream == *upstream && it.progress.elapsed() >= bound;
        while let Some(idx) = self.attempts.iter().position(affected) {
            self.shared.metrics.moved_streams.inc();
            self.fail(idx, &Error::Timeout);
        }
    }

    /// Ends an attempt and reports why; the policy decides what follows.
    fn fail(&mut self, idx: usize, err: &Error) {
        let attempt = self.attempts.swap_remove(idx);
        let (outcome, reason) = outcome::of_engine(err);
        self.shared.metrics.count_retry(reason);
        self.call.ended(attempt.number, outcome);
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
            // The port has one time-out for all events; the shorter one between tokens is enforced here.
            progress_timeout: timeouts.first_token_timeout.max(timeouts.progress_timeout),
        }
    }
}
