//! Requests and retries of a fleet, compared with the limit.

use std::time::Duration;

use forward::BootTime;

use crate::{LIMIT, WINDOW};

/// Times of the requests and retries of a whole fleet.
#[derive(Debug, Default)]
pub struct Arrivals {
    pub requests: Vec<BootTime>,
    pub retries: Vec<BootTime>,
}

impl Arrivals {
    fn count(times: &[BootTime], from: BootTime, to: BootTime) -> usize {
        times.partition_point(|it| *it <= to) - times.partition_point(|it| *it < from)
    }

    /// The window with the largest excess: its begin, its retries and what is allowed.
    fn worst(&mut self) -> (BootTime, usize, f64) {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let windows = self.retries.iter().map(|begin| {
            let spans = [Duration::ZERO, WINDOW / 2, WINDOW].map(|shift| {
                let end = (*begin + WINDOW).saturating_sub(shift);
                Self::count(&self.requests, begin.saturating_sub(shift), end)
            });
            let most = spans.into_iter().max().unwrap_or_default();
            let retries = Self::count(&self.retries, *begin, *begin + WINDOW);
            (*begin, retries, LIMIT.ratio * most as f64 + LIMIT.slack)
        });
        let excess = |it: &(BootTime, usize, f64)| it.1 as f64 - it.2;
        windows
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))
            .unwrap_or_default()
    }

    pub fn check(&mut self) -> Result<(), String> {
        let (begin, retries, allowed) = self.worst();
        match retries as f64 <= allowed {
            true => Ok(()),
            false => Err(format!("{retries} retries from {begin:?} on, {allowed} allowed")),
        }
    }
}
