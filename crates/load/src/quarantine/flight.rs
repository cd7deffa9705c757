//! A simulated request.

use forward::BootTime;
use forward::crash::Traits;

/// A request and its current attempt.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub traits: Traits,
    pub is_fatal: bool,
    /// Attempts of this node that are left, and times that the caller will send the request again.
    pub attempts: u32,
    pub repeats: u32,
    /// When the caller first sent it.
    pub arrived: BootTime,
    pub was_held: bool,
    pub node: usize,
    pub engine: usize,
    pub run: u64,
    pub sent_at: BootTime,
    /// Whether only its connection breaks at its end.
    pub breaks: bool,
}
