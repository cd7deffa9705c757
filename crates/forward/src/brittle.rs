//! Services whose engines are brittle: one that has to turn away too many requests in a second falls over.
//!
//! The engines say so in all their responses for as long as it holds. Nodes pass on what they know to each other. Once
//! all of them know, requests need a place at an engine, see [`crate::occupancy`].

use std::collections::HashMap;
use std::time::Duration;

use model::{Name, Upstream};

use crate::BootTime;

/// Requests that an engine can turn away in a second without falling over.
pub type Tolerance = u32;

/// What the engines of a service have stated.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// `None` after it ended.
    tolerance: Option<Tolerance>,
    /// When they first stated it.
    since: BootTime,
    /// When a response last showed this.
    stated_at: BootTime,
}

/// A statement as passed on between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Service of the engines.
    pub service: Name,
    /// What they state.
    pub tolerance: Tolerance,
    /// Time since they first stated it.
    pub since: Duration,
    /// Time since a response last showed it.
    pub age: Duration,
}

/// A change of what is known about a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Tolerance before the change; `None` if the engines were not brittle.
    pub before: Option<Tolerance>,
    /// Tolerance after it.
    pub after: Option<Tolerance>,
}

/// The brittle services, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct Brittle {
    services: HashMap<Name, Statement>,
    /// Engines that had no place for this node, and when it may ask again.
    denied: HashMap<Upstream, BootTime>,
}

impl Brittle {
    /// Time after the first statement in which all nodes learn of it and tell what they have at the engines.
    pub const GRACE: Duration = Duration::from_millis(1500);

    /// Time after which a statement that no response has repeated is over.
    const RETENTION: Duration = Duration::from_secs(5);

    /// Time for which the end of a statement is remembered, so that an older report does not restore it.
    const END_RETENTION: Duration = Duration::from_secs(30);

    /// Records what a response states to a request that was sent at `sent_at`; returns what it changes.
    pub fn record_response(
        &mut self,
        service: &Name,
        stated: Option<Tolerance>,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<Change> {
        let known = self.services.get(service).copied();
        let before = self.tolerance(service, now);
        // Responses overtake each other.
        if stated.is_none() && known.is_none_or(|it| sent_at <= it.stated_at) {
            return None;
        }
        let since = known.filter(|_| before.is_some()).map_or(now, |it| it.since);
        let statement = Statement {
            tolerance: stated,
            since,
            stated_at: now,
        };
        self.services.insert(service.clone(), statement);
        changed(before, stated)
    }

    /// Applies the report of another node; returns what it changes.
    pub fn apply(&mut self, report: &Report, now: BootTime) -> Option<Change> {
        let before = self.tolerance(&report.service, now);
        let stated_at = now.saturating_sub(report.age);
        let known = self.services.get(&report.service).copied();
        if report.age >= Self::RETENTION || known.is_some_and(|it| stated_at <= it.stated_at) {
            return None;
        }
        let told = now.saturating_sub(report.since);
        let since = known
            .filter(|_| before.is_some())
            .map_or(told, |it| it.since.min(told));
        let statement = Statement {
            tolerance: Some(report.tolerance),
            since,
            stated_at,
        };
        self.services.insert(report.service.clone(), statement);
        changed(before, Some(report.tolerance))
    }

    /// What is known, for other nodes.
    pub fn reports(&self, now: BootTime) -> Vec<Report> {
        let report = |(service, it): (&Name, &Statement)| {
            Some(Report {
                service: service.clone(),
                tolerance: it.tolerance.filter(|_| it.is_valid(now))?,
                since: now.saturating_sub(it.since),
                age: now.saturating_sub(it.stated_at),
            })
        };
        self.services.iter().filter_map(report).collect()
    }

    /// What the engines of a service state; `None` if they are not brittle.
    pub fn tolerance(&self, service: &str, now: BootTime) -> Option<Tolerance> {
        let statement = self.services.get(service).filter(|it| it.is_valid(now))?;
        statement.tolerance
    }

    /// Time since the engines of a service first stated that they are brittle, if they still are.
    pub fn since(&self, service: &str, now: BootTime) -> Option<Duration> {
        self.tolerance(service, now)?;
        let statement = self.services.get(service)?;
        Some(now.saturating_sub(statement.since))
    }

    /// Whether a request to a service needs a place at its engine.
    pub fn needs_place(&self, service: &str, now: BootTime) -> bool {
        self.since(service, now).is_some_and(|it| it >= Self::GRACE)
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: BootTime) {
        self.services
            .retain(|_, it| now.saturating_sub(it.stated_at) < Self::END_RETENTION);
    }

    /// Records that an engine has no place for this node for a time.
    pub fn record_denial(&mut self, engine: &Upstream, wait: Duration, now: BootTime) {
        self.denied.retain(|_, it| now < *it);
        self.denied.insert(engine.clone(), now + wait);
    }

    /// Time until this node may ask for a place at an engine.
    pub fn denied_for(&self, engine: &str, now: BootTime) -> Duration {
        let until = self.denied.get(engine).copied().unwrap_or_default();
        until.saturating_sub(now)
    }
}

impl Statement {
    fn is_valid(&self, now: BootTime) -> bool {
        now.saturating_sub(self.stated_at) < Brittle::RETENTION
    }
}

fn changed(before: Option<Tolerance>, after: Option<Tolerance>) -> Option<Change> {
    (before != after).then_some(Change { before, after })
}
