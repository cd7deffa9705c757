//! Pace of streams. An engine that is slow may send the first event in time and the others slowly.

use std::collections::HashMap;
use std::time::Duration;

use model::Name;

use crate::BootTime;

/// Gaps between events that show the pace of a stream.
const ENOUGH_GAPS: u32 = 4;

/// Weight of a new measurement in the usual gap.
const SMOOTHING: f64 = 0.1;

/// Events of one stream so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    first_at: Option<BootTime>,
    last_at: BootTime,
    gaps: u32,
}

impl Pace {
    /// Records events that arrived together.
    pub fn record(&mut self, events: u32, now: BootTime) {
        self.gaps += match self.first_at {
            Some(_) => events,
            None => events.saturating_sub(1),
        };
        self.first_at.get_or_insert(now);
        self.last_at = now;
    }

    /// Whether the pace is known.
    pub fn is_known(&self) -> bool {
        self.gaps >= ENOUGH_GAPS
    }

    /// Mean gap between the events so far; `None` with less than two.
    pub fn mean_gap(&self) -> Option<Duration> {
        let time = self.last_at.saturating_sub(self.first_at?);
        (self.gaps > 0).then(|| time / self.gaps)
    }

    /// Least mean gap that the stream has when its pace is known, whatever follows now; `None` before the first event.
    pub fn least_gap(&self, now: BootTime) -> Option<Duration> {
        let time = now.saturating_sub(self.first_at?);
        Some(time / self.gaps.max(ENOUGH_GAPS))
    }
}

/// Usual gaps between events, by route and model.
#[derive(Debug, Clone, Default)]
pub struct UsualGaps {
    gaps: HashMap<(Name, Option<Name>), Duration>,
}

impl UsualGaps {
    /// The usual gap; `None` if the model has not answered on this route.
    pub fn get(&self, route: &Name, model: Option<&Name>) -> Option<Duration> {
        self.gaps.get(&(route.clone(), model.cloned())).copied()
    }

    /// Records the mean gap of a stream.
    pub fn record(&mut self, route: &Name, model: Option<&Name>, gap: Duration) {
        let known = self.gaps.entry((route.clone(), model.cloned())).or_insert(gap);
        *known = known.mul_f64(1.0 - SMOOTHING) + gap.mul_f64(SMOOTHING);
    }
}
