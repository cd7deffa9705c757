//! The steps of a plan: rated answers are held back, the last one is streamed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::object::Version;
use model::refusal::Reason;
use model::{Cost, Ran, Refusal, Tokens, Usage};
use policy::cascade::{Action, Execution, Plan, Position, RatingMode, Verdict};
use policy::rollout::Event;
use ports::rating;

use super::answer::Answer;
use super::choice::Choice;
use super::cost;
use crate::engine::generation::{self, Job, Outcome as Generated};
use crate::engine::sink::Sink;
use crate::ratings::{self, Task};
use crate::shared::Shared;

/// How a request ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The answer of a version was delivered, except for its last part.
    Complete(Bill),
    /// The caller went away.
    Gone(Bill),
    /// There is no answer.
    Failed(Refusal),
}

/// What is billed.
#[derive(Debug)]
pub(super) struct Bill {
    pub version: Arc<Version>,
    pub usage: Usage,
    /// Cost of the steps whose answer was not delivered.
    pub rejected: Cost,
}

/// A step with its answer.
struct Answered {
    text: String,
    usage: Usage,
}

/// A plan under way.
pub(super) struct Steps<'a> {
    shared: &'a Shared,
    job: Job,
    /// Candidates of the plan.
    choice: Choice,
    /// Signs a session that starts on a version.
    sign: &'a dyn Fn(&Version) -> String,
    run: Execution,
    answered: Vec<Option<Answered>>,
    position: Position,
    refusal: Refusal,
}

impl<'a> Steps<'a> {
    /// Prepares a plan; the version of `job` is replaced by that of each step.
    pub(super) fn new(
        shared: &'a Shared,
        job: Job,
        choice: Choice,
        plan: Plan,
        sign: &'a dyn Fn(&Version) -> String,
    ) -> (Self, Action) {
        let due = shared.now() + job.deadline.saturating_duration_since(Instant::now());
        let answered = plan.steps.iter().map(|_| None).collect();
        let (run, action) = Execution::new(plan, due);
        let steps = Self {
            shared,
            job,
            choice,
            sign,
            run,
            answered,
            position: Position::First,
            refusal: Refusal::not_run(Reason::NoUpstream),
        };
        (steps, action)
    }

    /// Carries the plan out.
    pub(super) fn run(mut self, mut action: Action, answer: &mut Answer) -> Outcome {
        loop {
            action = match action {
                Action::Start(step) => match self.start(step, answer) {
                    Ok(action) => action,
                    Err(outcome) => return outcome,
                },
                Action::AwaitRating { step, until } => self.rate(step, until),
                Action::Deliver(step) => return self.deliver(step, answer),
                // One step runs at a time, so there is nothing to wait for.
                Action::Wait | Action::Fail => return Outcome::Failed(self.refusal),
            }
        }
    }

    fn start(&mut self, step: usize, answer: &mut Answer) -> Result<Action, Outcome> {
        if step > 0 {
            self.shared.metrics.escalations.inc();
        }
        let Some(version) = self.version(step) else {
            self.refusal = Refusal::not_run(Reason::VersionWithdrawn);
            return Ok(self.run.failed(step, 0, self.shared.now()));
        };
        self.job.version = Version::clone(&version);
        let mut text = String::new();
        let mut sink = match self.run.plan().steps[step].rating_mode {
            RatingMode::BeforeDelivery(_) => Sink::Held(&mut text),
            RatingMode::AfterDelivery => {
                answer.answer_with(&version.name, (self.sign)(&version));
                Sink::Copied(answer, &mut text)
            }
            RatingMode::Never => {
                answer.answer_with(&version.name, (self.sign)(&version));
                Sink::Caller(answer)
            }
        };
        let start = Instant::now();
        let generated = generation::run(self.shared, &self.job, &mut sink);
        let now = self.shared.now();
        self.note(&generated, start);
        match generated {
            Generated::Complete(usage) => {
                self.shared.latencies.add(&version.name, start.elapsed());
                self.answered[step] = Some(Answered { text, usage });
                let spent = cost(&version, usage.input, usage.output);
                Ok(self.run.answered(step, spent, now))
            }
            Generated::Gone(output) => Err(Outcome::Gone(self.partial(version, output))),
            // Part of the answer was delivered, so no other one can follow.
            Generated::Failed(refusal) if answer.first_token().is_some() => Err(Outcome::Failed(refusal)),
            Generated::Failed(refusal) => {
                self.refusal = worse(&self.refusal, &refusal);
                Ok(self.run.failed(step, 0, now))
            }
        }
    }

