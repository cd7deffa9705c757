//! Checks common to all requests that are sent to upstreams.

use std::time::Duration;

use model::refusal::Reason;
use model::{Class, Refusal};

use super::exchange::Exchange;
use crate::phase::Phase;
use crate::shared::Shared;

/// Retry delay after a refusal by a node that accepts no requests; the retry may go to any node.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Checks that the node accepts new requests.
///
/// # Errors
/// `leaving` or `config_stale`.
pub(crate) fn check_serving(shared: &Shared) -> Result<(), Refusal> {
    let reason = match shared.phase.get() {
        Phase::Serving | Phase::Leaving if shared.config.is_stale(shared.now()) => Reason::ConfigStale,
        Phase::Serving | Phase::Leaving => return Ok(()),
        Phase::Sealed | Phase::Stopped => Reason::Leaving,
    };
    Err(Refusal::not_run(reason).retry_after(RETRY_AFTER))
}

/// Time from the receipt of a request to its deadline.
///
/// # Errors
/// `bad_request` if the header `X-Deadline-Ms` is not a positive number of milliseconds.
pub(crate) fn request_timeout(
    shared: &Shared,
    exchange: &Exchange,
    class: Class,
) -> Result<Duration, Refusal> {
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
