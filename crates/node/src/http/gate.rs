//! Checks that apply to every request that reaches an upstream.

use std::time::Duration;

use model::refusal::Reason;
use model::{Class, Refusal};

use super::exchange::Exchange;
use crate::phase::Phase;
use crate::shared::Shared;

/// When to try again, here or elsewhere, after a node refused everything.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses if the node takes no new work.
///
/// # Errors
/// `leaving` or `config_stale`.
pub(crate) fn open(shared: &Shared) -> Result<(), Refusal> {
    let reason = match shared.phase.get() {
        Phase::Serving | Phase::Leaving if shared.config.is_stale(shared.now()) => Reason::ConfigStale,
        Phase::Serving | Phase::Leaving => return Ok(()),
        Phase::Sealed | Phase::Stopped => Reason::Leaving,
    };
    Err(Refusal::not_run(reason).retry_after(RETRY_AFTER))
}

/// Time that a request may take from its receipt on.
///
/// # Errors
/// `bad_request` if the header is not a number of milliseconds above zero.
pub(crate) fn time_allowed(shared: &Shared, exchange: &Exchange, class: Class) -> Result<Duration, Refusal> {
    let deadlines = &shared.settings.deadlines;
    let default = match class {
        Class::Interactive => deadlines.interactive,
        Class::Transaction => deadlines.transaction,
        Class::Standard => deadlines.standard,
        Class::Batch => deadlines.batch,
    };
    let Some(text) = exchange.header("X-Deadline-Ms") else {
        return Ok(default);
    };
    match text.trim().parse::<u32>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis.into())),
        _ => Err(Refusal::not_run(Reason::BadRequest)),
    }
}
