//! Knowledge of adequacy and choice of plans.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Class, Incarnation, Name, hash};
use rand::Rng;

use super::counter::Record;
use super::plan::{Candidate, Error, Plan, Purpose, Request};

mod search;
mod shard;

use search::Search;
use shard::Shard;

/// Locks over which organisations are spread, several times the number of request threads of a node.
const SHARDS: u64 = 64;

/// Place of a step in its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// No earlier answer to the request was rejected.
    First,
    /// An earlier answer to the request was rejected.
    AfterRejection,
}

/// Judgement of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer serves its purpose.
    Adequate,
    /// It does not.
    Inadequate,
}

/// What became of a rating.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It arrived within its time-out.
    InTime(Verdict),
    /// It arrived after [`Outcome::Missing`] had been observed.
    Late(Verdict),
    /// Its time-out passed; this says nothing about the answer.
    Missing,
}

/// A rating of an answer, or its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation<'a> {
    /// Class of the request.
    pub class: Class,
    /// Version that answered.
    pub version: &'a Name,
    /// Place of the step.
    pub position: Position,
    /// What became of the rating.
    pub outcome: Outcome,
}

/// Counts of one organisation and class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests planned.
    pub planned: u64,
    /// Plans with [`Purpose::Exploration`].
    pub explored: u64,
    /// Plans with [`Purpose::BestEffort`].
    pub best_effort: u64,
    /// Changes of adequacy detected, in this class or for the same version in another.
    pub changes: u64,
}

/// Knowledge of one node; shared by its threads. Each call locks the organisation's shard only.
#[derive(Debug)]
pub struct Planner {
    own: Incarnation,
    shards: Vec<Mutex<HashMap<Name, Shard>>>,
}

impl Planner {
    /// An empty planner of the node incarnation `own`.
    pub fn new(own: Incarnation) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { own, shards }
    }

    /// Chooses a plan among the candidates that are allowed and live.
    ///
    /// # Errors
    /// No candidate is allowed and live, or none answers within the deadline.
    pub fn plan(
        &self,
        req: &Request<'_>,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Result<Plan, Error> {
        let permitted = || candidates.iter().filter(|it| req.permits(it.version));
        if permitted().next().is_none() {
            return Err(Error::NoCandidate);
        }
        let mut timely: Vec<_> = permitted().filter(|it| it.latency <= req.deadline).collect();
        if timely.is_empty() {
            return Err(Error::Deadline);
        }
        timely.sort_by_key(|it| it.cost);
        let mut shards = self.lock(&req.organisation.name);
        let shard = shards.entry(req.organisation.name.clone()).or_default();
        let search = Search::new(req, shard, timely);
        let plan = if shard.explores(req.class, rng) {
            search.explore(rng)
        } else {
            search.best(rng)
        };
        let stats = shard.stats(req.class);
        stats.planned += 1;
        stats.explored += u64::from(plan.purpose == Purpose::Exploration);
        stats.best_effort += u64::from(plan.purpose == Purpose::BestEffort);
        Ok(plan)
    }

    /// Takes in what became of a rating that this node asked for. `now` is the node's monotonic clock.
    pub fn observe(&self, organisation: &Name, observation: &Observation<'_>, now: Duration) {
        let mut shards = self.lock(organisation);
        let shard = shards.entry(organisation.clone()).or_default();
        shard.observe(self.own, observation, now);
    }

    /// Merges counters of other nodes. Repeated, reordered and outdated records have no effect beyond the newest.
    /// `now` is the node's monotonic clock.
    pub fn merge(&self, records: &[Record], now: Duration) {
        for it in records {
            let mut shards = self.lock(&it.organisation);
            let shard = shards.entry(it.organisation.clone()).or_default();
            shard.merge(it, now);
        }
    }

    /// Counters that grew at `since` or later by this node's monotonic clock, of all incarnations known.
    pub fn export(&self, since: Duration) -> Vec<Record> {
        let mut records = Vec::new();
        for shards in &self.shards {
            let shards = shards.lock().unwrap_or_else(PoisonError::into_inner);
            for (name, shard) in shards.iter() {
                shard.export(name, since, &mut records);
            }
        }
        records
    }

    /// Drops counters of incarnations that are gone; what was learnt from them remains. Records of these incarnations
    /// must not be merged afterwards, or their ratings count twice.
    pub fn retain(&self, live: impl Fn(Incarnation) -> bool) {
        for shards in &self.shards {
            let mut shards = shards.lock().unwrap_or_else(PoisonError::into_inner);
            for shard in shards.values_mut() {
                shard.retain(|it| it == self.own || live(it));
            }
        }
    }

    /// Counts of an organisation and class.
    pub fn stats(&self, organisation: &Name, class: Class) -> Stats {
        let mut shards = self.lock(organisation);
        shards
            .get_mut(organisation)
            .map_or_else(Stats::default, |it| *it.stats(class))
    }

    fn lock(&self, organisation: &str) -> MutexGuard<'_, HashMap<Name, Shard>> {
        let idx = hash::stable(organisation.as_bytes()) % SHARDS;
        self.shards[idx as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
