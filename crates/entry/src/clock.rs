//! The clock of an entry node.

use forward::BootTime;
use nix::time::{ClockId, clock_gettime};

/// Time since the host booted, including the time for which it was suspended.
pub fn now() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        // The clock exists on every Linux since 2.6.39.
        Err(err) => unreachable!("CLOCK_BOOTTIME: {err}"),
    }
}
