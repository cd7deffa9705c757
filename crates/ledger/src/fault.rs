//! Fault injection, which verifies that the property tests detect incorrect implementations.
//!
//! Faults can be enabled only in the tests of this crate.

/// Fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The origin treats an unconfirmed append as confirmed.
    SettleUnconfirmed,
    /// Responses are released as soon as one peer holds their records.
    ReleaseEarly,
    /// A holder confirms batches without storing them.
    ConfirmWithoutHolding,
    /// Only the current holders are told that a batch is in the log; replaced holders are not.
    SettleCurrentHoldersOnly,
    /// A holder never appends the batches of a dead origin.
    NoTakeover,
    /// The reader counts duplicate batches and records.
    CountDuplicates,
    /// The reader does not report gaps in the sequence numbers.
    IgnoreGaps,
    /// The origin does not replace a dead holder.
    KeepDeadHolder,
    /// The table accepts a time that is earlier than one it has already seen.
    AcceptEarlierTime,
    /// The table evicts entries whose epoch is still valid.
    EvictEarly,
    /// A refusal that states that the call did not run leaves the key open.
    SkipClosingKey,
    /// The refusal of a key from a future epoch states that the call did not run.
    RefuseFutureKeyAsNotRun,
    /// A table can be handed over while it still executes calls.
    HandOverUnsealed,
}

#[cfg(test)]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Whether the fault is enabled in this thread.
#[cfg(test)]
pub(crate) fn active(fault: Fault) -> bool {
    ACTIVE.get() == Some(fault)
}

/// Always false outside the tests of this crate.
#[cfg(not(test))]
#[inline]
pub(crate) fn active(_: Fault) -> bool {
    false
}

/// Runs `body` with `fault` enabled in this thread.
#[cfg(test)]
pub(crate) fn with<T>(fault: Option<Fault>, body: impl FnOnce() -> T) -> T {
    let previous = ACTIVE.replace(fault);
    let result = body();
    ACTIVE.set(previous);
    result
}
