//! Publishing of a proposal.
//!
//! A proposal is appended to the log, and its outcome is the one recorded for its id when the log is applied.
//! If the reply to the append is lost, the publisher waits until the log has been read to its end, and
//! appends the proposal again only if it is not there. A proposal that is appended twice takes effect once.
//!
//! `now` is the time on the process's monotonic clock since an arbitrary start.

use std::time::Duration;

use model::object::Key;

use crate::check::ValidationError;
use crate::record::{self, Proposal, ProposalId, Record};
use crate::state::{ApplyResult, State};

/// Outcome of publishing a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal took effect.
    Accepted,
    /// Rejected: these objects changed since the author read them. The list is empty if only the outcome is
    /// known.
    Conflict(Vec<Key>),
    /// Rejected: the configuration would have these errors. The list is empty if only the outcome is known.
    Invalid(Vec<ValidationError>),
    /// The proposal is not in the log and will not appear there.
    NotPublished,
    /// The proposal may be in the log, or may still appear there.
    Unknown,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended,
    /// The append had no effect.
    NotAppended,
    /// The append may have taken effect.
    Unknown,
}

/// Next step of a [`Publisher`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this payload, then call [`Publisher::on_append_result`].
    Append(Vec<u8>),
    /// Nothing to do now.
    Wait,
    /// Publishing has ended with this outcome.
    Done(Outcome),
}

/// State machine that publishes one proposal.
#[derive(Debug, Clone)]
pub struct Publisher {
    id: ProposalId,
    payload: Vec<u8>,
    deadline: Duration,
    retry_delay: Duration,
    stage: Stage,
    /// Whether any append may have taken effect.
    append_effect: AppendEffect,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The next append is due at this time.
    Ready(Duration),
    /// An append is in progress.
    Appending,
    /// The record is in the log but has not been applied yet.
    Appended,
    /// The reply was lost. The log must be read to an end that was confirmed after this time.
    ReadingBack(Duration),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendEffect {
    None,
    Possible,
}

impl Publisher {
    /// Creates a publisher that gives up at `deadline` and waits for `retry_delay` after a failed append.
    pub fn new(proposal: Proposal, now: Duration, deadline: Duration, retry_delay: Duration) -> Self {
        Self {
            id: proposal.id,
            payload: Record::Proposal(proposal).to_bytes(),
            deadline,
            retry_delay,
            stage: Stage::Ready(now),
            append_effect: AppendEffect::None,
            outcome: None,
        }
    }

    /// Processes the result of applying a proposal.
    pub fn on_applied(&mut self, id: ProposalId, result: &ApplyResult) {
        if id != self.id || self.outcome.is_some() {
            return;
        }
        self.outcome = match result {
            ApplyResult::Accepted => Some(Outcome::Accepted),
            ApplyResult::Conflict(keys) => Some(Outcome::Conflict(keys.clone())),
            ApplyResult::Invalid(errors) => Some(Outcome::Invalid(errors.clone())),
            ApplyResult::Repeated(outcome) => Some((*outcome).into()),
            ApplyResult::Snapshot | ApplyResult::Malformed | ApplyResult::Skipped | ApplyResult::Gap => None,
        };
    }

    /// Processes the result of the append.
    pub fn on_append_result(&mut self, result: AppendResult, now: Duration) {
        if self.stage != Stage::Appending {
            return;
        }
        self.stage = match result {
            AppendResult::Appended => Stage::Appended,
            AppendResult::NotAppended => Stage::Ready(now + self.retry_delay),
            AppendResult::Unknown => Stage::ReadingBack(now),
        };
        if result != AppendResult::NotAppended {
            self.append_effect = AppendEffect::Possible;
        }
    }

    /// Returns the next step. `confirmed_at` is the time at which `state` was last known to be at the end of
    /// the log.
    pub fn step(&mut self, state: &State, confirmed_at: Option<Duration>, now: Duration) -> Step {
        let recorded = || state.outcome(self.id).map(Outcome::from);
        if let Some(outcome) = self.outcome.clone().or_else(recorded) {
            return Step::Done(outcome);
        }
        if now >= self.deadline {
            return Step::Done(self.outcome_at_deadline());
        }
        if let Stage::ReadingBack(since) = self.stage
            && confirmed_at.is_some_and(|it| it > since)
        {
            self.stage = Stage::Ready(now);
        }
        match self.stage {
            Stage::Ready(at) if now >= at => {
                self.stage = Stage::Appending;
                Step::Append(self.payload.clone())
            }
            _ => Step::Wait,
        }
    }

    fn outcome_at_deadline(&self) -> Outcome {
        if self.append_effect == AppendEffect::None && self.stage != Stage::Appending {
            return Outcome::NotPublished;
        }
        Outcome::Unknown
    }
}

impl From<record::Outcome> for Outcome {
    fn from(outcome: record::Outcome) -> Self {
        match outcome {
            record::Outcome::Accepted => Self::Accepted,
            record::Outcome::Conflict => Self::Conflict(Vec::new()),
            record::Outcome::Invalid => Self::Invalid(Vec::new()),
        }
    }
}
