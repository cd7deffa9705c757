//! When the stages of the trial begin, and what they expose.

/// A stage of the trial.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    /// Fraction of the duration after which it may begin.
    pub begin: f64,
    /// Share of the traffic, in units of the permitted exposure.
    pub exposures: f64,
}

/// The stages of the trial.
///
/// The share stays small for half of the duration, because sessions must not change to the new version before,
/// and because a version that turns bad late must have got only a small part of all requests by then. The
/// second stage shows a version that is bad under load, with a share that leaves time to detect it. The last one
/// moves all traffic, and leaves time for the streams of the old engines to end.
pub(super) const TRIALS: [Trial; 3] = [
    Trial {
        begin: 0.0,
        exposures: 0.6,
    },
    Trial {
        begin: 0.5,
        exposures: 2.2,
    },
    Trial {
        begin: 0.7,
        exposures: f64::INFINITY,
    },
];
