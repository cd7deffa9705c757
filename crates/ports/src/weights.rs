//! Client interface of the weight store, from which engines load model weights.

use std::fmt::Debug;
use std::time::Duration;

use model::Name;

/// Failure of a reservation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The rate limit is reached; the field is the time to wait before the next attempt.
    #[error("the weight store has reached its rate limit; retry after {0:?}")]
    RateLimited(Duration),
    /// The call failed, or the service replied with another error status.
    #[error("the weight store is unavailable")]
    Unavailable,
}

/// Client of the weight store.
pub trait Weights: Debug + Send + Sync {
    /// Reserves one load of the weights of a version.
    ///
    /// # Errors
    /// [`Error::RateLimited`] if the reservation is to be repeated later, or [`Error::Unavailable`].
    fn reserve(&self, version: &Name) -> Result<(), Error>;
}
