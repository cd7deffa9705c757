//! Publishing of a proposal, with its true verdict.
//!
//! A proposal is appended, and the verdict is what the fold of the log says about its id. When the reply to the
//! append is lost, the publisher first waits until the log has been read to its end, and appends the same proposal
//! again only if it is not there. An append that lands twice counts once.
//!
//! `now` is the time on the process's monotonic clock since an arbitrary start.

use std::time::Duration;

use model::object::Key;

use crate::check::Fault;
use crate::fold::{State, Verdict};
use crate::record::{self, Id, Proposal, Record};

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// In force.
    Accepted,
    /// Refused: these objects changed since the author saw them. The list is empty if only the outcome is known.
    Conflict(Vec<Key>),
    /// Refused: the configuration would have these faults. The list is empty if only the outcome is known.
    Invalid(Vec<Fault>),
    /// Not appended, and it will not be.
    NotPublished,
    /// It may have been appended, or may still be.
    Unknown,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The record is in the log.
    Appended,
    /// The append had no effect.
    Unavailable,
    /// The append may have taken effect.
    NoReply,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this payload and report with [`Publisher::replied`].
    Append(Vec<u8>),
    /// Nothing is to be done now.
    Wait,
    /// The outcome is known.
    Done(Outcome),
}

/// The publisher of one proposal.
#[derive(Debug, Clone)]
pub struct Publisher {
    id: Id,
    payload: Vec<u8>,
    deadline: Duration,
    retry: Duration,
    stage: Stage,
    /// Whether any append may have taken effect.
    exposure: Exposure,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// To be appended at this time.
    Ready(Duration),
    /// The append is under way.
    Appending,
    /// The record is in the log and will be folded.
    Appended,
    /// The reply was lost; the log has to be read to an end that was confirmed after this time.
    Reading(Duration),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exposure {
    None,
    Possible,
}

impl Publisher {
    /// Publishes until `deadline`; `retry` is the wait after a failed append.
    pub fn new(proposal: Proposal, now: Duration, deadline: Duration, retry: Duration) -> Self {
        Self {
            id: proposal.id,
            payload: Record::Proposal(proposal).to_bytes(),
            deadline,
            retry,
            stage: Stage::Ready(now),
            exposure: Exposure::None,
            outcome: None,
        }
    }

    /// Takes the verdict on a folded proposal.
    pub fn folded(&mut self, id: Id, verdict: &Verdict) {
        if id != self.id || self.outcome.is_some() {
            return;
        }
        self.outcome = match verdict {
            Verdict::Accepted => Some(Outcome::Accepted),
            Verdict::Conflict(keys) => Some(Outcome::Conflict(keys.clone())),
            Verdict::Invalid(faults) => Some(Outcome::Invalid(faults.clone())),
            Verdict::Repeated(outcome) => Some((*outcome).into()),
            Verdict::Snapshot | Verdict::Malformed | Verdict::Skipped | Verdict::Gap => None,
        };
    }

    /// Takes the result of the append.
    pub fn replied(&mut self, reply: Reply, now: Duration) {
        if self.stage != Stage::Appending {
            return;
        }
        self.stage = match reply {
            Reply::Appended => Stage::Appended,
            Reply::Unavailable => Stage::Ready(now + self.retry),
            Reply::NoReply => Stage::Reading(now),
        };
        if reply != Reply::Unavailable {
            self.exposure = Exposure::Possible;
        }
    }

    /// The next step. `confirmed` is the time at which `state` last held the end of the log for certain.
    pub fn step(&mut self, state: &State, confirmed: Option<Duration>, now: Duration) -> Step {
        let folded = || state.outcome(self.id).map(Outcome::from);
        if let Some(outcome) = self.outcome.clone().or_else(folded) {
            return Step::Done(outcome);
        }
        if now >= self.deadline {
            return Step::Done(self.given_up());
        }
        if let Stage::Reading(since) = self.stage
            && confirmed.is_some_and(|it| it > since)
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

    fn given_up(&self) -> Outcome {
        if self.exposure == Exposure::None && self.stage != Stage::Appending {
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
