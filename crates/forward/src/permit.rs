//! Permits for requests to engines that limit the requests of all nodes together.
//!
//! For each such engine one node, chosen by rendezvous hashing, issues the permits, at even intervals, and every
//! other node asks it. So the limit holds for any number of nodes and for uneven load, and no node needs to know
//! what the others send. What remains is a time in which two nodes both consider themselves the issuer:
//!
//! - A new issuer waits for [`Issuer::TAKE_OVER`] before its first permit.
//! - While hosts have been lost recently, a node issues only the share of the hosts that it can reach. The parts of
//!   a fleet that was split issue together what the whole fleet did.

use std::collections::HashMap;
use std::time::Duration;

use model::Upstream;

use crate::BootTime;
use crate::request_limit::Rate;

/// Answer to the question whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent after a wait, which may be zero.
    Granted(Duration),
    /// It must not be sent; the next permit is free after this time.
    Denied(Duration),
}

/// Hosts of the fleet, as known to one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Hosts that are not known to be lost, including that of the node itself.
    pub present: usize,
    /// Hosts that were lost recently.
    pub lost: usize,
}

impl Fleet {
    /// Share of the fleet that this node can reach, including itself.
    pub fn share(self) -> f64 {
        let present = self.present.max(1) as f64;
        present / (present + self.lost as f64)
    }
}

/// Issues the permits for the engines of which this node is the issuer.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// When the next permit for each engine is free.
    next: HashMap<Upstream, BootTime>,
}

impl Issuer {
    /// Wait of a new issuer before its first permit: the previous one may still issue until it learns of the
    /// change.
    pub const TAKE_OVER: Duration = Duration::from_millis(1500);

    /// Wait before the first permit after an engine first stated a limit, in which all nodes learn of it.
    pub const PROPAGATION: Duration = Duration::from_millis(250);

    /// Minimum rate. An engine that takes no requests at all still gets a few, whose responses show whether its
    /// limit has changed.
    const MIN_RATE: Rate = 0.1;

    /// Asks for a permit for a request to an engine, which may wait for up to `max_wait`.
    ///
    /// `rate` is the limit of the engine and `since` the time for which it has had one.
    pub fn request(
        &mut self,
        engine: &Upstream,
        rate: Rate,
        since: Duration,
        fleet: Fleet,
        max_wait: Duration,
        now: BootTime,
    ) -> Decision {
        // No other node can have been the issuer of a limit that is this recent.
        let first_wait = match since < Self::TAKE_OVER {
            true => Self::PROPAGATION.saturating_sub(since),
            false => Self::TAKE_OVER,
        };
        let next = self.next.entry(engine.clone()).or_insert(now + first_wait);
        let wait = next.saturating_sub(now);
        if wait > max_wait {
            return Decision::Denied(wait);
        }
        *next = now + wait + interval(rate * fleet.share());
        Decision::Granted(wait)
    }

    /// Forgets engines of which this node is no longer the issuer.
    pub fn retain(&mut self, mut is_issuer: impl FnMut(&str) -> bool) {
        self.next.retain(|engine, _| is_issuer(engine));
    }
}

/// Mean time between two permits.
pub fn interval(rate: Rate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(Issuer::MIN_RATE))
}
