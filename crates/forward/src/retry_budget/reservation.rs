use std::ops::Range;
use std::time::Duration;

use crate::BootTime;

/// A retry that may be sent for a while.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    at: BootTime,
}

impl Reservation {
    /// Time within which the retry has to be sent: enough to select an engine and to connect.
    pub const VALIDITY: Duration = Duration::from_millis(500);

    /// Maximum time from sending a retry on an open connection until it arrives.
    const TRANSIT: Duration = Duration::from_millis(200);

    /// Maximum time from a reservation until its retry arrives.
    pub const MAX_DELAY: Duration = Self::VALIDITY.saturating_add(Self::TRANSIT);

    pub(super) fn begin(at: BootTime) -> Self {
        Self { at }
    }

    /// A reservation in the budget of another node that this one asked for it at a time.
    ///
    /// The other node has reserved it later, so that it is not used after what it counts there.
    pub fn granted(asked_at: BootTime) -> Self {
        Self { at: asked_at }
    }

    /// Whether the retry may still be sent.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now.saturating_sub(self.at) <= Self::VALIDITY
    }

    /// Span in which the retry may arrive.
    pub(super) fn span(&self) -> Range<BootTime> {
        self.at..self.at + Self::MAX_DELAY
    }

    /// Span in which a retry may arrive that is sent at a time.
    pub(super) fn span_after_sending(sent_at: BootTime) -> Range<BootTime> {
        sent_at..sent_at + Self::TRANSIT
    }
}
