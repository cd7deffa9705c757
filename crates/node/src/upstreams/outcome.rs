//! Maps errors of the ports to policy outcomes and metric labels.

use policy::pool::{Cause, Outcome};
use ports::{engine, service};

use crate::metrics::Retry;

/// Outcome and metric label of a failed generation attempt.
pub(crate) fn of_engine(err: &engine::Error) -> (Outcome, Retry) {
    match err {
        engine::Error::Connect => (Outcome::NotStarted(Cause::Connect), Retry::Connect),
        engine::Error::Refused(engine::Refusal::Busy) => (Outcome::NotStarted(Cause::Busy), Retry::Busy),
        engine::Error::Refused(engine::Refusal::Leaving) => {
            (Outcome::NotStarted(Cause::Leaving), Retry::Leaving)
        }
        engine::Error::Refused(_) => (Outcome::NotStarted(Cause::Other), Retry::Refused),
        engine::Error::Silent => (Outcome::Silent, Retry::Silent),
        engine::Error::Broken => (Outcome::Failed, Retry::Broken),
        engine::Error::Malformed => (Outcome::Failed, Retry::Malformed),
    }
}

/// Outcome and metric label of a failed call to a plain service.
pub(crate) fn of_service(err: &service::Error) -> (Outcome, Retry) {
    match err {
        service::Error::Connect => (Outcome::NotStarted(Cause::Connect), Retry::Connect),
        service::Error::NotRun => (Outcome::NotStarted(Cause::Other), Retry::Refused),
        service::Error::Unknown => (Outcome::Failed, Retry::Broken),
    }
}
