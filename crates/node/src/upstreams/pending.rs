//! Handle of a request that was submitted to a pool.

use std::sync::Arc;

use crossbeam::channel::Receiver;
use model::Upstream;
use policy::pool::{Attempt, Outcome, Request, Ticket};

use super::pool::{Signal, UpstreamPool};

/// Handle of a submitted request. Dropping it cancels the request unless it has ended.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pool: Arc<UpstreamPool>,
    ticket: Ticket,
    signals: Receiver<Signal>,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

impl PendingRequest {
    /// Submits a request under a new ticket; the ticket in `request` is ignored.
    pub(crate) fn submit(pool: &Arc<UpstreamPool>, request: Request) -> Self {
        let (ticket, signals) = pool.open_mailbox();
        pool.submit(Request { ticket, ..request });
        Self {
            pool: Arc::clone(pool),
            ticket,
            signals,
            state: State::Open,
        }
    }

    /// Signals of the pool to this request.
    pub(crate) fn signals(&self) -> &Receiver<Signal> {
        &self.signals
    }

    /// Reports the first token or byte of an attempt.
    pub(crate) fn started(&self, number: u16) {
        self.pool.started(self.attempt(number));
    }

    /// Reports the end of an attempt.
    pub(crate) fn ended(&mut self, number: u16, outcome: Outcome) {
        if let Outcome::Done(_) = outcome {
            self.state = State::Ended;
        }
        self.pool.ended(self.attempt(number), outcome);
    }

    /// Marks the request as ended after the pool refused it.
    pub(crate) fn refused(&mut self) {
        self.state = State::Ended;
    }

    /// Signals to all requests of the pool that a stream on `upstream` stalled, unless there are signals that this request
    /// has not handled. Returns whether it did.
    pub(crate) fn stalled(&self, upstream: &Upstream) -> bool {
        self.pool.stalled(upstream, &self.signals)
    }

    fn attempt(&self, number: u16) -> Attempt {
        Attempt {
            ticket: self.ticket,
            number,
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.pool.close_mailbox(self.ticket);
        if self.state == State::Open {
            self.pool.cancel(self.ticket);
        }
    }
}
