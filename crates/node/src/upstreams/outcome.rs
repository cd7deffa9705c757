//! Maps errors of the ports to policy outcomes and metric labels.

use policy::pool::{Cause, Outcome};
use ports::{engine, service};

use crate::metrics::RetryReason;

/// Outcome and metric label of a failed generation attempt.
pub(crate) fn of_engine(err: &engine::Error) -> (Outcome, RetryReason) {
    match err {
        engine::Error::Connect => (Outcome::NotStarted(Cause::Connect), RetryReason::Connect),
        engine::Error::Refused(engine::Refusal::Busy) => {
            (Outcome::NotStarted(Cause::Busy), RetryReason::Busy)
        }
        engine::Error::Refused(engine::Refusal::Leaving) => {
            (Outcome::NotStarted(Cause::Leaving), RetryReason::Leaving)
        }
        engine::Error::Refused(_) => (Outcome::NotStarted(Cause::Other), RetryReason::Refused),
        engine::Error::Timeout => (Outcome::Silent, RetryReason::Silent),
        engine::Error::Broken => (Outcome::Failed, RetryReason::Broken),
        engine::Error::Malformed => (Outcome::Failed, RetryReason::Malformed),
    }
}

/// Outcome and metric label of a failed call to a plain service.
pub(crate) fn of_service(err: &service::Error) -> (Outcome, RetryReason) {
    match err {
        service::Error::Connect => (Outcome::NotStarted(Cause::Connect), RetryReason::Connect),
        service::Error::NotRun => (Outcome::NotStarted(Cause::Other), RetryReason::Refused),
        service::Error::Unknown => (Outcome::Failed, RetryReason::Broken),
    }
}
