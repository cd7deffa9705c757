//! Why nodes read the store although others pass on what they read.

use crate::shared::Shared;

/// Why a node reads changes from the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DirectRead {
    /// It reads them for the others.
    Reader,
    /// No other node has replied.
    NoReply,
    /// The nodes that should read them have no recent read, nor has this one.
    Stale,
    /// Other nodes know changes that they did not pass on.
    Behind,
    /// The node that knows of new records does not have them.
    RecordsUnknown,
    /// It needs to know whether an engine that it evicted renews its entry, which others do not pass on.
    Evicted,
    /// The store failed it before.
    Retry,
}

impl DirectRead {
    /// Name in the log and in the metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Reader => "reader",
            Self::NoReply => "no_reply",
            Self::Stale => "stale",
            Self::Behind => "behind",
            Self::RecordsUnknown => "records_unknown",
            Self::Evicted => "evicted",
            Self::Retry => "retry",
        }
    }

    /// Counts a read.
    pub(crate) fn count(self, shared: &Shared) {
        let label = [("reason", self.name())];
        shared.metrics.store_reads.get_or_create(&label).inc();
    }
}
