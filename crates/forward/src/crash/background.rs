//! How often requests are broken off, whatever the cause.

use std::time::Duration;

use crate::BootTime;

/// Number of requests that were broken off or served.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    broken: u32,
    served: u32,
}

/// Requests of the current period and of the one before it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Background {
    begin: BootTime,
    current: Count,
    previous: Count,
}

impl Background {
    const PERIOD: Duration = Duration::from_secs(10);

    /// Requests that are assumed in addition, one of them broken, so that few requests give no extreme share.
    const ASSUMED: f64 = 10.0;

    /// Records the end of a request.
    pub(super) fn record(&mut self, is_broken: bool, now: BootTime) {
        let elapsed = now.saturating_sub(self.begin);
        if elapsed >= Self::PERIOD {
            let is_adjacent = elapsed < 2 * Self::PERIOD;
            self.previous = if is_adjacent {
                self.current
            } else {
                Count::default()
            };
            self.current = Count::default();
            self.begin = now;
        }
        match is_broken {
            true => self.current.broken += 1,
            false => self.current.served += 1,
        }
    }

    /// Number of consecutive requests that are all broken off by chance with at most this probability.
    pub(super) fn runs_for(&self, chance: f64) -> usize {
        let broken = f64::from(self.current.broken + self.previous.broken);
        let served = f64::from(self.current.served + self.previous.served);
        let share = (broken + 1.0) / (broken + served + Self::ASSUMED);
        if share >= 1.0 {
            return usize::MAX;
        }
        (chance.ln() / share.ln()).ceil() as usize
    }
}
