//! Datagrams that are dropped, with a bounded number of log lines.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use forward::BootTime;

use super::Kind;
use crate::clock;
use crate::shared::{Shared, lock};

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Datagrams that this node does not understand: of newer builds, or malformed.
#[derive(Debug, Default)]
pub(crate) struct Rejections {
    last_logged: Mutex<Option<BootTime>>,
}

impl Rejections {
    /// Whether a log line is due.
    fn try_log(&self, now: BootTime) -> bool {
        let mut last = lock(&self.last_logged);
        let is_due = last.is_none_or(|it| now.saturating_sub(it) >= LOG_INTERVAL);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}

/// Counts and logs a datagram that is dropped; `kind` is `None` if its kind is not known.
pub(super) fn record(shared: &Shared, kind: Option<Kind>, from: SocketAddr, reason: &dyn Display) {
    let kind = kind.map_or("unknown", Kind::name);
    let label = [("kind", kind)];
    shared.metrics.datagrams_rejected.get_or_create(&label).inc();
    if shared.rejections.try_log(clock::now()) {
        log::warn!(kind, from:%, reason:%; "datagram dropped");
    }
}
