//! Timeouts and limits of the failure detector.

use std::time::Duration;

/// Timeouts and limits; [`Settings::default`] holds the production values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Time to wait for an acknowledgement before indirect probes are requested; shorter than the probe
    /// interval.
    pub ack_timeout: Duration,
    /// Number of members that are asked for an indirect probe, and that a leaving node pings to announce it.
    pub indirect_probes: usize,
    /// Time that a suspected member of a fleet of ten or fewer has to refute the suspicion. It grows with the
    /// logarithm of the fleet size, as does the time in which the suspicion spreads.
    pub suspicion_timeout: Duration,
    /// Interval between pings to a dead member or to a listed host that is not a member; these pings rejoin
    /// the parts of the fleet after a network partition.
    pub reconnect_interval: Duration,
    /// Interval between pings to newly listed hosts.
    pub discovery_interval: Duration,
    /// Time for which datagrams to a new member are filled with records of other members.
    pub introduction_period: Duration,
    /// Time for which a dead member is kept, so that delayed updates do not add it again.
    pub dead_retention: Duration,
    /// Maximum number of updates per datagram.
    pub max_updates: usize,
    /// Number of updates per datagram that refresh the load of members of the failure domain shared by sender
    /// and receiver.
    pub refresh_updates: usize,
    /// Maximum number of addresses in an entry list.
    pub max_entries: usize,
    /// Time for which a caller may use an entry list.
    pub entry_lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            // Regions are at most about 100 ms apart.
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            reconnect_interval: Duration::from_secs(5),
            discovery_interval: Duration::from_millis(100),
            introduction_period: Duration::from_secs(60),
            dead_retention: Duration::from_secs(600),
            // The sender and six updates of about 130 bytes each stay below 1,400 bytes, which any network
            // carries unfragmented.
            max_updates: 6,
            refresh_updates: 3,
            max_entries: 4,
            entry_lifetime: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Time that a suspected member of a fleet of `members` has to refute the suspicion.
    pub fn suspicion_timeout_for(&self, members: usize) -> Duration {
        let factor = (members.max(10) as f64).log10();
        self.suspicion_timeout.mul_f64(factor)
    }

    /// Number of datagrams that carry an update before this node stops sending it.
    ///
    /// With three times the binary logarithm of the fleet size, the probability that a member misses an
    /// update is below one divided by the fleet size.
    pub fn transmit_limit(&self, members: usize) -> u32 {
        3 * (members + 1).ilog2().max(1)
    }
}
