//! The part of a limit over all nodes that one node may use as if no other were there.
//!
//! Each node takes one part for each host of the fleet, so parts add up to at most the whole as long as no node counts
//! fewer hosts than there are:
//!
//! - A new process waits until all hosts count it, and until what they had before, and what the process before it has
//!   used, has left every window.
//! - A host that can't be reached counts on, as it may only be cut off. Only nodes that still reach most of the fleet
//!   forget it after [`FleetPart::LOST_RETENTION`]; by then the nodes of a smaller part have used nothing for a while.
//! - Nodes tell each other how many hosts they know from their own experience, since a new process can't know what was
//!   lost before. The processes of a part that was cut off can't know the rest if all of them have started since.
//! - How nodes find out that all of them count as many is in [`agreement`].

use std::time::Duration;

use crate::BootTime;
use crate::retry_budget::{Part, Reservation};

pub mod agreement;

/// What started with a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The whole fleet, for the first time: nothing was used before.
    Fleet,
    /// This process only, as far as it knows.
    Process,
}

/// Hosts of the fleet, as one node knows them at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Hosts that are reached, including the node's own.
    pub reachable: usize,
    /// These, those that were lost recently, and seeds that were not met.
    pub known: usize,
    /// Number of hosts that each other host has told that it knows.
    pub told: Vec<usize>,
    /// Other hosts that are reached and tell nothing, as their builds are older. They count a new host as soon as they
    /// know of it.
    pub older: usize,
}

impl Observation {
    /// Whether all of `hosts` hosts count as many.
    fn is_agreed(&self, hosts: usize) -> bool {
        let agreeing = self.told.iter().filter(|it| **it >= hosts).count();
        1 + self.older + agreeing >= hosts
    }
}

/// Size of the fleet, as one node knows it.
#[derive(Debug, Clone)]
pub struct FleetPart {
    start: Start,
    started_at: BootTime,
    /// When all hosts began to count this node; `None` before, and once it has reached too few hosts for too long.
    joined_at: Option<BootTime>,
    /// Hosts that this node has observed.
    observed: usize,
    /// Largest number of hosts that another node knows, and when it last said so.
    told: Option<(usize, BootTime)>,
    /// When the node last reached most of the fleet.
    majority_at: BootTime,
    /// When the node last reached all hosts that it has observed.
    complete_at: BootTime,
    /// When a host of an older build was last reached.
    older_at: Option<BootTime>,
    /// Hosts that are divided by, and when they last became more.
    risen: (usize, BootTime),
    /// Hosts that all nodes were last confirmed to count.
    confirmed: usize,
}

impl FleetPart {
    /// Time for which a host that is lost counts.
    pub const LOST_RETENTION: Duration = Duration::from_secs(60);

    /// Time after which a node that doesn't reach most of the fleet uses no part of it.
    const MINORITY_RETENTION: Duration = Duration::from_secs(30);

    /// Time within which the processes of a fleet start and find each other.
    const START_TIME: Duration = Duration::from_secs(5);

    /// Time after joining within which a new process learns of hosts that it had not met. It is shorter than the wait for
    /// any window.
    const PROBATION: Duration = Duration::from_secs(5);

    /// Time for which the hosts of a fleet that starts must not become more. The first processes would take the whole for
    /// the few that have started, and the others take their parts in the same window.
    const SETTLE_TIME: Duration = Duration::from_secs(1);

    /// The part of a process that started at a time.
    pub fn new(start: Start, started_at: BootTime) -> Self {
        Self {
            start,
            started_at,
            joined_at: None,
            observed: 1,
            told: None,
            majority_at: started_at,
            complete_at: started_at,
            older_at: None,
            risen: (1, started_at),
            confirmed: 0,
        }
    }

    /// Records what the node knows now; expected at least once a second.
    pub fn observe(&mut self, observation: &Observation, now: BootTime) {
        let told = observation.told.iter().max().copied().unwrap_or_default();
        if self.told(now) <= told {
            self.told = Some((told, now));
        }
        if observation.older > 0 {
            self.older_at = Some(now);
        }
        let known = observation.known.max(observation.reachable);
        if known >= self.observed {
            self.observed = known;
            self.complete_at = now;
        }
        self.record_rise(now);
        if observation.reachable * 2 <= self.hosts(now) {
            // What is lost counts again from the time at which most of the fleet is reached.
            self.complete_at = now;
            if now.saturating_sub(self.majority_at) >= Self::MINORITY_RETENTION {
                self.joined_at = None;
            }
            return;
        }
        self.majority_at = now;
        if now.saturating_sub(self.complete_at) >= Self::LOST_RETENTION {
            self.observed = known;
            self.complete_at = now;
        }
        if observation.is_agreed(self.hosts(now)) {
            self.confirm(self.hosts(now), now);
        }
    }

