//! A request that a group decides on.

use std::sync::Arc;

use crossbeam::channel::Receiver;
use model::Upstream;
use policy::pool::{Attempt, Outcome, Request, Ticket};

use super::group::{Group, Signal};

/// A request in a group; dropping it withdraws the request unless it has ended.
#[derive(Debug)]
pub(crate) struct Call {
    group: Arc<Group>,
    ticket: Ticket,
    signals: Receiver<Signal>,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

impl Call {
    /// Submits a request; its ticket is set here.
    pub(crate) fn submit(group: &Arc<Group>, request: Request) -> Self {
        let (ticket, signals) = group.open_mailbox();
        group.submit(Request { ticket, ..request });
        Self {
            group: Arc::clone(group),
            ticket,
            signals,
            state: State::Open,
        }
    }

    /// Notifications of the group to this request.
    pub(crate) fn signals(&self) -> &Receiver<Signal> {
        &self.signals
    }

    /// Reports the first token or byte of an attempt.
    pub(crate) fn started(&self, number: u16) {
        self.group.started(self.attempt(number));
    }

    /// Reports the end of an attempt.
    pub(crate) fn ended(&mut self, number: u16, outcome: Outcome) {
        if let Outcome::Done(_) = outcome {
            self.state = State::Ended;
        }
        self.group.ended(self.attempt(number), outcome);
    }

    /// Notes that the group refused the request.
    pub(crate) fn refused(&mut self) {
        self.state = State::Ended;
    }

    /// Notifies the other requests of the group that a stream on `upstream` went silent.
    pub(crate) fn stalled(&self, upstream: &Upstream) {
        self.group.stalled(upstream);
    }

    fn attempt(&self, number: u16) -> Attempt {
        Attempt {
            ticket: self.ticket,
            number,
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.group.close_mailbox(self.ticket);
        if self.state == State::Open {
            self.group.cancel(self.ticket);
        }
    }
}
