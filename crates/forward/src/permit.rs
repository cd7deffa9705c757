//! Permits for requests to engines that limit the requests of all nodes together.
//!
//! For each such engine one node, chosen by rendezvous hashing, issues the permits, at even intervals, and every
//! other node asks it. So the limit holds for any number of nodes and for uneven load, and no node needs to know
//! what the others send. What remains is a time in which two nodes both consider themselves the issuer:
//!
//! - A new issuer waits for [`Issuer::TAKE_OVER`] before its first permit.
//! - While hosts have been lost recently, a node issues only the share of the hosts that it can reach, see [`Fleet`].
//!   The parts of a fleet that was split issue together what the whole fleet did.
//! - A node that others took for dead begins again as a new issuer as soon as it learns of that.

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

/// Size of the fleet, as known to one node.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Largest number of hosts that another node knows, and when it said so.
    told: Option<(usize, BootTime)>,
}

impl Fleet {
    /// Time for which a host that was lost counts towards the fleet: it may only be cut off, and serve callers.
    pub const LOST_RETENTION: Duration = Duration::from_secs(60);

    /// Records the number of hosts that another node knows from its own experience.
    ///
    /// A node that has just started does not know which hosts were lost before.
    pub fn record(&mut self, hosts: usize, now: BootTime) {
        if self.told(now) <= hosts {
            self.told = Some((hosts, now));
        }
    }

    /// Share of the fleet that a node can reach that knows of `known` hosts and reaches `reachable` of them.
    pub fn share(&self, reachable: usize, known: usize, now: BootTime) -> f64 {
        let reachable = reachable.max(1);
        let total = known.max(self.told(now)).max(reachable);
        reachable as f64 / total as f64
    }

    fn told(&self, now: BootTime) -> usize {
        let is_recent = |at: BootTime| now.saturating_sub(at) < Self::LOST_RETENTION;
        self.told.filter(|it| is_recent(it.1)).map_or(0, |it| it.0)
    }
}

/// Issues the permits for the engines of which this node is the issuer.
#[derive(Debug, Clone)]
pub struct Issuer {
    engines: HashMap<Upstream, Issued>,
    started_at: BootTime,
}

/// Permits issued for one engine.
#[derive(Debug, Clone, Copy)]
struct Issued {
    /// When the first permit is free.
    begin: BootTime,
    /// When the last permit became free, which may lie in the future.
    last: Option<BootTime>,
}

impl Issuer {
    /// Wait of a new issuer before its first permit: the previous one may still issue until it learns of the
    /// change, as gossip reaches all members only after some probes.
    pub const TAKE_OVER: Duration = Duration::from_millis(2500);

    /// Wait before the first permit after an engine first stated a limit, in which all nodes learn of it.
    pub const PROPAGATION: Duration = Duration::from_millis(250);

    /// Time after the start of a node within which it may have missed an issuer before it.
    const START_UP: Duration = Duration::from_secs(10);

    /// Minimum rate. An engine that takes no requests at all still gets a few, whose responses show whether its
    /// limit has changed.
    const MIN_RATE: Rate = 0.1;

    /// The issuer of a node that started at a time.
    pub fn new(started_at: BootTime) -> Self {
        Self {
            engines: HashMap::new(),
            started_at,
        }
    }

    /// Asks for a permit for a request to an engine, which may wait for up to `max_wait`.
    ///
    /// `rate` is this node's share of the engine's limit, and `since` the time for which the engine has had one.
    pub fn request(
        &mut self,
        engine: &Upstream,
        rate: Rate,
        since: Duration,
        max_wait: Duration,
        now: BootTime,
    ) -> Decision {
        // No other node can have been the issuer of a limit that is this recent.
        let is_first = since < Self::TAKE_OVER && now.saturating_sub(self.started_at) >= Self::START_UP;
        let first_wait = match is_first {
            true => Self::PROPAGATION.saturating_sub(since),
            false => Self::TAKE_OVER,
        };
        let issued = self.engines.entry(engine.clone()).or_insert(Issued {
            begin: now + first_wait,
            last: None,
        });
        let interval = interval(rate);
        let next = issued.last.map_or(issued.begin, |it| it + interval);
        let wait = next.saturating_sub(now);
        if wait > max_wait {
            return Decision::Denied(wait);
        }
        // A permit that nobody asked for in time makes the next one free earlier, but only one.
        issued.last = Some(next.max(now.saturating_sub(interval)));
        Decision::Granted(wait)
    }

    /// Forgets engines of which this node is no longer the issuer.
    pub fn retain(&mut self, mut is_issuer: impl FnMut(&str) -> bool) {
        self.engines.retain(|engine, _| is_issuer(engine));
    }
}

/// Mean time between two permits.
pub fn interval(rate: Rate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(Issuer::MIN_RATE))
}
