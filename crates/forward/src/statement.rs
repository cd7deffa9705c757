//! What engines state about the requests that they take: a limit, a time without any, or that they leave.
//!
//! Each statement belongs to one run of an engine. A limit and a leaving hold for all nodes, which tell each other.
//! An engine closes for the node that it turned away, so that is known to this node alone.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::Upstream;

use crate::BootTime;
use crate::brittle::Brittle;
use crate::directory::Engine;
use crate::permit::Permits;
use crate::request_limit::{Limits, Rate};
use crate::warm_up::{Phase, WarmUps};

/// Time for which an engine that has left is remembered after its entry disappeared. A registry that comes back from
/// an older copy, or a node that was cut off, may list it again.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Maximum time for which an engine is closed. One that states more has a fault; its operators mend or restart it
/// sooner.
const MAX_CLOSING: Duration = Duration::from_secs(3600);

/// Time for which an engine is closed that states a time which cannot be parsed.
const DEFAULT_CLOSING: Duration = Duration::from_secs(1);

/// Range of the times after the end of a closing in which the nodes return, as a fraction of the stated time, and its
/// bounds.
const SPREAD_FRACTION: f64 = 0.2;
const MIN_SPREAD: Duration = Duration::from_millis(50);
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// A value in the head of an engine's response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Stated<T> {
    /// The response does not have it.
    #[default]
    Nothing,
    /// The value.
    Value(T),
    /// The response has one that cannot be parsed.
    Unreadable,
}

/// One run of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Run {
    /// Name of the engine.
    pub engine: Upstream,
    /// Start of the run, as in [`Engine::started_ms`].
    pub started_ms: u64,
}

impl Run {
    /// The run of an engine that is listed.
    pub fn of(engine: &Engine) -> Self {
        Self {
            engine: engine.id.clone(),
            started_ms: engine.started_ms,
        }
    }
}

/// Whether a new request may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It takes requests.
    Open,
    /// It takes requests with a permit, for which this node may ask after a wait.
    Limited(Duration),
    /// It takes no requests of this node until it opens after a wait.
    Closed(Duration),
    /// This run takes no more requests.
    Leaving,
    /// Operators have ordered to evacuate its failure domain.
    Evacuated,
}

impl Access {
    /// Whether a request that was chosen for the engine, and has a permit if it needs one, may still be sent.
    pub fn may_send(self) -> bool {
        matches!(self, Self::Open | Self::Limited(_))
    }

    /// Time until the engine may take a request; `None` if it never will, or nobody knows when.
    pub fn wait(self) -> Option<Duration> {
        match self {
            Self::Open => Some(Duration::ZERO),
            Self::Limited(wait) | Self::Closed(wait) => Some(wait),
            Self::Leaving | Self::Evacuated => None,
        }
    }
}

/// Time without requests that an engine asked for.
#[derive(Debug, Clone, Copy)]
struct Closing {
    opens_at: BootTime,
    /// Position of this node among those that return, from 0 to 1.
    position: f64,
}

/// A recorded closing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClosingChange {
    /// Whether the engine was open before.
    pub began: bool,
    /// Time until it opens.
    pub wait: Duration,
    /// Whether the engine stated more than the maximum.
    pub capped: bool,
}

/// The statements of all engines, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct Statements {
    /// Limits of requests.
    pub limits: Limits,
    /// Services whose engines are brittle.
    pub brittle: Brittle,
    /// Engines that are not warm.
    pub warm_ups: WarmUps,
    /// Runs that leave, and since when their entry is missing.
    leaving: HashMap<Run, Option<BootTime>>,
    closings: HashMap<Run, Closing>,
}

impl Statements {
    /// Whether a new request may be sent to an engine.
    pub fn access(&self, engine: &Engine, now: BootTime) -> Access {
        let run = Run::of(engine);
        if self.leaving.contains_key(&run) {
            return Access::Leaving;
        }
        match self.closings.get(&run) {
            Some(it) if now < it.opens_at => return Access::Closed(it.opens_at - now),
            _ => {}
        }
        let needs_place = self.brittle.needs_place(&engine.service, now);
        if !needs_place && self.rate(engine, now).is_none() {
            return Access::Open;
        }
        let denied_for = match needs_place {
            true => self.brittle.denied_for(&engine.id, now),
            false => Duration::ZERO,
        };
        let denied_for = denied_for.max(self.limits.denied_for(engine, now));
        Access::Limited(denied_for.max(self.warm_ups.denied_for(engine, now)))
    }

