//! How long an engine's responses take compared with those of the other engines of its service.
//!
//! A high ratio keeps requests away from an engine, and without requests it could not show that it has recovered. So each
//! node sends it a *trial* now and then: for one request, the engine counts as fast as the fastest one.

/// Latency of one run of an engine, as measured by this node.
#[derive(Debug, Clone)]
pub(super) struct Latency {
    /// Smoothed time to the first byte relative to that of the whole service.
    ratio: f64,
    samples: u32,
    /// Value of [`Usual::requests`] at the last request to this engine.
    last_request: u64,
    /// Requests of which the response has not begun.
    awaited: u32,
    /// Whether the last request was a trial of which the result is not known.
    is_trial: bool,
}

/// The responses of all engines of a service to this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usual {
    /// Requests of this node to the service.
    requests: u64,
    engines: usize,
    /// Least ratio of an engine that was used recently.
    least_ratio: f64,
}

/// The result of a trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trial {
    /// Latency ratio before it.
    pub before: f64,
    /// Latency ratio with its result.
    pub after: f64,
}

impl Latency {
    /// Smoothing factor of the ratio.
    const GAIN: f64 = 0.15;

    /// Smoothing factor for the result of a trial. The ratio before it is old, but one fast response does not show that
    /// the engine has recovered.
    const TRIAL_GAIN: f64 = 0.5;

    /// Samples before the ratio is used.
    const MIN_SAMPLES: u32 = 4;

    /// Minimum ratio that is used.
    const MIN_RATIO: f64 = 0.5;

    /// Time between two trials of an engine, in requests that it would get by an even share, for a ratio of 1. It is
    /// proportional to the ratio, so the time that trials cost is at most an eighth of what an even share would take
    /// at the usual latency, however slow the engine is.
    const TRIAL_INTERVAL: f64 = 8.0;

    /// The latency of an engine that has not responded.
    pub(super) fn new(usual: &Usual) -> Self {
        Self {
            ratio: 1.0,
            samples: 0,
            last_request: usual.requests,
            awaited: 0,
            is_trial: false,
        }
    }

    /// Time to the first byte relative to that of the service, for the next request.
    pub(super) fn ratio(&self, usual: &Usual) -> f64 {
        match self.is_trial_due(usual) {
            true => usual.least_ratio,
            false => self.measured(),
        }
    }

    /// Records that a request is sent, which `usual` counts already.
    pub(super) fn record_sent(&mut self, usual: &Usual) {
        self.is_trial |= self.is_trial_due(usual);
        self.last_request = usual.requests;
        self.awaited += 1;
    }

    /// Records that a response has begun, or that there will be none.
    pub(super) fn record_response_start(&mut self) {
        self.awaited = self.awaited.saturating_sub(1);
    }

    /// Records that no more than a number of requests are in progress.
    pub(super) fn limit_awaited(&mut self, in_flight: u32) {
        self.awaited = self.awaited.min(in_flight);
    }

    /// Records a response whose first byte took `ratio` times as long as usual; returns the result of a trial.
    pub(super) fn record_sample(&mut self, ratio: f64) -> Option<Trial> {
        let before = self.measured();
        let is_trial = std::mem::take(&mut self.is_trial);
        let gain = if is_trial { Self::TRIAL_GAIN } else { Self::GAIN };
        self.samples += 1;
        self.ratio += gain * (ratio.clamp(0.1, 10.0) - self.ratio);
        let after = self.measured();
        is_trial.then_some(Trial { before, after })
    }

    /// Records a failed request, which shows nothing about the latency.
    pub(super) fn record_failure(&mut self) {
        self.is_trial = false;
    }

    /// The ratio by the responses; 1 while there are too few.
    fn measured(&self) -> f64 {
        match self.samples < Self::MIN_SAMPLES {
            true => 1.0,
            false => self.ratio.max(Self::MIN_RATIO),
        }
    }

    /// Whether the next request is a trial. Only one at a time is, as the engine may still be slow.
    fn is_trial_due(&self, usual: &Usual) -> bool {
        let ratio = self.measured();
        let interval = Self::TRIAL_INTERVAL * ratio.max(1.0);
        self.awaited == 0 && ratio > usual.least_ratio && self.shares_missed(usual) >= interval
    }

    /// Requests that the engine would have got since the last one by an even share.
    fn shares_missed(&self, usual: &Usual) -> f64 {
        let requests = usual.requests.saturating_sub(self.last_request);
        requests as f64 / usual.engines.max(1) as f64
    }
}

impl Usual {
    /// Counts a request.
    pub(super) fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Replaces the engines of the service.
    pub(super) fn refresh<'a>(&mut self, engines: impl Iterator<Item = &'a Latency> + Clone) {
        self.engines = engines.clone().count();
        let is_recent = |it: &&Latency| it.shares_missed(self) < Latency::TRIAL_INTERVAL;
        let recent = engines.filter(is_recent).map(Latency::measured);
        self.least_ratio = recent.reduce(f64::min).unwrap_or(1.0);
    }
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            requests: 0,
            engines: 0,
            least_ratio: 1.0,
        }
    }
}
