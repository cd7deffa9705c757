//! A run of an engine that broke off requests.

use std::collections::HashMap;

use crate::BootTime;

use super::{Fingerprint, Traits, contains};

/// What is known about a run that broke off requests.
#[derive(Debug, Clone)]
pub(super) struct CrashedRun {
    /// When it last broke off a request.
    pub at: BootTime,
    /// Requests, and when they were broken off.
    pub suspects: HashMap<Traits, BootTime>,
    /// When the run was known to have gone on, so that only connections to it were broken before.
    pub refuted_at: Option<BootTime>,
}

impl CrashedRun {
    /// Whether it broke off a request with a signature.
    pub(super) fn concerns(&self, signature: &[Fingerprint]) -> bool {
        self.suspects.keys().any(|it| contains(it, signature))
    }
}