    /// Rate to which an engine is limited for all nodes together: the lower one of what it states and what it tolerates
    /// while it is cold.
    pub fn rate(&self, engine: &Engine, now: BootTime) -> Option<Rate> {
        let rates = [self.limits.rate(engine), self.warm_ups.rate(engine, now)];
        rates.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Permits of this node for an engine that is limited.
    pub fn permits(&mut self, engine: &Engine, now: BootTime) -> Option<&mut Permits> {
        match self.warm_ups.permits(engine, now) {
            Some(it) => Some(it),
            None => self.limits.permits(engine),
        }
    }

    /// Whether no request may reach an engine without a permit that is still valid, even if it was chosen before the engine
    /// was limited. What exceeds the rate of an engine that states a limit is turned away; a cold one may crash.
    pub fn is_fragile(&self, engine: &Engine, now: BootTime) -> bool {
        let phase = self.warm_ups.phase(engine, now);
        matches!(phase, Some(Phase::Suspected | Phase::Cold)) && self.warm_ups.rate(engine, now).is_some()
    }

    /// Records that an engine states that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, engine: &Engine) -> bool {
        self.apply_leaving(Run::of(engine))
    }

    /// Applies the report of another node that a run leaves; returns whether that is new.
    pub fn apply_leaving(&mut self, run: Run) -> bool {
        let is_new = !self.leaving.contains_key(&run);
        if is_new {
            self.leaving.insert(run, None);
        }
        is_new
    }

    /// Runs that leave and are still listed, for other nodes.
    pub fn leaving(&self) -> impl Iterator<Item = &Run> {
        self.leaving
            .iter()
            .filter(|(_, missing_since)| missing_since.is_none())
            .map(|(run, _)| run)
    }

    /// Records that an engine wants no requests of this node for a time, counted from `now`.
    ///
    /// Zero closes nothing, and a later answer never shortens a closing. `position` is random between 0 and 1; it keeps
    /// nodes that were turned away together from returning together. Returns `None` if the engine stays as it was.
    pub fn record_closing(
        &mut self,
        engine: &Engine,
        stated: Stated<Duration>,
        position: f64,
        now: BootTime,
    ) -> Option<ClosingChange> {
        let time = match stated {
            Stated::Nothing | Stated::Value(Duration::ZERO) => return None,
            Stated::Value(time) => time,
            Stated::Unreadable => DEFAULT_CLOSING,
        };
        let run = Run::of(engine);
        let known = self.closings.get(&run).filter(|it| now < it.opens_at);
        let position = known.map_or(position, |it| it.position);
        let capped = time > MAX_CLOSING;
        let time = time.min(MAX_CLOSING);
        let spread = time.mul_f64(SPREAD_FRACTION).clamp(MIN_SPREAD, MAX_SPREAD);
        let opens_at = now + time + spread.mul_f64(position);
        if known.is_some_and(|it| opens_at <= it.opens_at) {
            return None;
        }
        let change = ClosingChange {
            began: known.is_none(),
            wait: opens_at - now,
            capped,
        };
        self.closings.insert(run, Closing { opens_at, position });
        Some(change)
    }

    /// Drops what is over; returns the runs that have opened again.
    pub fn expire(&mut self, now: BootTime) -> Vec<Run> {
        self.limits.expire(now);
        self.brittle.expire(now);
        self.warm_ups.expire(now);
        self.leaving.retain(|_, missing_since| {
            missing_since.is_none_or(|it| now.saturating_sub(it) < LEAVING_RETENTION)
        });
        let opened = self.closings.extract_if(|_, it| it.opens_at <= now);
        opened.map(|(run, _)| run).collect()
    }

    /// Notes which engines are listed, and drops the limits of others.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a Arc<Engine>>, now: BootTime) {
        let listed: Vec<_> = listed.collect();
        self.limits.retain(listed.iter().copied());
        self.warm_ups.retain(listed.iter().copied());
        let listed: HashSet<_> = listed.into_iter().map(|it| Run::of(it)).collect();
        for (run, missing_since) in &mut self.leaving {
            *missing_since = match listed.contains(run) {
                true => None,
                false => Some(missing_since.unwrap_or(now)),
            };
        }
    }
}
