//! Loaded versions, and the requests that change them.

use model::Offset;
use serde::Deserialize;

use super::{Fencing, Options};

/// Request to load the given versions and unload all others.
#[derive(Debug, Deserialize)]
pub(super) struct VersionsRequest {
    token: Offset,
    versions: Vec<String>,
}

/// Loaded versions and the highest fencing token received.
#[derive(Debug)]
pub(super) struct LoadedVersions {
    pub versions: Vec<String>,
    highest_token: Offset,
    fencing: Fencing,
}

impl LoadedVersions {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            versions: options.versions.clone(),
            highest_token: 0,
            fencing: options.fencing,
        }
    }

    /// Applies a request; returns false if tokens are checked and its token is lower than one received
    /// before.
    pub(super) fn apply(&mut self, request: VersionsRequest) -> bool {
        if self.fencing == Fencing::Checked && request.token < self.highest_token {
            return false;
        }
        self.highest_token = self.highest_token.max(request.token);
        self.versions = request.versions;
        true
    }
}
