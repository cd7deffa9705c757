//! Estimates of adequacy and choice of plans.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Class, Incarnation, Name, hash};
use rand::Rng;

use super::counter::Record;
use super::plan::{Candidate, Error, Plan, Purpose, Request};

mod organisation;
mod search;

use organisation::OrganisationState;
use search::Search;

/// Number of locks that organisations are distributed over. It is several times the number of request threads
/// of a node, so that threads rarely contend for a lock.
const SHARD_COUNT: u64 = 64;

/// Position of a step relative to rejected answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// No earlier answer to the request was rejected.
    First,
    /// An earlier answer to the request was rejected.
    AfterRejection,
}

/// Rating of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer serves the purpose of the request.
    Adequate,
    /// The answer does not serve the purpose of the request.
    Inadequate,
}

/// Result of waiting for a rating.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RatingOutcome {
    /// The rating arrived within its time-out.
    InTime(Verdict),
    /// The rating arrived after [`RatingOutcome::Missing`] had been observed.
    Late(Verdict),
    /// The rating timed out, which says nothing about the adequacy of the answer.
    Missing,
}

/// A rating of an answer, or its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation<'a> {
    /// Class of the request.
    pub class: Class,
    /// Version that answered.
    pub version: &'a Name,
    /// Position of the step.
    pub position: Position,
    /// Result of waiting for the rating.
    pub outcome: RatingOutcome,
}

/// Numbers of plans and changes for one organisation and class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests planned.
    pub planned: u64,
    /// Plans with [`Purpose::Exploration`].
    pub explored: u64,
    /// Plans with [`Purpose::BestEffort`].
    pub best_effort: u64,
    /// Changes of adequacy detected in this class, or for one of its versions in another class.
    pub changes: u64,
}

/// Chooses plans from the ratings known to one node. Its threads share it; a call that concerns one
/// organisation locks the shard of that organisation only.
#[derive(Debug)]
pub struct Planner {
    local: Incarnation,
    shards: Vec<Mutex<HashMap<Name, OrganisationState>>>,
}

impl Planner {
    /// Creates a planner without ratings for the node incarnation `local`.
    pub fn new(local: Incarnation) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { local, shards }
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
        let mut in_time: Vec<_> = permitted().filter(|it| it.latency <= req.deadline).collect();
        if in_time.is_empty() {
            return Err(Error::Deadline);
        }
        in_time.sort_by_key(|it| it.cost);
        let mut shard = self.lock(&req.organisation.name);
        let state = shard.entry(req.organisation.name.clone()).or_default();
        let search = Search::new(req, state, in_time);
        let plan = if state.should_explore(req.class, rng) {
            search.explore(rng)
        } else {
            search.best(rng)
        };
        let stats = state.stats(req.class);
        stats.planned += 1;
        stats.explored += u64::from(plan.purpose == Purpose::Exploration);
        stats.best_effort += u64::from(plan.purpose == Purpose::BestEffort);
        Ok(plan)
    }

    /// Records the result of a rating that this node requested. `now` is the node's monotonic clock.
    pub fn observe(&self, organisation: &Name, observation: &Observation<'_>, now: Duration) {
        let mut shard = self.lock(organisation);
        let state = shard.entry(organisation.clone()).or_default();
        state.observe(self.local, observation, now);
    }

    /// Merges counters of other nodes. Repeated, reordered and outdated records change nothing beyond what
    /// the newest one does. `now` is the node's monotonic clock.
    pub fn merge(&self, records: &[Record], now: Duration) {
        for it in records {
            let mut shard = self.lock(&it.organisation);
            let state = shard.entry(it.organisation.clone()).or_default();
            state.merge(it, now);
        }
    }

    /// Counters of all known incarnations that increased at `since` or later on this node's monotonic clock.
    pub fn export(&self, since: Duration) -> Vec<Record> {
        let mut records = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (name, state) in shard.iter() {
                state.export(name, since, &mut records);
            }
        }
        records
    }

    /// Drops the counters of incarnations that are no longer live. Their ratings remain in the posteriors, so
    /// records of these incarnations must not be merged afterwards: their ratings would count twice.
    pub fn retain(&self, live: impl Fn(Incarnation) -> bool) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for state in shard.values_mut() {
                state.retain(|it| it == self.local || live(it));
            }
        }
    }

    /// Numbers of plans and changes for an organisation and class.
    pub fn stats(&self, organisation: &Name, class: Class) -> Stats {
        let mut shard = self.lock(organisation);
        shard
            .get_mut(organisation)
            .map_or_else(Stats::default, |it| *it.stats(class))
    }

    fn lock(&self, organisation: &str) -> MutexGuard<'_, HashMap<Name, OrganisationState>> {
        let shard = hash::stable(organisation.as_bytes()) % SHARD_COUNT;
        self.shards[shard as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
