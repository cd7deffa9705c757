//! Execution of a cascade plan. Answers that are rated before delivery are buffered; others are streamed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::object::Version;
use model::refusal::Reason;
use model::{Cost, Ran, Refusal, Tokens, Usage};
use policy::cascade::{Action, Plan, PlanProgress, Position, RatingMode, Verdict};
use policy::rollout::Event;
use ports::rating;

use super::answer::Answer;
use super::choice::Choice;
use super::cost;
use crate::engine::generation::{self, Job, Outcome as Generated};
use crate::engine::sink::Sink;
use crate::ratings::{self, Task};
use crate::shared::Shared;

/// Result of a plan.
#[derive(Debug)]
pub(super) enum Outcome {
    /// An answer was delivered; only [`Answer::finish`] remains.
    Complete(Bill),
    /// The caller disconnected.
    Disconnected(Bill),
    /// No step produced a complete answer.
    Failed(Refusal),
}

/// What the request is billed for.
#[derive(Debug)]
pub(super) struct Bill {
    pub version: Arc<Version>,
    pub usage: Usage,
    /// Cost of the steps whose answers were not delivered.
    pub rejected: Cost,
}

/// Complete answer of a step.
struct StepAnswer {
    text: String,
    usage: Usage,
}

/// A plan that is being executed.
pub(super) struct PlanExecutor<'a> {
    shared: &'a Shared,
    job: Job,
    /// Candidate versions of the plan.
    choice: Choice,
    /// Returns the token of a session that starts on a version.
    sign: &'a dyn Fn(&Version) -> String,
    progress: PlanProgress,
    answers: Vec<Option<StepAnswer>>,
    position: Position,
    refusal: Refusal,
}

impl<'a> PlanExecutor<'a> {
    /// Prepares the execution of a plan. Each step replaces the version of `job` by its own.
    pub(super) fn new(
        shared: &'a Shared,
        job: Job,
        choice: Choice,
        plan: Plan,
        sign: &'a dyn Fn(&Version) -> String,
    ) -> (Self, Action) {
        let due = shared.now() + job.deadline.saturating_duration_since(Instant::now());
        let answers = plan.steps.iter().map(|_| None).collect();
        let (progress, action) = PlanProgress::new(plan, due);
        let executor = Self {
            shared,
            job,
            choice,
            sign,
            progress,
            answers,
            position: Position::First,
            refusal: Refusal::not_run(Reason::NoUpstream),
        };
        (executor, action)
    }

    /// Executes the plan.
    pub(super) fn run(mut self, mut action: Action, answer: &mut Answer) -> Outcome {
        loop {
            action = match action {
                Action::Start(step) => match self.start(step, answer) {
                    Ok(action) => action,
                    Err(outcome) => return outcome,
                },
                Action::AwaitRating { step, until } => self.rate(step, until),
                Action::Deliver(step) => return self.deliver(step, answer),
                // Steps run one at a time, so `Wait` cannot be followed by a result of another step.
                Action::Wait | Action::Fail => return Outcome::Failed(self.refusal),
            }
        }
    }

    fn start(&mut self, step: usize, answer: &mut Answer) -> Result<Action, Outcome> {
        if step > 0 {
            self.shared.metrics.escalations.inc();
        }
        let Some(version) = self.live_version(step) else {
            self.refusal = Refusal::not_run(Reason::VersionWithdrawn);
            return Ok(self.progress.failed(step, 0, self.shared.now()));
        };
        self.job.version = Version::clone(&version);
        let mut text = String::new();
        let mut sink = match self.progress.plan().steps[step].rating_mode {
            RatingMode::BeforeDelivery(_) => Sink::Buffer(&mut text),
            RatingMode::AfterDelivery => {
                answer.set_version(&version.name, (self.sign)(&version));
                Sink::Tee(answer, &mut text)
            }
            RatingMode::Never => {
                answer.set_version(&version.name, (self.sign)(&version));
                Sink::Caller(answer)
            }
        };
        let start = Instant::now();
        let generated = generation::run(self.shared, &self.job, &mut sink);
        let now = self.shared.now();
        self.record_trial_event(&generated, start);
        match generated {
            Generated::Complete(usage) => {
                self.shared.latencies.add(&version.name, start.elapsed());
                self.answers[step] = Some(StepAnswer { text, usage });
                let spent = cost(&version, usage.input, usage.output);
                Ok(self.progress.answered(step, spent, now))
            }
            Generated::Disconnected(output) => Err(Outcome::Disconnected(self.partial_bill(version, output))),
            // Part of the answer was delivered, so another one cannot replace it.
            Generated::Failed(refusal) if answer.first_token().is_some() => Err(Outcome::Failed(refusal)),
            Generated::Failed(refusal) => {
                self.refusal = merge_refusals(&self.refusal, &refusal);
                Ok(self.progress.failed(step, 0, now))
            }
        }
    }

