//! Versions loaded, changed by orders.

use model::Offset;
use serde::Deserialize;

use super::{Fencing, Options};

/// Wanted end state.
#[derive(Debug, Deserialize)]
pub(super) struct Order {
    token: Offset,
    versions: Vec<String>,
}

/// Loaded versions and the highest fencing token seen.
#[derive(Debug)]
pub(super) struct Loaded {
    pub versions: Vec<String>,
    token: Offset,
    fencing: Fencing,
}

impl Loaded {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            versions: options.versions.clone(),
            token: 0,
            fencing: options.fencing,
        }
    }

    /// Follows the order unless its token is old and tokens are checked.
    pub(super) fn follow(&mut self, order: Order) -> bool {
        if self.fencing == Fencing::Checked && order.token < self.token {
            return false;
        }
        self.token = self.token.max(order.token);
        self.versions = order.versions;
        true
    }
}
