//! The weight store.

use std::fmt::Debug;
use std::time::Duration;

use model::Name;

/// Failure of a reservation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The rate limit is reached.
    #[error("the weight store is busy for {0:?}")]
    RateLimited(Duration),
    /// The service is not reachable.
    #[error("the weight store is unavailable")]
    Unavailable,
}

/// Connection to the weight store.
pub trait Weights: Debug + Send + Sync {
    /// Reserves one load of a version.
    ///
    /// # Errors
    /// [`Error::RateLimited`] with the time after which to ask again.
    fn reserve(&self, version: &Name) -> Result<(), Error>;
}
