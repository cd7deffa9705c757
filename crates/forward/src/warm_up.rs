//! Engines that are cold: for a time after their start they tolerate few requests, whichever node sends them.
//!
//! A cold engine takes requests with a permit only, at the rate that its service's configuration states, see
//! [`crate::permit`]. After the cold time the issuer of its permits raises the rate as the responses allow, see [`Pace`],
//! until it is no limit. Engines become cold in ways that a node does not see, so it infers it as well:
//!
//! - An engine that failed attempts is *suspected*: it may have restarted. It gets a few requests, and counts as cold from
//!   its first response, which this node tells the others. An attempt that began before the engine's last response shows
//!   nothing, however late it fails.
//! - An engine whose registry entry appears while the node runs is cold for the whole cold time from then on.
//!
//! Each inference only makes a warm engine need permits for a few seconds. Nodes tell each other what they know. Times
//! are counted from when they were learned, so an engine counts as cold for longer than it is, never for less.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::{Name, Upstream};

use crate::BootTime;
use crate::directory::Engine;
use crate::permit::Permits;
use crate::request_limit::Rate;
use crate::retry::Failure;

mod demand;
mod entry;
mod pace;
mod phase;
mod report;

use demand::Demand;
use entry::Entry;
pub use pace::{Outcomes, Pace};
pub use phase::Phase;
pub use report::Report;

/// What the engines of a service tolerate while they are cold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Terms {
    /// Time for which an engine is cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold engine takes from all nodes together; `None` if it takes any number.
    pub cold_rate: Option<Rate>,
}

/// How the issuer of an engine's permits limits it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Allowance {
    /// To a rate, for all nodes together.
    Rate(Rate),
    /// No more: the warm-up has ended.
    Over,
}

/// All engines that are not warm, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct WarmUps {
    terms: HashMap<Name, Terms>,
    engines: HashMap<Upstream, Entry>,
    /// Start of the run that responded last, and when, of each engine that may become cold.
    responses: HashMap<Upstream, (u64, BootTime)>,
    demands: HashMap<Name, Demand>,
}

impl WarmUps {
    /// Upper bound of a stated cold time. One that states more has a fault, and would get few requests for long.
    const MAX_COLD: Duration = Duration::from_secs(60);

    /// Time after a failure for which an engine is suspected that has not responded since. With 10 s, an engine that was
    /// unreachable for that long was taken for warm at the moment of its return. A sound engine responds to the first
    /// request with a permit.
    pub const SUSPICION: Duration = Duration::from_secs(60);

    /// Maximum requests per second to a suspected engine: enough to see that it runs. Each costs a request the time to
    /// connect; with a third of 90 engines unreachable, that concerns one request in twenty at 565 per second.
    const SUSPECTED_RATE: Rate = 1.0;

    /// First rate of an engine that states none for its cold time, as a fraction of the mean rate of its service's engines.
    const FIRST_FRACTION: f64 = 0.25;

    /// First rate below which an engine would show too little.
    const MIN_FIRST_RATE: Rate = 1.0;

    /// Replaces the terms of all services. Engines of others are always warm.
    pub fn configure(&mut self, mut terms: HashMap<Name, Terms>) {
        for it in terms.values_mut() {
            it.cold_time = it.cold_time.min(Self::MAX_COLD);
        }
        self.terms = terms;
        self.demands.retain(|service, _| self.terms.contains_key(service));
    }

    /// Whether the engines of a service warm up.
    pub fn concerns(&self, service: &str) -> bool {
        self.terms.contains_key(service)
    }

    /// State of an engine; `None` if it is warm.
    pub fn phase(&self, engine: &Engine, now: BootTime) -> Option<Phase> {
        self.terms.get(&engine.service)?;
        self.entry(engine)?.phase(now)
    }

    /// Rate to which an engine is limited for all nodes together; that of an engine whose rate grows is at least this.
    pub fn rate(&self, engine: &Engine, now: BootTime) -> Option<Rate> {
        let terms = self.terms.get(&engine.service)?;
        rate_in(self.entry(engine)?.phase(now)?, *terms)
    }

