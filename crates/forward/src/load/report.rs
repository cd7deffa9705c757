//! Load that an engine reports with its responses.

/// Load that an engine reported with a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in its queue.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
    /// Time that work currently takes relative to the normal time; `None` if the engine does not state it.
    pub work_factor: Option<f64>,
}

impl LoadReport {
    /// Bounds of a work factor.
    const MIN_FACTOR: f64 = 0.1;
    const MAX_FACTOR: f64 = 10.0;

    /// Requests being processed or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// The nearest work factor within the bounds; `None` if the value is no positive number.
    pub fn bound_factor(factor: f64) -> Option<f64> {
        (factor.is_finite() && factor > 0.0).then(|| factor.clamp(Self::MIN_FACTOR, Self::MAX_FACTOR))
    }
}
