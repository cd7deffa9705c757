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
//!
//! A permit belongs to the node that asked for it and not to the request. Replies of a busy issuer come after the
//! request that asked has gone elsewhere; the node keeps their permits for its next requests, see [`Permits`].

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use model::Upstream;
use rand::Rng;

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
        let issued = self.issued(engine, since, now);
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

    /// Begins the wait before the first permit of an engine that has had a limit for `since`, before anybody asks.
    pub fn prepare(&mut self, engine: &Upstream, since: Duration, now: BootTime) {
        self.issued(engine, since, now);
    }

    fn issued(&mut self, engine: &Upstream, since: Duration, now: BootTime) -> &mut Issued {
        // No other node can have been the issuer of a limit that is this recent.
        let is_first = since < Self::TAKE_OVER && now.saturating_sub(self.started_at) >= Self::START_UP;
        let first_wait = match is_first {
            true => Self::PROPAGATION.saturating_sub(since),
            false => Self::TAKE_OVER,
        };
        self.engines.entry(engine.clone()).or_insert(Issued {
            begin: now + first_wait,
            last: None,
        })
    }

    /// Forgets engines of which this node is no longer the issuer.
    pub fn retain(&mut self, mut is_issuer: impl FnMut(&str) -> bool) {
        self.engines.retain(|engine, _| is_issuer(engine));
    }
}

/// Permits of a node for an engine that no request has used yet, and when the node may ask for more.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    /// Times in which each permit may be used.
    unused: Vec<Range<BootTime>>,
    denied_until: BootTime,
}

impl Permits {
    /// Time for which a permit is kept, from the query for it, so that neither a delayed reply nor a suspended host
    /// makes requests come long after the issuer counted them.
    pub const RETENTION: Duration = Duration::from_millis(500);

    /// Time for which a node does not ask again after a query without a reply, or after one to a node that did not
    /// consider itself the issuer.
    pub const NO_ISSUER_BACKOFF: Duration = Duration::from_millis(300);

    /// Questions to an issuer for each permit, by all nodes together. A denied node asks again after a random time
    /// that grows with the number of nodes.
    const QUESTIONS_PER_PERMIT: f64 = 4.0;

    /// Records a permit, valid after a wait, that was asked for at a time.
    pub fn record_grant(&mut self, wait: Duration, asked_at: BootTime, now: BootTime) {
        self.unused.push(now + wait..asked_at + wait + Self::RETENTION);
        self.denied_until = now;
    }

    /// Records that the next permit is free after a wait. `hosts` is the number of hosts that may ask for it.
    pub fn record_denial(
        &mut self,
        wait: Duration,
        rate: Rate,
        hosts: usize,
        now: BootTime,
        rng: &mut impl Rng,
    ) {
        // Denied nodes don't ask together.
        let longest = interval(rate).mul_f64(hosts as f64 / Self::QUESTIONS_PER_PERMIT);
        self.denied_until = now + wait + longest.mul_f64(rng.random_range(0.0..1.0));
    }

    /// Records that a query has no reply in time. A later one replaces this.
    pub fn record_silence(&mut self, now: BootTime) {
        self.denied_until = self.denied_until.max(now + Self::NO_ISSUER_BACKOFF);
    }

    /// Time until a request may use a permit or ask for one.
    pub fn denied_for(&self, now: BootTime) -> Duration {
        match self.unused.iter().any(|it| it.contains(&now)) {
            true => Duration::ZERO,
            false => self.denied_until.saturating_sub(now),
        }
    }

    /// Uses the permit that is valid first, if that is within `max_wait`; returns the wait.
    pub fn take(&mut self, max_wait: Duration, now: BootTime) -> Option<Duration> {
        let permit = self.take_permit(max_wait, now)?;
        Some(permit.start.saturating_sub(now))
    }

    /// As [`Self::take`]; returns the time in which the permit may be used.
    pub fn take_permit(&mut self, max_wait: Duration, now: BootTime) -> Option<Range<BootTime>> {
        self.unused.retain(|it| now < it.end);
        let first = (0..self.unused.len()).min_by_key(|it| self.unused[*it].start)?;
        let wait = self.unused[first].start.saturating_sub(now);
        (wait <= max_wait).then(|| self.unused.swap_remove(first))
    }
}

/// Mean time between two permits.
pub fn interval(rate: Rate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(Issuer::MIN_RATE))
}
