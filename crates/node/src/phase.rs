//! Life cycle of a node.

use std::sync::atomic::{AtomicU8, Ordering};

/// How much work a node still takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Takes all requests.
    Serving = 0,
    /// Takes requests, but entry answers no longer name this node.
    Leaving = 1,
    /// Refuses new requests; requests under way finish.
    Sealed = 2,
    /// Threads end.
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

/// Current phase; it only advances.
#[derive(Debug, Default)]
pub(crate) struct Cell(AtomicU8);

impl Cell {
    /// The current phase.
    pub(crate) fn get(&self) -> Phase {
        match self.0.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            2 => Phase::Sealed,
            _ => Phase::Stopped,
        }
    }

    /// Advances to `to`; has no effect if the node is already past it.
    pub(crate) fn advance(&self, to: Phase) {
        self.0.fetch_max(to as u8, Ordering::SeqCst);
    }
}
