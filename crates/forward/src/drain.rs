//! Which new requests a node accepts during a planned stop.
//!
//! Callers use addresses for some time after they got them, so a stopping node goes on serving. It refuses what it could
//! not finish: a refusal is true and quick, while an answer that the exit cuts off is lost.

use std::time::Duration;

use crate::configuration::RouteKind;

/// Time within which almost all calls end.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Course of a planned stop, as times since its begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// When all responses that name this node's entry address have expired.
    pub addresses_expired: Duration,
    /// When the process ends even if requests are in progress.
    pub exit: Duration,
}

impl Drain {
    /// Whether a request that arrives at a time of the stop is served.
    pub fn accepts(&self, kind: RouteKind, elapsed: Duration) -> bool {
        match kind {
            // A stream may last as long as all that is left.
            RouteKind::Stream { .. } => elapsed < self.addresses_expired,
            RouteKind::Call(_) => elapsed + CALL_TIME < self.exit,
        }
    }
}
