//! Life cycle of a node.

use std::sync::atomic::{AtomicU8, Ordering};

/// Phase in the life cycle of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Accepts all requests.
    Serving = 0,
    /// Accepts requests, but is no longer advertised in entry answers.
    Leaving = 1,
    /// Refuses new requests; running requests finish.
    Sealed = 2,
    /// All threads terminate.
    Stopped = 3,
}

impl Phase {
    /// Name in status answers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Sealed => "sealed",
            Self::Stopped => "stopped",
        }
    }
}

/// Current phase of a node, shared between threads; it never goes back.
#[derive(Debug, Default)]
pub(crate) struct AtomicPhase(AtomicU8);

impl AtomicPhase {
    /// The current phase.
    pub(crate) fn get(&self) -> Phase {
        match self.0.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            2 => Phase::Sealed,
            _ => Phase::Stopped,
        }
    }

    /// Advances to `to`; has no effect if the current phase is later.
    pub(crate) fn advance(&self, to: Phase) {
        self.0.fetch_max(to as u8, Ordering::SeqCst);
    }
}
