//! Cut-off of responses that exceed a bound.

use forward::directory::Engine;
use forward::retry::Failure;

use crate::clock;
use crate::shared::{Shared, lock};

/// Bound at which a response is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bound {
    /// Size of the head.
    Head,
    /// Size of what surrounds the body: chunk sizes, chunk extensions, trailers.
    Framing,
    /// Size of a body, or its number of parts.
    Body,
    /// Size of one event.
    Event,
    /// Events that the caller already has.
    Duplicates,
    /// Memory for all bodies together.
    Memory,
}

impl Bound {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Framing => "framing",
            Self::Body => "body",
            Self::Event => "event",
            Self::Duplicates => "duplicates",
            Self::Memory => "memory",
        }
    }

    /// What the cut-off means for the attempt.
    pub(crate) fn failure(self) -> Failure {
        match self {
            Self::Head | Self::Framing | Self::Body | Self::Event | Self::Duplicates => Failure::Overlong,
            // Other responses may have used up the memory.
            Self::Memory => Failure::Lost,
        }
    }
}

/// Logs and counts a response that is cut off; returns the failure.
pub(crate) fn record_cut_off(shared: &Shared, engine: &Engine, id: &str, bound: Bound) -> Failure {
    let label = [("bound", bound.as_str())];
    shared.metrics.responses_cut_off.get_or_create(&label).inc();
    log::warn!(id, engine = *engine.id, bound = bound.as_str(); "response cut off");
    let failure = bound.failure();
    if failure == Failure::Overlong {
        lock(&shared.loads).record_failure(engine, failure, clock::now());
    }
    failure
}
