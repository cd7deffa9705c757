//! Urgencies of the requests that a node has sent recently.

use crate::urgency::Urgency;

/// Number of urgencies.
const COUNT: usize = 10;

/// Decay of the counts with each request; about the last two hundred count.
const DECAY: f64 = 0.995;

/// Counts of requests by urgency. Those without one are served in the order of their arrival and not counted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Urgencies {
    counts: [f64; COUNT],
}

impl Urgencies {
    pub(super) fn record(&mut self, urgency: Option<Urgency>) {
        let Some(urgency) = urgency else {
            return;
        };
        for it in &mut self.counts {
            *it *= DECAY;
        }
        self.counts[index(urgency)] += 1.0;
    }

    /// Share of the waiting requests that go before a new one: those that are at least as urgent. `None` if nothing is
    /// known of their urgencies; all of them for a request without one.
    pub(super) fn share_before(&self, urgency: Option<Urgency>) -> Option<f64> {
        let Some(urgency) = urgency else {
            return Some(1.0);
        };
        let total: f64 = self.counts.iter().sum();
        let before: f64 = self.counts[..=index(urgency)].iter().sum();
        (total > 0.0).then(|| before / total)
    }

    /// Urgency of a median request; `None` if none was recorded.
    pub(super) fn median(&self) -> Option<Urgency> {
        let half = self.counts.iter().sum::<f64>() / 2.0;
        let mut sum = 0.0;
        let reaches_half = |count: &f64| {
            sum += count;
            sum > half
        };
        self.counts.iter().position(reaches_half).map(|it| it as Urgency)
    }
}

fn index(urgency: Urgency) -> usize {
    usize::from(urgency).min(COUNT - 1)
}
