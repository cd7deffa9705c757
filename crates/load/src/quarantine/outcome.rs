//! Figures of one simulated minute.

use forward::BootTime;

/// What was seen in one trial.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    /// Times at which fatal requests ended engines.
    pub fatal_ends: Vec<BootTime>,
    /// Fatal requests sent by nodes in touch after the stability window.
    pub late: usize,
    pub sound: usize,
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
