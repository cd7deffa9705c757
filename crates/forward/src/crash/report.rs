//! What nodes tell each other about runs that ended.

use std::time::Duration;

use crate::statement::Run;

use super::Traits;

/// The end of a run, as one node saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The run.
    pub run: Run,
    /// Time since it broke off its requests.
    pub age: Duration,
    /// Traits of these requests.
    pub suspects: Vec<Traits>,
}