    /// Time until this node may use a permit for a request to an engine or ask for one; zero for an engine without limit.
    pub fn denied_for(&self, engine: &Engine, now: BootTime) -> Duration {
        match self.rate(engine, now) {
            Some(_) => self
                .entry(engine)
                .map_or(Duration::ZERO, |it| it.permits.denied_for(now)),
            None => Duration::ZERO,
        }
    }

    /// Permits of this node for an engine that is limited.
    pub fn permits(&mut self, engine: &Engine, now: BootTime) -> Option<&mut Permits> {
        self.rate(engine, now)?;
        self.engines.get_mut(&engine.id).map(|it| &mut it.permits)
    }

    /// Records the registry entry of an engine, of which `is_start` says whether it appeared while the node ran.
    ///
    /// Returns a report for other nodes if the engine was warm for all this node knew.
    pub fn record_listed(&mut self, engine: &Engine, is_start: bool, now: BootTime) -> Option<Report> {
        let inferred = is_start.then(|| self.cold_time(engine)).flatten();
        self.begin_cold(engine, inferred.max(stated(engine.cold_left)), now)
    }

    /// Records the response of an engine, and the remaining cold time that it states.
    ///
    /// Returns a report for other nodes if it shows something new: that the engine is cold, or that a suspected one runs.
    pub fn record_response(
        &mut self,
        engine: &Engine,
        cold_left: Option<Duration>,
        now: BootTime,
    ) -> Option<Report> {
        let known = self.responses.get(&engine.id);
        if self.concerns(&engine.service) && known.is_none_or(|it| it.0 <= engine.started_ms) {
            let response = (engine.started_ms, now);
            self.responses.insert(engine.id.clone(), response);
        }
        let is_suspected = self.phase(engine, now) == Some(Phase::Suspected);
        let inferred = is_suspected.then(|| self.cold_time(engine)).flatten();
        self.begin_cold(engine, inferred.max(cold_left.and_then(stated)), now)
    }

    /// Records the failure of an attempt that began at `began_at`.
    pub fn record_failure(&mut self, engine: &Engine, failure: Failure, began_at: BootTime, now: BootTime) {
        // An engine that is silent may be overloaded, and so may all of a small service; permits would take away what it
        // still serves.
        let may_have_ended = matches!(failure, Failure::Unreachable | Failure::Lost);
        if may_have_ended && self.concerns(&engine.service) && !self.has_responded_since(engine, began_at) {
            self.suspect(engine, now);
        }
    }

