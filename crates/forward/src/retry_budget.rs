//! The part of the fleet's retry budget that one node may use.
//!
//! The platform limits the retries to a service, that is arrivals beyond the first of each request, summed over all
//! nodes: in each window they are at most a ratio of the requests plus a fixed slack. The requests are those of that
//! window, of the one before it or of the one half a window before it, whichever has most.
//!
//! Nodes need no messages for the sum to hold. The largest of several sums is at least any weighted mean of them with
//! the same weights everywhere, and such a mean adds up over nodes, while the largest sum of each node does not: one
//! node's callers may have been there in one span, another's in the next. So each node keeps its retries in *each*
//! window within the ratio of
//!
//! > [`OWN_WEIGHT`] x its requests of the window + [`EARLIER_WEIGHT`] x its requests half a window earlier,
//!
//! plus its part of the slack (see [`crate::fleet_part`]). A large weight of the window itself uses more of the budget
//! while traffic grows, as at its begin; the rest is what may be used at once, before further requests come.
//!
//! A retry arrives some time after it was reserved. It counts in all windows that it may arrive in.

use std::time::Duration;

use crate::BootTime;

use ledger::Ledger;

mod inquiry;
mod ledger;
mod reservation;

pub use inquiry::Inquiry;
pub use reservation::Reservation;

/// Weight of the requests of a window itself. It must be the same at all nodes.
pub const OWN_WEIGHT: f64 = 0.8;

/// Weight of the requests half a window earlier.
pub const EARLIER_WEIGHT: f64 = 1.0 - OWN_WEIGHT;

/// The limit for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The previous attempt failed.
    Failure,
    /// The response could be returned, but a larger model would give a better one.
    Quality,
    /// Another node, whose part is used up, needs it for a request that would fail.
    Peer,
}

/// What a node may use of the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Part of the slack, from 0 to 1.
    pub slack: f64,
    /// Part of the ratio for the node's own requests, from 0 to 1.
    pub ratio: f64,
}

impl Part {
    /// Largest part of the ratio that nodes of older builds spend, see [`Self::RATIO_BESIDE_OLDER`].
    const OLDER_FRACTION: f64 = 0.9;

    /// Part of the ratio for a node beside older ones, which take the ratio of their own last window at any moment.
    ///
    /// Their callers may be counted in another window than those of the newer nodes, so what they spend is not justified
    /// by the requests of the window in which the others spend. How many requests they have is not known here. Least is
    /// left if they have as many in the window before as the newer nodes have in this one.
    pub const RATIO_BESIDE_OLDER: f64 = 1.0 - Self::OLDER_FRACTION;
}

/// A retry that the budget does not allow, with the window that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Denial {
    /// Time since the begin of the window; zero if it begins now or later.
    pub age: Duration,
    /// Retries of this node in the window.
    pub spent: u64,
    /// Requests to this node in the window and in the half before it.
    pub requests: u64,
    /// Retries that would have been allowed.
    pub allowed: f64,
}

/// Retry budget of this node for one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limit: RetryLimit,
    ledger: Ledger,
}

impl RetryBudget {
    /// Fraction available for [`RetryReason::Quality`]; the rest is reserved for requests that would
    /// otherwise fail.
    const QUALITY_FRACTION: f64 = 0.8;

    /// Fraction available for [`RetryReason::Peer`]; the rest is kept for this node's own requests.
    const PEER_FRACTION: f64 = 0.75;

    /// A budget of which nothing is used.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            ledger: Ledger::new(limit.window),
        }
    }

    /// The limit for the whole fleet.
    pub fn limit(&self) -> RetryLimit {
        self.limit
    }

    /// Replaces the limit; what was counted is kept.
    pub fn replace_limit(&mut self, limit: RetryLimit) {
        self.ledger.set_window(limit.window);
        self.limit = limit;
    }

    /// Counts a request that arrived at `at`, which may lie in the past.
    pub fn record_request(&mut self, at: BootTime, now: BootTime) {
        self.ledger.record_request(at, now);
    }

    /// Reserves a retry.
    ///
    /// # Errors
    /// The budget does not allow it.
    pub fn try_reserve(
        &mut self,
        reason: RetryReason,
        part: Part,
        now: BootTime,
    ) -> Result<Reservation, Denial> {
        let reservation = Reservation::begin(now);
        let fraction = match reason {
            RetryReason::Failure => 1.0,
            RetryReason::Quality => Self::QUALITY_FRACTION,
            RetryReason::Peer => Self::PEER_FRACTION,
        };
        let slack = part.slack * self.limit.slack;
        let ratio = part.ratio * self.limit.ratio;
        let is_denied =
            |it: &ledger::Usage| it.spent as f64 + 1.0 > fraction * (ratio * it.weighted_requests + slack);
        let span = reservation.span();
        let denied = self.ledger.usages(span.clone(), now).find(is_denied);
        if let Some(usage) = denied {
            return Err(Denial {
                age: now.saturating_sub(usage.begin),
                spent: usage.spent,
                requests: usage.requests,
                allowed: fraction * (ratio * usage.weighted_requests + slack),
            });
        }
        self.ledger.add(span);
        Ok(reservation)
    }

    /// Records that a retry is being sent, so that it arrives soon.
    pub fn record_sent(&mut self, reservation: &Reservation, now: BootTime) {
        self.ledger.remove(reservation.span());
        self.ledger.add(Reservation::span_after_sending(now));
    }

    /// Returns a reservation for which nothing was sent.
    pub fn release(&mut self, reservation: &Reservation) {
        self.ledger.remove(reservation.span());
    }

    /// Retries of this node, and requests to it, in the window that ends now.
    pub fn current(&self, now: BootTime) -> (u64, u64) {
        let usage = self.ledger.current(now);
        (usage.spent, usage.requests)
    }
}
