//! Rates to which engines limit the requests that they take from all nodes together.
//!
//! An engine states its limit in its responses for as long as the limit holds. Responses overtake each other, so
//! one without a limit ends the limit only if its request was sent after the limit was last stated. Nodes pass on
//! what they know to each other, and the newest statement counts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::Upstream;

use crate::BootTime;
use crate::directory::Engine;
use crate::permit::Permits;

/// Requests per second.
pub type Rate = f64;

/// Time for which the end of a limit is remembered, so that an older report does not restore the limit.
const END_RETENTION: Duration = Duration::from_secs(30);

/// Minimum lead of a report that confirms what is known. The age of a report does not include its way between
/// nodes, so the same statement looks slightly newer each time it is passed on.
const MIN_LEAD: Duration = Duration::from_millis(50);

/// The limit of one run of an engine.
#[derive(Debug, Clone)]
struct Statement {
    started_ms: u64,
    /// `None` after the limit ended.
    rate: Option<Rate>,
    /// When the engine first stated a limit that has held since.
    since: BootTime,
    /// When a response last showed this.
    stated_at: BootTime,
    /// Permits of this node under this limit.
    permits: Permits,
}

/// A limit, or the end of one, as passed on between nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Name of the engine.
    pub engine: Upstream,
    /// Start of its run, as in [`Engine::started_ms`].
    pub started_ms: u64,
    /// The limit; `None` if it ended.
    pub rate: Option<Rate>,
    /// Time since the engine first stated a limit that has held since.
    pub since: Duration,
    /// Time since a response last showed this.
    pub age: Duration,
}

/// A change of what is known about an engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Limit before the change; `None` if there was none.
    pub before: Option<Rate>,
    /// Limit after it; `None` if it ended.
    pub after: Option<Rate>,
}

/// The limits of all engines, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    engines: HashMap<Upstream, Statement>,
}

impl Limits {
    /// The limit in force at an engine.
    pub fn rate(&self, engine: &Engine) -> Option<Rate> {
        self.statement(engine)?.rate
    }

    /// Time until this node may use a permit for a request to an engine or ask for one; zero if there is no limit.
    pub fn denied_for(&self, engine: &Engine, now: BootTime) -> Duration {
        self.statement(engine)
            .filter(|it| it.rate.is_some())
            .map_or(Duration::ZERO, |it| it.permits.denied_for(now))
    }

    /// Permits of this node for an engine that has a limit.
    pub fn permits(&mut self, engine: &Engine) -> Option<&mut Permits> {
        self.engines
            .get_mut(&engine.id)
            .filter(|it| it.started_ms == engine.started_ms && it.rate.is_some())
            .map(|it| &mut it.permits)
    }

    /// Records the limit that a response states, if any, to a request that was sent at `sent_at`.
    ///
    /// Returns what it changes.
    pub fn record_response(
        &mut self,
        engine: &Engine,
        stated: Option<Rate>,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<Change> {
        let is_earlier_run = |it: &Statement| it.started_ms > engine.started_ms;
        if self.engines.get(&engine.id).is_some_and(is_earlier_run) {
            return None;
        }
        let known = self.statement(engine);
        let ends = known.is_some_and(|it| it.rate.is_some() && it.stated_at < sent_at);
        if stated.is_none() && !ends {
            return None;
        }
        let since = known.filter(|it| it.rate.is_some()).map_or(now, |it| it.since);
        self.set(&engine.id, engine.started_ms, stated, since, now)
    }

    /// Applies a report of another node; returns what it changes.
    pub fn apply(&mut self, report: &Report, now: BootTime) -> Option<Change> {
        let stated_at = now.saturating_sub(report.age);
        let is_newer = match self.engines.get(&report.engine) {
            None => true,
            Some(known) if known.started_ms != report.started_ms => report.started_ms > known.started_ms,
            Some(known) if known.rate == report.rate => stated_at > known.stated_at + MIN_LEAD,
            Some(known) => stated_at > known.stated_at,
        };
        if !is_newer {
            return None;
        }
        let since = now.saturating_sub(report.since);
        self.set(&report.engine, report.started_ms, report.rate, since, stated_at)
    }

    /// What this node knows about an engine, for another node.
    pub fn report(&self, engine: &str, now: BootTime) -> Option<Report> {
        let (id, it) = self.engines.get_key_value(engine)?;
        Some(Report {
            engine: id.clone(),
            started_ms: it.started_ms,
            rate: it.rate,
            since: now.saturating_sub(it.since),
            age: now.saturating_sub(it.stated_at),
        })
    }

    /// All reports, including limits that ended recently.
    pub fn reports(&self, now: BootTime) -> Vec<Report> {
        self.engines
            .keys()
            .filter_map(|it| self.report(it, now))
            .collect()
    }

    /// Drops limits that ended long ago.
    pub fn expire(&mut self, now: BootTime) {
        self.engines
            .retain(|_, it| it.rate.is_some() || now.saturating_sub(it.stated_at) < END_RETENTION);
    }

    /// Drops the limits of engines that are no longer listed.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>) {
        let listed: HashSet<_> = listed.map(|it| it.id.clone()).collect();
        self.engines.retain(|id, _| listed.contains(id));
    }

    fn set(
        &mut self,
        engine: &Upstream,
        started_ms: u64,
        rate: Option<Rate>,
        since: BootTime,
        stated_at: BootTime,
    ) -> Option<Change> {
        let known = self.engines.get(engine).filter(|it| it.started_ms == started_ms);
        let before = known.and_then(|it| it.rate);
        let statement = Statement {
            started_ms,
            rate,
            since,
            stated_at,
            // Under another limit, a permit may be free earlier, or later than one that was issued.
            permits: known
                .filter(|it| it.rate == rate)
                .map_or_else(Permits::default, |it| it.permits.clone()),
        };
        self.engines.insert(engine.clone(), statement);
        (before != rate).then_some(Change { before, after: rate })
    }

    fn statement(&self, engine: &Engine) -> Option<&Statement> {
        self.engines
            .get(&engine.id)
            .filter(|it| it.started_ms == engine.started_ms)
    }
}
