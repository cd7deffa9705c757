//! How much waits at the engines of a service.

use std::time::Duration;

use model::Name;

use crate::BootTime;
use crate::directory::Engine;
use crate::load::Loads;

/// Age up to which a report of an engine counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Share of the engines whose reports must be recent for anything to be known.
const MIN_REPORTED_SHARE: f64 = 0.5;

/// Share of the engines, those with the shortest queues, at which a request is expected to find its place. Placement
/// compares a sample of four engines, of which one is among these more often than not.
const SHORTEST_SHARE: f64 = 0.25;

/// Age up to which the backlog of a service counts; it is computed about every 100 ms.
const MAX_AGE: Duration = Duration::from_secs(1);

/// The queue of one engine that may serve requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Version of the service that the engine runs.
    pub version: Name,
    /// How often all slots must become free until the queue is empty, at the normal speed of the engine; `None` without a
    /// recent report.
    pub turns: Option<f64>,
}

impl Queue {
    /// The queue of an engine according to its newest report.
    pub fn of(engine: &Engine, loads: &Loads, now: BootTime) -> Self {
        let load = loads.get(engine);
        let recent = load.filter(|it| it.report_age(now).is_some_and(|it| it < MAX_REPORT_AGE));
        let slots = engine.slots.max(1);
        Self {
            version: engine.version.clone(),
            turns: recent.map(|it| it.estimated_waiting(slots, now) / f64::from(slots) * it.work_factor(now)),
        }
    }

    /// An engine that takes requests only at times or at a limited rate. It may serve one while queues stand elsewhere.
    pub fn limited(engine: &Engine) -> Self {
        Self {
            version: engine.version.clone(),
            turns: Some(0.0),
        }
    }
}

/// Queues of a service's engines at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Backlog {
    /// Turns of the queues that a new request finds.
    pub turns: f64,
    computed_at: BootTime,
}

impl Backlog {
    /// `None` if too few engines have recent reports.
    pub(super) fn of(queues: &[Queue], now: BootTime) -> Option<Self> {
        let known = queues.iter().filter(|it| it.turns.is_some()).count();
        if known == 0 || (known as f64) < MIN_REPORTED_SHARE * queues.len() as f64 {
            return None;
        }
        let mut versions: Vec<_> = queues.iter().map(|it| &it.version).collect();
        versions.sort_unstable();
        versions.dedup();
        // During a release, a request goes to either version.
        let turns = versions.into_iter().map(|version| {
            let of_version = queues.iter().filter(|it| it.version == *version);
            shortest(of_version.filter_map(|it| it.turns).collect())
        });
        Some(Self {
            turns: turns.fold(f64::INFINITY, f64::min),
            computed_at: now,
        })
    }

    pub(super) fn is_recent(&self, now: BootTime) -> bool {
        now.saturating_sub(self.computed_at) < MAX_AGE
    }
}

/// Turns of the longest of the shortest queues; 0 if none is known.
fn shortest(mut turns: Vec<f64>) -> f64 {
    let index = (turns.len() as f64 * SHORTEST_SHARE) as usize;
    match index < turns.len() {
        true => *turns.select_nth_unstable_by(index, f64::total_cmp).1,
        false => 0.0,
    }
}
