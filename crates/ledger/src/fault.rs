//! Deliberate faults that show that the checks of the property tests can fail.
//!
//! Outside the tests of this crate no fault can be switched on.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The origin takes a failed append for a confirmed one.
    SettleUnconfirmed,
    /// Answers are released when one peer holds their records.
    ReleaseEarly,
    /// A holder confirms batches that it does not keep.
    ConfirmUnheld,
    /// Only the present holders learn that the log has a batch, not the replaced ones.
    SettlePresentOnly,
    /// A holder never appends the batches of a dead origin.
    NoTakeover,
    /// The reader adds up repeated batches.
    CountTwice,
    /// The reader takes missing batches for batches that never were.
    HideGaps,
    /// The origin does not replace a holder that died.
    KeepDeadHolder,
    /// The table takes the time that it is given, even if it is earlier than one it has seen.
    TrustEarlierTime,
    /// The table forgets entries while their epoch is valid.
    ForgetEarly,
    /// A refusal with the statement that nothing ran does not close the key.
    LeaveOpen,
    /// A key of a coming epoch is refused with the statement that nothing ran.
    ProveFuture,
    /// A table that is handed over keeps executing calls.
    HandOverUnsealed,
}

#[cfg(test)]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Whether the fault is switched on in this thread.
#[cfg(test)]
pub(crate) fn active(fault: Fault) -> bool {
    ACTIVE.get() == Some(fault)
}

/// Whether the fault is switched on.
#[cfg(not(test))]
#[inline]
pub(crate) fn active(_: Fault) -> bool {
    false
}

/// Runs `body` with a fault switched on in this thread.
#[cfg(test)]
pub(crate) fn with<T>(fault: Option<Fault>, body: impl FnOnce() -> T) -> T {
    let before = ACTIVE.replace(fault);
    let result = body();
    ACTIVE.set(before);
    result
}
