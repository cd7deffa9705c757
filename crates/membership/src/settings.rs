//! Times and bounds of the failure detector.

use std::time::Duration;

/// Times and bounds; [`Settings::default`] is meant for production.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Wait for an acknowledgement before other members are asked to ping; shorter than the probe interval.
    pub ack_timeout: Duration,
    /// Number of members that are asked.
    pub helpers: usize,
    /// Time that a suspected member of a fleet of ten or fewer has to refute; it grows with the logarithm of the
    /// fleet's size, as the spread of the suspicion does.
    pub suspicion: Duration,
    /// Time between two pings to a dead member or to a listed host that is no member, which end a separation.
    pub reconnect_interval: Duration,
    /// Time between two pings to hosts that the list shows for the first time.
    pub discovery_interval: Duration,
    /// Time for which datagrams to a new member are filled with other members.
    pub introduction: Duration,
    /// Time for which a dead member is remembered, so that late news does not bring it back.
    pub dead_retention: Duration,
    /// Greatest number of updates in a datagram.
    pub max_updates: usize,
    /// Number of updates that refresh the load of members of the failure domain that both ends are in.
    pub refresh_updates: usize,
    /// Greatest number of addresses in an entry answer.
    pub max_entries: usize,
    /// Time for which a caller may use an entry answer.
    pub entry_lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            // Regions are at most about 100 ms apart.
            ack_timeout: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_secs(4),
            reconnect_interval: Duration::from_secs(5),
            discovery_interval: Duration::from_millis(100),
            introduction: Duration::from_secs(60),
            dead_retention: Duration::from_secs(600),
            // Seven members of about 130 bytes each stay below the 1,400 bytes that pass any network unfragmented.
            max_updates: 6,
            refresh_updates: 3,
            max_entries: 4,
            entry_lifetime: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Time that a suspected member of a fleet of `members` has to refute.
    pub fn suspicion_of(&self, members: usize) -> Duration {
        let factor = (members.max(10) as f64).log10();
        self.suspicion.mul_f64(factor)
    }

    /// Number of datagrams that carry one piece of news before this node stops repeating it.
    ///
    /// Three times the logarithm leaves the chance that a member misses the news below one in the fleet's size.
    pub fn repeats_of(&self, members: usize) -> u32 {
        3 * (members + 1).ilog2().max(1)
    }
}