    fn rate(&mut self, step: usize, until: Duration) -> Action {
        let Some(task) = self.rating_task(step) else {
            return self.progress.rating_timed_out(step, self.shared.now());
        };
        let verdict = ratings::rate_before_delivery(self.shared, task);
        let time = until.saturating_sub(self.shared.now());
        match ratings::wait(&verdict, time) {
            Ok(verdict) => {
                if verdict == Verdict::Inadequate {
                    self.position = Position::AfterRejection;
                }
                self.progress.rated(step, verdict, self.shared.now())
            }
            Err(_) => self.progress.rating_timed_out(step, self.shared.now()),
        }
    }

    fn deliver(&mut self, step: usize, answer: &mut Answer) -> Outcome {
        let (Some(version), Some(answered)) = (self.version_of(step), &self.answers[step]) else {
            return Outcome::Failed(self.refusal.clone());
        };
        let bill = Bill {
            version: Arc::clone(&version),
            usage: answered.usage,
            rejected: self.progress.spend().rejected,
        };
        match self.progress.plan().steps[step].rating_mode {
            RatingMode::BeforeDelivery(_) => {
                answer.set_version(&version.name, (self.sign)(&version));
                if answer.push(&answered.text).is_err() {
                    return Outcome::Disconnected(bill);
                }
            }
            RatingMode::AfterDelivery => {
                if let Some(task) = self.rating_task(step) {
                    ratings::rate_after_delivery(self.shared, task);
                }
            }
            RatingMode::Never => {}
        }
        Outcome::Complete(bill)
    }

    /// Records the result of a generation as evidence for the roll-out trial, if there is one.
    fn record_trial_event(&self, generated: &Generated, start: Instant) {
        let Some(trial) = &self.choice.trial else {
            return;
        };
        trial.record(match generated {
            Generated::Complete(_) => Event::Answered {
                latency: start.elapsed(),
                // An answer is slow if it used more than half of the allowed time. The fraction matters
                // little, because only the two versions are compared.
                slow: start.elapsed() > self.job.deadline.saturating_duration_since(start) / 2,
            },
            // Neither a disconnected caller nor a request that never ran is evidence about the version.
            Generated::Disconnected(_) => Event::Lost,
            Generated::Failed(refusal) if refusal.ran == Ran::No => Event::Lost,
            Generated::Failed(_) => Event::Failed,
        });
    }

    /// Bill of an answer whose caller disconnected before its end.
    fn partial_bill(&self, version: Arc<Version>, output: Tokens) -> Bill {
        Bill {
            version,
            usage: Usage {
                input: self.job.prompt_tokens(),
                cached: 0,
                output,
            },
            rejected: self.progress.spend().rejected,
        }
    }

    fn rating_task(&self, step: usize) -> Option<Task> {
        let answered = self.answers[step].as_ref()?;
        Some(Task {
            request: rating::Request {
                id: self.job.id.clone(),
                version: self.progress.plan().steps[step].version.clone(),
                messages: self.job.messages.clone(),
                answer: answered.text.clone(),
            },
            organisation: self.job.organisation.clone(),
            class: self.job.class,
            position: self.position,
            trial: self.choice.trial.clone(),
        })
    }

    /// Version of a step, unless it was withdrawn while earlier steps ran.
    fn live_version(&self, step: usize) -> Option<Arc<Version>> {
        let version = self.version_of(step)?;
        let view = self.shared.config.view();
        (!view.is_withdrawn(&version.name)).then_some(version)
    }

    fn version_of(&self, step: usize) -> Option<Arc<Version>> {
        let name = &self.progress.plan().steps[step].version;
        self.choice.versions.iter().find(|it| it.name == *name).cloned()
    }
}

/// Returns the later refusal. It reports that the request may have run if either refusal does.
fn merge_refusals(earlier: &Refusal, later: &Refusal) -> Refusal {
    let ran = match (earlier.ran, later.ran) {
        (Ran::No, Ran::No) => Ran::No,
        _ => Ran::Unknown,
    };
    Refusal { ran, ..later.clone() }
}
