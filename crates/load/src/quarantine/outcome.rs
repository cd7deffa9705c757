//! Figures of one simulated minute.

use forward::BootTime;

use super::scenario::Trial;

/// What was seen in one trial.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    /// Times at which fatal requests ended engines.
    pub fatal_ends: Vec<BootTime>,
    /// Fatal requests sent by nodes in touch after the stability window.
    pub late: usize,
    pub sound: usize,
    /// When the sound requests arrived, and when those arrived that were served.
    pub sound_arrivals: Vec<BootTime>,
    pub sound_served: Vec<BootTime>,
    /// When it must be known what is fatal, and the engines that ended until then are back.
    pub settled_at: BootTime,
    /// Sound requests that were held back.
    pub held: usize,
    /// Largest share of the requests with one first part that were held back.
    pub worst_held_share: f64,
    /// Signatures that sound requests have.
    pub false_holds: usize,
    /// When the last node began to hold fatal requests back.
    pub held_by_all_at: Option<BootTime>,
    /// Datagrams that were sent.
    pub datagrams: usize,
}

impl Outcome {
    /// Share of the sound requests that were served once the engines were back.
    pub(super) fn share_served_when_settled(&self) -> f64 {
        let counted = self.settled_at..Trial::LENGTH - Trial::LONGEST_REQUEST;
        let count = |times: &[BootTime]| times.iter().filter(|it| counted.contains(it)).count() as f64;
        count(&self.sound_served) / count(&self.sound_arrivals).max(1.0)
    }
}
