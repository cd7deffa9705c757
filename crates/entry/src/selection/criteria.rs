//! What the choice of an engine for a request depends on, without the request itself.

use std::sync::Arc;

use forward::directory::Engine;
use forward::engine_memory::Demand;
use forward::load::Loads;
use forward::placement::PlacementRequest;
use forward::release::{Arm, Subject};
use model::Name;

use super::Candidate;
use crate::clock;
use crate::shared::{Shared, lock};

/// What decides which engine a request gets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Criteria<'a> {
    pub shared: &'a Shared,
    pub service: &'a Name,
    pub subject: Subject<'a>,
    /// The longest part of the prompt that other requests share.
    pub affinity: Option<u64>,
    /// Prompt tokens up to the end of that part.
    pub shared_tokens: u64,
    /// Model that the node has chosen.
    pub model: Option<&'a Name>,
    /// What the request needs of the engines' memory.
    pub memory: Option<Demand<'a>>,
    /// Engines that were already tried.
    pub tried: &'a [Arc<Engine>],
}

impl Criteria<'_> {
    /// The engines that may be used, except those that were tried, with what they have stated. Every use of an engine
    /// begins here.
    pub(crate) fn candidates(&self) -> (Vec<Candidate>, Arm) {
        let now = clock::now();
        let (engines, arm) = self.shared.engines(self.service, self.subject, now);
        let untried = engines
            .into_iter()
            .filter(|it| self.tried.iter().all(|tried| tried.id != it.id));
        let candidates = untried.map(|engine| Candidate {
            access: self.shared.access(&engine, now),
            is_cold: self.shared.is_cold(&engine, now),
            engine,
        });
        (candidates.collect(), arm)
    }

    /// Calls `f` with what the placement depends on besides the engines.
    pub(crate) fn place<T>(&self, f: impl FnOnce(&PlacementRequest<'_>, &Loads) -> T) -> T {
        let request = PlacementRequest {
            domain: &self.shared.settings().node.failure_domain,
            affinity: self.affinity,
            shared_tokens: self.shared_tokens,
            model: self.model,
            mean_work: self.shared.mean_work(self.service),
            max_in_flight: self.max_in_flight(),
            memory: self.memory,
            tried: self.tried,
        };
        f(&request, &lock(&self.shared.loads))
    }

    /// This node's share of the connections that an engine of the service accepts.
    pub(crate) fn max_in_flight(&self) -> u32 {
        let configuration = lock(&self.shared.configuration).value().cloned();
        let service = configuration.as_ref().and_then(|it| it.service(self.service));
        let nodes = u32::try_from(self.shared.host_counts().known).unwrap_or(u32::MAX);
        service.map_or(u32::MAX, |it| (it.max_connections / nodes).max(1))
    }
}
