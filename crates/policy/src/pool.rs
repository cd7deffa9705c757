//! Interface for a node to one pool of upstreams.
//!
//! The node reports events and executes the returned actions. These may concern other requests than the
//! event: a completion, for instance, frees capacity for a queued request. Every submitted request ends with
//! exactly one [`Action::Refuse`] or [`Action::Finish`], unless the node cancels it. The state is behind a
//! single lock that is held for a few microseconds; the subset of engines is computed outside it.
//!
//! The node calls [`Pool::tick`] at [`Pool::next_wake`] or every few milliseconds.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Name, Upstream};
use rand::Rng;

use crate::affinity;
use crate::limit::Load;
use crate::subsetting::{self, DomainMember};

mod call;
mod engines;
mod event;
mod settings;
mod state;
mod status;

#[cfg(test)]
mod tests;

pub use event::{Action, Attempt, AttemptKind, Cause, Host, HostState, Outcome, Request, Ticket};
pub use settings::Settings;
pub use status::{EngineStatus, Status};

use state::State;

/// Admission, load balancing, retries and hedging for one pool of upstreams.
#[derive(Debug)]
pub struct Pool {
    node: DomainMember<Name>,
    subset_size: usize,
    state: Mutex<State>,
}

impl Pool {
    /// Creates the pool of `node`, without engines.
    pub fn new(settings: Settings, node: DomainMember<Name>) -> Self {
        Self {
            subset_size: settings.subset_size,
            state: Mutex::new(State::new(settings, node.domain.clone())),
            node,
        }
    }

    /// Submits a request; it is refused at once if it cannot be answered in time.
    pub fn submit(&self, request: Request, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.with_state(|state, out| state.submit(request, now, rng, out))
    }

    /// Reports the first token or byte of an answer.
    pub fn attempt_started(&self, attempt: Attempt, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.with_state(|state, out| state.attempt_started(attempt, now, rng, out))
    }

    /// Reports the end of an attempt.
    pub fn attempt_ended(
        &self,
        attempt: Attempt,
        outcome: Outcome,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.with_state(|state, out| state.attempt_ended(attempt, outcome, now, rng, out))
    }

    /// Cancels a request whose caller has disconnected; it ends without an answer.
    pub fn cancel(&self, ticket: Ticket, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.with_state(|state, out| state.cancel(ticket, now, rng, out))
    }

    /// Refuses expired requests, starts due hedges and dispatches queued requests.
    pub fn tick(&self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.with_state(|state, out| state.tick(now, rng, out))
    }

    /// Time at which [`Pool::tick`] next has work to do.
    pub fn next_wake(&self) -> Option<Duration> {
        self.lock().next_wake()
    }

    /// Applies a load report that is `age` old.
    pub fn report_load(
        &self,
        upstream: &Upstream,
        load: Load,
        age: Duration,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.with_state(|state, out| state.report_load(upstream, load, age, now, rng, out))
    }

    /// Applies prefix cache events of an engine.
    pub fn apply_cache_events(&self, upstream: &Upstream, events: &[affinity::Event]) {
        self.lock().apply_cache_events(upstream, events);
    }

    /// Replaces the list of the pool's hosts and of the nodes that share them.
    pub fn update_hosts(
        &self,
        hosts: &[Host],
        nodes: &[DomainMember<Name>],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let members: Vec<DomainMember> = hosts.iter().map(Host::domain_member).collect();
        let subset = subsetting::subset(&self.node, nodes, &members, self.subset_size);
        let nodes_per_engine = nodes_per_engine(nodes.len(), subset.len(), hosts.len());
        let chosen: Vec<&Host> = subset.into_iter().map(|idx| &hosts[idx]).collect();
        self.with_state(|state, out| state.update_hosts(&chosen, nodes_per_engine, now, rng, out))
    }

    /// Marks an upstream that is about to stop, as learnt from gossip or elsewhere; it receives no new
    /// requests.
    pub fn mark_leaving(&self, upstream: &Upstream, now: Duration) {
        self.lock().mark_leaving(upstream, now);
    }

    /// Current state for metrics and status pages.
    pub fn status(&self, now: Duration) -> Status {
        self.lock().status(now)
    }

    fn with_state(&self, event: impl FnOnce(&mut State, &mut Vec<Action>)) -> Vec<Action> {
        let mut out = Vec::new();
        event(&mut self.lock(), &mut out);
        out
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while the lock is held leaves counters slightly wrong at worst, and later reports correct
        // them.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Average number of nodes that use an engine.
fn nodes_per_engine(nodes: usize, subset: usize, engines: usize) -> f64 {
    if engines == 0 {
        return 1.0;
    }
    (nodes * subset) as f64 / engines as f64
}
