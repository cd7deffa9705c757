//! Calls: submitted requests that have not ended, with their attempts.

use std::time::Duration;

use super::event::{Attempt, AttemptKind, Request};
use crate::admission::FlowId;
use crate::affinity::Slot;

/// A submitted request that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub request: Request,
    pub cost: u64,
    /// Flow of the organisation in the fair queue.
    pub flow: FlowId,
    pub phase: Phase,
    pub attempts: Vec<AttemptState>,
    /// Whether an attempt may have been executed by an upstream.
    pub may_have_run: bool,
    /// The attempt whose first token arrived first.
    pub winner: Option<u16>,
}

/// Phase of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Queued before its first attempt.
    Queued,
    /// One or two attempts are in flight.
    Running,
    /// Waiting for an engine with capacity for a further attempt.
    AwaitingRetry,
}

/// State of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptState {
    pub slot: Slot,
    pub sent: Duration,
    /// Time of the first token; until then the time of sending.
    pub started: Duration,
    pub progress: Progress,
    pub kind: AttemptKind,
}

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Sent,
    Started,
    Ended,
}

impl Call {
    pub fn new(request: Request, cost: u64, flow: FlowId) -> Self {
        Self {
            request,
            cost,
            flow,
            phase: Phase::Queued,
            attempts: Vec::new(),
            may_have_run: false,
            winner: None,
        }
    }

    /// Returns an attempt if it has not ended.
    pub fn unfinished(&mut self, number: u16) -> Option<&mut AttemptState> {
        let it = self.attempts.get_mut(usize::from(number))?;
        (it.progress != Progress::Ended).then_some(it)
    }

    /// Numbers of the attempts that have not ended.
    pub fn unfinished_numbers(&self) -> Vec<u16> {
        (0..self.attempts.len())
            .filter(|it| self.attempts[*it].progress != Progress::Ended)
            .map(|it| it as u16)
            .collect()
    }

    pub fn attempt_id(&self, number: u16) -> Attempt {
        Attempt {
            ticket: self.request.ticket,
            number,
        }
    }

    pub fn attempted_on(&self, slot: Slot) -> bool {
        self.attempts.iter().any(|it| it.slot == slot)
    }
}