    fn rate(&mut self, step: usize, until: Duration) -> Action {
        let Some(task) = self.task(step) else {
            return self.run.rating_timed_out(step, self.shared.now());
        };
        let verdict = ratings::gate(self.shared, task);
        let time = until.saturating_sub(self.shared.now());
        match ratings::wait(&verdict, time) {
            Ok(verdict) => {
                if verdict == Verdict::Inadequate {
                    self.position = Position::AfterRejection;
                }
                self.run.rated(step, verdict, self.shared.now())
            }
            Err(_) => self.run.rating_timed_out(step, self.shared.now()),
        }
    }

    fn deliver(&mut self, step: usize, answer: &mut Answer) -> Outcome {
        let (Some(version), Some(answered)) = (self.version_of(step), &self.answered[step]) else {
            return Outcome::Failed(self.refusal.clone());
        };
        let bill = Bill {
            version: Arc::clone(&version),
            usage: answered.usage,
            rejected: self.run.spend().rejected,
        };
        match self.run.plan().steps[step].rating_mode {
            RatingMode::BeforeDelivery(_) => {
                answer.answer_with(&version.name, (self.sign)(&version));
                if answer.push(&answered.text).is_err() {
                    return Outcome::Gone(bill);
                }
            }
            RatingMode::AfterDelivery => {
                if let Some(task) = self.task(step) {
                    ratings::sample(self.shared, task);
                }
            }
            RatingMode::Never => {}
        }
        Outcome::Complete(bill)
    }

    /// Records the end of a request that is evidence for a roll-out.
    fn note(&self, generated: &Generated, start: Instant) {
        let Some(trial) = &self.choice.trial else {
            return;
        };
        trial.record(match generated {
            Generated::Complete(_) => Event::Answered {
                latency: start.elapsed(),
                // Half of the time allowed is gone; only the comparison of both versions counts.
                slow: start.elapsed() > self.job.deadline.saturating_duration_since(start) / 2,
            },
            // Neither says anything about the version.
            Generated::Gone(_) => Event::Lost,
            Generated::Failed(refusal) if refusal.ran == Ran::No => Event::Lost,
            Generated::Failed(_) => Event::Failed,
        });
    }

    /// Bill of an answer that its caller cut off.
    fn partial(&self, version: Arc<Version>, output: Tokens) -> Bill {
        Bill {
            version,
            usage: Usage {
                input: self.job.prompt_tokens(),
                cached: 0,
                output,
            },
            rejected: self.run.spend().rejected,
        }
    }

    fn task(&self, step: usize) -> Option<Task> {
        let answered = self.answered[step].as_ref()?;
        Some(Task {
            request: rating::Request {
                id: self.job.id.clone(),
                version: self.run.plan().steps[step].version.clone(),
                messages: self.job.messages.clone(),
                answer: answered.text.clone(),
            },
            organisation: self.job.organisation.clone(),
            class: self.job.class,
            position: self.position,
            trial: self.choice.trial.clone(),
        })
    }

    /// The version of a step, unless it was withdrawn while earlier steps ran.
    fn version(&self, step: usize) -> Option<Arc<Version>> {
        let version = self.version_of(step)?;
        let view = self.shared.config.view();
        (!view.is_withdrawn(&version.name)).then_some(version)
    }

    fn version_of(&self, step: usize) -> Option<Arc<Version>> {
        let name = &self.run.plan().steps[step].version;
        self.choice.versions.iter().find(|it| it.name == *name).cloned()
    }
}

/// The later refusal; once something may have run, every later refusal says so.
fn worse(earlier: &Refusal, later: &Refusal) -> Refusal {
    let ran = match (earlier.ran, later.ran) {
        (Ran::No, Ran::No) => Ran::No,
        _ => Ran::Unknown,
    };
    Refusal { ran, ..later.clone() }
}
