//! Deliberate faults that show that the property tests can fail. Outside of this crate's tests they do not exist.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Lower classes get no guaranteed share.
    StrictPriority,
    /// Organisations are not charged for what they get.
    UnfairQueue,
    /// Queues have no bound.
    UnboundedQueue,
    /// Non-idempotent calls are hedged.
    HedgeAll,
    /// Non-idempotent calls are sent again after any failure.
    ResendAll,
    /// Leaving and ejected engines get work.
    AnyEngine,
    /// Every refusal says that nothing ran.
    AlwaysNotRun,
    /// Requests that expire in the queue get no answer.
    SilentExpiry,
}

#[cfg(not(test))]
pub(crate) const fn fault(_: Fault) -> bool {
    false
}

#[cfg(test)]
pub(crate) use switch::fault;

#[cfg(test)]
mod switch {
    use std::cell::Cell;

    use super::Fault;

    thread_local! {
        static ACTIVE: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    pub(crate) fn fault(which: Fault) -> bool {
        ACTIVE.get() == Some(which)
    }
}