    /// Records that a node counts a number of hosts, and when one has last observed as many itself.
    pub fn record_told(&mut self, hosts: usize, at: BootTime, now: BootTime) {
        if now.saturating_sub(at) >= Self::LOST_RETENTION {
            return;
        }
        let known = self.told(now);
        let is_newer = self.told.is_none_or(|it| it.1 < at);
        if known < hosts || known == hosts && is_newer {
            self.told = Some((hosts, at));
        }
        self.record_rise(now);
    }

    /// Records that all hosts count `hosts` hosts, this process among them. All have lately been in contact with the node
    /// that found it, so this one belongs to most of the fleet although it may not have met them.
    pub fn confirm(&mut self, hosts: usize, now: BootTime) {
        self.record_rise(now);
        if hosts < self.hosts(now) {
            return;
        }
        self.majority_at = now;
        self.confirmed = hosts;
        // Seeds that were not met count, so a node that counts itself alone has nobody to wait for.
        let is_rising = hosts > 1 && now.saturating_sub(self.risen.1) < Self::SETTLE_TIME;
        if self.joined_at.is_some() || self.start == Start::Fleet && is_rising {
            return;
        }
        self.joined_at = Some(now);
        // The others may have used all of a limit without this node.
        if now.saturating_sub(self.started_at) > Self::START_TIME {
            self.start = Start::Process;
        }
    }

    /// Whether this process takes part in the limit, and all hosts were seen to count as many as it does.
    pub fn is_settled(&self, now: BootTime) -> bool {
        self.joined_at.is_some() && self.confirmed >= self.hosts(now)
    }

    /// Largest number of hosts and the time since a node observed as many itself, to be told to others.
    pub fn largest(&self, now: BootTime) -> (usize, Duration) {
        match self
            .told
            .filter(|it| it.0 > self.observed && self.told(now) == it.0)
        {
            Some((hosts, at)) => (hosts, now.saturating_sub(at)),
            None => (self.observed, Duration::ZERO),
        }
    }

    fn record_rise(&mut self, now: BootTime) {
        let hosts = self.hosts(now);
        if hosts > self.risen.0 {
            self.risen.1 = now;
            // All may have counted as many without this process, if it had not met one of them.
            let is_new = |it: BootTime| now.saturating_sub(it) < Self::PROBATION;
            if self.start == Start::Process && self.confirmed < hosts && self.joined_at.is_some_and(is_new) {
                self.joined_at = None;
            }
        }
        self.risen.0 = hosts;
    }

    /// Number of hosts that this node has observed itself, to be told to others.
    pub fn observed(&self) -> usize {
        self.observed
    }

    /// Number of hosts that a limit is divided by.
    pub fn hosts(&self, now: BootTime) -> usize {
        self.observed.max(self.told(now))
    }

    /// What this node may use of a retry limit over windows of a length.
    pub fn retry_part(&self, window: Duration, now: BootTime) -> Part {
        // What an older node sent last lies in the windows for as long again.
        let retention = window + Reservation::MAX_DELAY;
        let is_recent = |it: BootTime| now.saturating_sub(it) <= retention;
        Part {
            slack: self.part(window, now),
            ratio: match self.older_at.is_some_and(is_recent) {
                true => Part::RATIO_BESIDE_OLDER,
                false => 1.0,
            },
        }
    }

    /// Part of a limit over windows of a length that this node may use.
    pub fn part(&self, window: Duration, now: BootTime) -> f64 {
        let wait = match self.start {
            Start::Fleet => Duration::ZERO,
            Start::Process => window,
        };
        match self.joined_at {
            Some(at) if now.saturating_sub(at) >= wait => 1.0 / self.hosts(now) as f64,
            _ => 0.0,
        }
    }

    fn told(&self, now: BootTime) -> usize {
        let is_recent = |at: BootTime| now.saturating_sub(at) < Self::LOST_RETENTION;
        self.told.filter(|it| is_recent(it.1)).map_or(0, |it| it.0)
    }
}
