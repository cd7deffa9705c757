//! What is blamed.

use crate::BootTime;

use super::Traits;

/// What requests have in common that end engines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Culprit {
    /// The fingerprints that all of them have.
    pub signature: Traits,
    /// When the first run ended.
    pub first_end: BootTime,
    /// Whether requests with something of the signature were served before, so that sound ones may have it too.
    pub was_served: bool,
}