    /// Marks all engines of a failure domain as cold for the cold time of their service from a moment on, whatever else is
    /// known about them; returns their number.
    pub fn mark_domain<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a Arc<Engine>>,
        domain: &str,
        from: BootTime,
        now: BootTime,
    ) -> usize {
        let engines: Vec<_> = listed.filter(|it| *it.domain == *domain).collect();
        let mut marked = 0;
        for engine in engines {
            let end = self.cold_time(engine).map(|it| from + it);
            if let Some(end) = end.filter(|it| now < *it) {
                self.begin_cold(engine, Some(end - now), now);
                marked += 1;
            }
        }
        marked
    }

    /// Applies the report of another node; returns whether the engine was warm for all this node knew.
    pub fn apply(&mut self, report: &Report, now: BootTime) -> bool {
        if self.is_earlier_run(&report.engine, report.started_ms) {
            return false;
        }
        let cold_time = self
            .terms
            .get(&report.service)
            .map_or(Duration::ZERO, |it| it.cold_time);
        let began_at = now.saturating_sub(report.since);
        let left = report.left.min(Self::MAX_COLD);
        let known = self.engines.get_mut(&report.engine);
        if let Some(entry) = known.filter(|it| it.started_ms == report.started_ms) {
            match report.phase {
                // It is known here to have been cold, if not that it has responded since it failed.
                Phase::Warming => {
                    entry.end_suspicion(now + left, cold_time, now);
                    return false;
                }
                // The cold time that followed the failure is known here.
                Phase::Suspected
                    if entry.explains((now + left).saturating_sub(Self::SUSPICION), cold_time) =>
                {
                    return false;
                }
                Phase::Suspected | Phase::Cold => {}
            }
        }
        let (entry, is_new) = self.begin(&report.engine, report.started_ms, &report.service, began_at, now);
        match report.phase {
            // One that has run since it failed elsewhere is known to be cold here.
            Phase::Suspected if is_new => entry.suspect(now, now + left.min(Self::SUSPICION)),
            Phase::Suspected => {}
            Phase::Cold => {
                // The report may be older than a failure that this node saw.
                if entry.suspected_before(now + left + Entry::MIN_LEAD, cold_time) {
                    entry.record_life();
                }
                entry.extend_cold(now + left);
            }
            Phase::Warming => entry.resume_warming(now + left),
        }
        is_new
    }

    /// Records that the issuer of an engine's permits has ended its warm-up.
    pub fn record_over(&mut self, engine: &str, started_ms: u64, now: BootTime) -> bool {
        let known = self.engines.get_mut(engine);
        let run = known.filter(|it| it.started_ms == started_ms);
        let Some(entry) = run.filter(|it| it.phase(now) == Some(Phase::Warming)) else {
            return false;
        };
        entry.is_over = true;
        true
    }

    /// What this node knows about an engine that is not warm, for another node.
    pub fn report(&self, engine: &str, now: BootTime) -> Option<Report> {
        let (id, entry) = self.engines.get_key_value(engine)?;
        self.terms.get(&entry.service)?;
        let phase = entry.phase(now)?;
        Some(Report {
            engine: id.clone(),
            started_ms: entry.started_ms,
            service: entry.service.clone(),
            phase,
            left: entry.end(phase).saturating_sub(now),
            since: now.saturating_sub(entry.since),
        })
    }

    /// All reports.
    pub fn reports(&self, now: BootTime) -> Vec<Report> {
        self.engines
            .keys()
            .filter_map(|it| self.report(it, now))
            .collect()
    }

    /// How the issuer of an engine's permits limits it; `None` if the engine is warm. `mean` is the mean rate of an engine of
    /// its service.
    pub fn allowance(
        &mut self,
        engine: &str,
        mean: impl Fn(Rate) -> Rate,
        now: BootTime,
    ) -> Option<Allowance> {
        let entry = self.engines.get_mut(engine)?;
        let terms = *self.terms.get(&entry.service)?;
        let Some(phase) = entry.phase(now) else {
            return entry.is_over.then_some(Allowance::Over);
        };
        if phase != Phase::Warming {
            return rate_in(phase, terms).map(Allowance::Rate);
        }
        let own = self.demands.get(&entry.service).map_or(0.0, |it| it.rate(now));
        let mean = mean(own);
        let first = terms
            .cold_rate
            .unwrap_or_else(|| (mean * Self::FIRST_FRACTION).max(Self::MIN_FIRST_RATE));
        let pace = entry.pace.get_or_insert_with(|| Pace::new(first));
        if pace.is_over(mean, now) {
            entry.is_over = true;
            return Some(Allowance::Over);
        }
        Some(Allowance::Rate(pace.rate()))
    }

    /// The rate that this node keeps for an engine as the issuer of its permits.
    pub fn pace(&self, engine: &Engine) -> Option<Rate> {
        Some(self.entry(engine)?.pace?.rate())
    }

    /// Records a request to the engines of a service.
    pub fn record_request(&mut self, service: &Name, now: BootTime) {
        if self.terms.contains_key(service) {
            self.demands.entry(service.clone()).or_default().record(now);
        }
    }

    /// Applies the outcomes that a node reports to the rate of an engine of which this node is the issuer.
    pub fn apply_outcomes(&mut self, engine: &str, started_ms: u64, outcomes: Outcomes, now: BootTime) {
        let known = self
            .engines
            .get_mut(engine)
            .filter(|it| it.started_ms == started_ms);
        if let Some(pace) = known.and_then(|it| it.pace.as_mut()) {
            pace.record(outcomes, now);
        }
    }

    /// Forgets the rates of engines of which this node is no longer the issuer.
    pub fn retain_paces(&mut self, mut is_issuer: impl FnMut(&str) -> bool) {
        for (engine, entry) in &mut self.engines {
            entry.pace = entry.pace.filter(|_| is_issuer(engine));
        }
    }

    /// Drops engines that are warm; returns them.
    pub fn expire(&mut self, now: BootTime) -> Vec<Upstream> {
        let warm = self.engines.extract_if(|_, it| it.is_done(now));
        warm.map(|it| it.0).collect()
    }

    /// Drops engines that are no longer listed.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>) {
        if self.engines.is_empty() && self.responses.is_empty() {
            return;
        }
        let listed: HashSet<_> = listed.map(|it| it.id.clone()).collect();
        self.engines.retain(|id, _| listed.contains(id));
        self.responses.retain(|id, _| listed.contains(id));
    }

    /// Time for which an engine is cold after its start; `None` if it does not warm up.
    fn cold_time(&self, engine: &Engine) -> Option<Duration> {
        self.terms.get(&engine.service).map(|it| it.cold_time)
    }

    /// Whether an engine, or a later run of it, has responded since a time, to this node or to one that told it.
    fn has_responded_since(&self, engine: &Engine, time: BootTime) -> bool {
        let own = self.responses.get(&engine.id);
        let cold_time = self.cold_time(engine).unwrap_or_default();
        own.is_some_and(|it| it.0 >= engine.started_ms && time < it.1)
            || self.entry(engine).is_some_and(|it| it.explains(time, cold_time))
    }

    fn suspect(&mut self, engine: &Engine, now: BootTime) -> bool {
        if self.is_earlier_run(&engine.id, engine.started_ms) {
            return false;
        }
        let (entry, is_new) = self.begin(&engine.id, engine.started_ms, &engine.service, now, now);
        entry.suspect(now, now + Self::SUSPICION);
        is_new
    }

    /// Records that an engine is cold for a time, and warms up then; returns a report if that is new.
    fn begin_cold(&mut self, engine: &Engine, left: Option<Duration>, now: BootTime) -> Option<Report> {
        let left = left.filter(|_| !self.is_earlier_run(&engine.id, engine.started_ms))?;
        let was_suspected = self.phase(engine, now) == Some(Phase::Suspected);
        let (entry, is_new) = self.begin(&engine.id, engine.started_ms, &engine.service, now, now);
        entry.record_life();
        entry.extend_cold(now + left.min(Self::MAX_COLD));
        match is_new || was_suspected {
            true => self.report(&engine.id, now),
            false => None,
        }
    }

    /// The entry of an engine that is suspected or cold from now on, and whether it was neither before.
    fn begin(
        &mut self,
        engine: &Upstream,
        started_ms: u64,
        service: &Name,
        began_at: BootTime,
        now: BootTime,
    ) -> (&mut Entry, bool) {
        let known = self.engines.get(engine).filter(|it| it.started_ms == started_ms);
        let phase = known.and_then(|it| it.phase(now));
        let is_new = matches!(phase, None | Some(Phase::Warming));
        let new = || Entry::new(started_ms, service.clone(), began_at);
        let entry = self.engines.entry(engine.clone()).or_insert_with(new);
        if is_new {
            *entry = new();
        }
        entry.since = entry.since.min(began_at);
        (entry, is_new)
    }

    fn is_earlier_run(&self, engine: &Upstream, started_ms: u64) -> bool {
        self.engines
            .get(engine)
            .is_some_and(|it| started_ms < it.started_ms)
    }

    fn entry(&self, engine: &Engine) -> Option<&Entry> {
        self.engines
            .get(&engine.id)
            .filter(|it| it.started_ms == engine.started_ms)
    }
}

/// Rate in a phase; a lower bound for an engine whose rate grows.
fn rate_in(phase: Phase, terms: Terms) -> Option<Rate> {
    match phase {
        Phase::Suspected => terms.cold_rate.map(|it| it.min(WarmUps::SUSPECTED_RATE)),
        Phase::Cold => terms.cold_rate,
        Phase::Warming => Some(terms.cold_rate.unwrap_or(WarmUps::MIN_FIRST_RATE)),
    }
}

/// A stated cold time; zero states none.
fn stated(cold_left: Duration) -> Option<Duration> {
    Some(cold_left).filter(|it| !it.is_zero())
}
