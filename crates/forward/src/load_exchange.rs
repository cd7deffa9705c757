//! Load reports of engines that nodes pass on to each other.
//!
//! Each node receives few of an engine's reports itself. Nodes therefore send each other the newest observations that
//! they know, their own and those of others, so that an observation reaches all nodes in a few rounds. Observations
//! of a run merge by age: the newest one replaces all others, so order, repetition and detours do not matter. Clocks
//! of nodes are not compared; a message states ages, which include the time of the datagram and are rounded up, so
//! that an observation does not become newer on its way.

use std::collections::HashMap;
use std::collections::hash_map;
use std::sync::Arc;
use std::time::Duration;

use model::hash;

use crate::BootTime;
use crate::directory::Engine;
use crate::load::Observation;

mod pace;
mod report;

pub use pace::{HEADER_BYTES, Pace, message_bytes};
pub use report::Report;

/// Identifier of a run of an engine: a hash of its name and of the start of the run.
pub type RunId = u32;

/// The identifier of a run.
pub fn run_id(engine: &Engine) -> RunId {
    hash::rendezvous(&engine.id, &engine.started_ms.to_string()) as RunId
}

/// Why an observation of another node is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// The engine is not listed, or its identifier is also that of another one.
    Unknown,
    /// It is too old.
    Expired,
    /// One that is as new or newer is known.
    Known,
}

/// The newest observation of a run, and how often it was passed on.
#[derive(Debug, Clone, Copy)]
struct Entry {
    observation: Observation,
    /// Time of the observation when it was first learned of. One that comes back from another node may seem newer by
    /// the time that its datagrams took.
    first_observed_at: BootTime,
    /// Nodes that it was sent to.
    sends: u32,
}

/// What a node knows of the loads of engines and passes on.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    /// Engines by run; `None` if two runs have the same identifier.
    engines: HashMap<RunId, Option<Arc<Engine>>>,
    entries: HashMap<RunId, Entry>,
}

impl Exchange {
    /// Nodes that an observation is sent to before it counts as spread.
    pub const MAX_SENDS: u32 = 8;

    /// Age that one more send counts as in the choice of what to send next.
    const SEND_PENALTY: Duration = Duration::from_millis(50);

    /// Maximum time by which an observation that comes back seems newer than it is.
    const ECHO_TOLERANCE: Duration = Duration::from_millis(25);

    /// Replaces the engines that this node knows, and drops the observations of others.
    pub fn follow<'a>(&mut self, engines: impl Iterator<Item = &'a Arc<Engine>>) {
        self.engines.clear();
        for engine in engines {
            match self.engines.entry(run_id(engine)) {
                hash_map::Entry::Vacant(it) => {
                    it.insert(Some(engine.clone()));
                }
                hash_map::Entry::Occupied(mut it) => {
                    it.insert(None);
                }
            }
        }
        let engines = &self.engines;
        self.entries
            .retain(|id, _| engines.get(id).is_some_and(Option::is_some));
    }

    /// Records an observation that this node made itself.
    pub fn record(&mut self, engine: &Engine, observation: Observation) {
        let id = run_id(engine);
        if self.engines.get(&id).is_some_and(Option::is_some) {
            self.merge(id, observation);
        }
    }

    /// Merges an observation of another node; returns it with its engine if it is the newest one.
    ///
    /// # Errors
    /// The observation is not used.
    pub fn apply(&mut self, report: &Report, now: BootTime) -> Result<(Arc<Engine>, Observation), Dropped> {
        let engine = self.engines.get(&report.run).cloned().flatten();
        let engine = engine.ok_or(Dropped::Unknown)?;
        let observed_at = now.checked_sub(report.age).ok_or(Dropped::Expired)?;
        let observation = Observation::bounded(&engine, report.requests, report.work_factor(), observed_at);
        let observation = match report.waiting {
            Some(waiting) => observation.with_waiting(waiting),
            None => observation,
        };
        if observation.age(now) >= Observation::MAX_AGE {
            return Err(Dropped::Expired);
        }
        match self.merge(report.run, observation) {
            true => Ok((engine, observation)),
            false => Err(Dropped::Known),
        }
    }

    /// Drops observations that are too old.
    pub fn expire(&mut self, now: BootTime) {
        self.entries
            .retain(|_, it| it.observation.age(now) < Observation::MAX_AGE);
    }

    /// Chooses the reports for the next message: the newest ones, and those that were sent to fewer nodes before others.
    pub fn choose(&mut self, pace: &Pace, now: BootTime) -> Vec<Report> {
        self.expire(now);
        let rank = |it: &Entry| it.observation.age(now) + Self::SEND_PENALTY * it.sends;
        let unspread = self.entries.iter().filter(|it| it.1.sends < Self::MAX_SENDS);
        let mut ranked: Vec<_> = unspread.map(|(id, it)| (rank(it), *id)).collect();
        let most = pace.report_bytes / Report::MIN_BYTES;
        if ranked.len() > most {
            ranked.select_nth_unstable(most);
            ranked.truncate(most);
        }
        ranked.sort_unstable();
        let mut left = pace.report_bytes;
        let mut chosen = Vec::with_capacity(ranked.len());
        for (_, id) in ranked {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let report = Report::of(id, &entry.observation, now);
            let Some(rest) = left.checked_sub(report.encoded_bytes()) else {
                break;
            };
            left = rest;
            entry.sends += pace.receivers as u32;
            chosen.push(report);
        }
        chosen
    }

    /// The newest observation of a run.
    pub fn newest(&self, engine: &Engine) -> Option<&Observation> {
        self.entries.get(&run_id(engine)).map(|it| &it.observation)
    }

    /// Number of runs of which an observation is known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no observation is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Keeps the newest observation; returns whether that is the given one.
    fn merge(&mut self, id: RunId, observation: Observation) -> bool {
        let new = Entry {
            observation,
            first_observed_at: observation.observed_at,
            sends: 0,
        };
        let Some(known) = self.entries.get_mut(&id) else {
            self.entries.insert(id, new);
            return true;
        };
        if !observation.replaces(&known.observation) {
            return false;
        }
        if observation.observed_at > known.first_observed_at + Self::ECHO_TOLERANCE {
            *known = new;
        } else {
            known.observation = observation;
        }
        true
    }
}
