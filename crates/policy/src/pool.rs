//! Facade that a node uses for one pool of upstreams.
//!
//! The node reports events and executes the returned actions, which may concern other requests than the event did: a
//! completion, for instance, frees a place for a queued request. Every submitted request ends with exactly one
//! [`Action::Refuse`] or [`Action::Finish`], unless the node cancels it. The state is behind one lock, held for a few
//! microseconds; the subset of engines is computed outside of it.
//!
//! The node calls [`Pool::tick`] at [`Pool::next_wake`], or every few milliseconds.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Name, Upstream};
use rand::Rng;

use crate::affinity;
use crate::balance::{self, Place};
use crate::limit::Load;

mod call;
mod engines;
mod event;
mod settings;
mod state;
mod status;

#[cfg(test)]
mod tests;

pub use event::{Action, Attempt, Cause, Host, HostState, Kind, Outcome, Request, Ticket};
pub use settings::Settings;
pub use status::{EngineStatus, Status};

use state::State;

/// Load-related decisions for one pool.
#[derive(Debug)]
pub struct Pool {
    node: Place<Name>,
    subset: usize,
    state: Mutex<State>,
}

impl Pool {
    /// A pool without engines, as used by `node`.
    pub fn new(settings: Settings, node: Place<Name>) -> Self {
        Self {
            subset: settings.subset,
            state: Mutex::new(State::new(settings, node.domain.clone())),
            node,
        }
    }

    /// Takes a request; refuses it at once if it cannot be answered in time.
    pub fn submit(&self, request: Request, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.act(|state, out| state.submit(request, now, rng, out))
    }

    /// Takes the first token or byte of an answer.
    pub fn started(&self, attempt: Attempt, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.act(|state, out| state.started(attempt, now, rng, out))
    }

    /// Takes the end of an attempt.
    pub fn ended(
        &self,
        attempt: Attempt,
        outcome: Outcome,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.act(|state, out| state.ended(attempt, outcome, now, rng, out))
    }

    /// The caller has gone: the request ends without an answer.
    pub fn cancel(&self, ticket: Ticket, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.act(|state, out| state.cancel(ticket, now, rng, out))
    }

    /// Gives up overdue requests, starts hedges and dispatches.
    pub fn tick(&self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.act(|state, out| state.tick(now, rng, out))
    }

    /// Time of the next [`Pool::tick`] that has something to do.
    pub fn next_wake(&self) -> Option<Duration> {
        self.lock().next_wake()
    }

    /// Takes a load report that is `age` old.
    pub fn report(
        &self,
        upstream: &Upstream,
        load: Load,
        age: Duration,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.act(|state, out| state.report(upstream, load, age, now, rng, out))
    }

    /// Takes cache events of an engine.
    pub fn cache_events(&self, upstream: &Upstream, events: &[affinity::Event]) {
        self.lock().cache_events(upstream, events);
    }

    /// Takes the list of the pool's hosts and of the nodes that share them.
    pub fn hosts(
        &self,
        hosts: &[Host],
        nodes: &[Place<Name>],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let places: Vec<Place> = hosts.iter().map(Host::place).collect();
        let subset = balance::subset(&self.node, nodes, &places, self.subset);
        let sharers = sharers(nodes.len(), subset.len(), hosts.len());
        let chosen: Vec<&Host> = subset.into_iter().map(|idx| &hosts[idx]).collect();
        self.act(|state, out| state.hosts(&chosen, sharers, now, rng, out))
    }

    /// Takes a sign from gossip or elsewhere that an upstream is about to stop; it gets no new work from now on.
    pub fn leaving(&self, upstream: &Upstream, now: Duration) {
        self.lock().leaving(upstream, now);
    }

    /// Figures for metrics and status pages.
    pub fn status(&self, now: Duration) -> Status {
        self.lock().status(now)
    }

    fn act(&self, event: impl FnOnce(&mut State, &mut Vec<Action>)) -> Vec<Action> {
        let mut out = Vec::new();
        event(&mut self.lock(), &mut out);
        out
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic leaves counters at worst slightly wrong, which later reports correct.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Average number of nodes that use an engine.
fn sharers(nodes: usize, subset: usize, engines: usize) -> f64 {
    if engines == 0 {
        return 1.0;
    }
    (nodes * subset) as f64 / engines as f64
}
