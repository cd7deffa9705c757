//! State of a request that has not ended.

use std::time::Duration;

use super::event::{Attempt, Kind, Request};
use crate::admission::FlowId;
use crate::affinity::Slot;

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub request: Request,
    pub cost: u64,
    /// Account of the organisation within the class.
    pub flow: FlowId,
    pub phase: Phase,
    pub tries: Vec<Try>,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Attempt whose first token arrived first.
    pub winner: Option<u16>,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// In the queue, before its first attempt.
    Queued,
    /// At one or two upstreams.
    Running,
    /// Waiting for a place for a further attempt.
    Waiting,
}

/// An attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Try {
    pub slot: Slot,
    pub sent: Duration,
    /// Time of the first token; the time of sending before it.
    pub started: Duration,
    pub progress: Progress,
    pub kind: Kind,
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
            tries: Vec::new(),
            may_have_run: false,
            winner: None,
        }
    }

    /// The attempt, if it has not ended.
    pub fn live(&mut self, number: u16) -> Option<&mut Try> {
        let it = self.tries.get_mut(usize::from(number))?;
        (it.progress != Progress::Ended).then_some(it)
    }

    /// Numbers of the attempts that have not ended.
    pub fn live_numbers(&self) -> Vec<u16> {
        (0..self.tries.len())
            .filter(|it| self.tries[*it].progress != Progress::Ended)
            .map(|it| it as u16)
            .collect()
    }

    pub fn attempt(&self, number: u16) -> Attempt {
        Attempt {
            ticket: self.request.ticket,
            number,
        }
    }

    pub fn tried(&self, slot: Slot) -> bool {
        self.tries.iter().any(|it| it.slot == slot)
    }
}
