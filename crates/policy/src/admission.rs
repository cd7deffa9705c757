//! Bounded request queues: priority scheduling between classes with guaranteed shares, weighted fair queueing
//! between organisations.
//!
//! The most urgent class with queued requests is served first, unless another class has not received its
//! guaranteed share. Within a class, start-time fair queueing orders the organisations. When a class is full,
//! a new request evicts the newest request of the organisation with the longest queue relative to its weight,
//! so that one organisation cannot fill the queue at the expense of the others.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Class, Name};

use crate::fault::{Fault, is_injected};
use crate::id_map::{IdMap, NameMap};
use crate::pool::Ticket;

pub mod fair;

#[cfg(test)]
mod tests;

pub use fair::FlowId;

use fair::FairQueue;

/// Queue bounds and guaranteed shares.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Guaranteed share of each class in [`Class::ALL`] order, as a fraction of the dispatched cost. The sum
    /// must be below 1.
    pub shares: [f64; 4],
    /// Maximum number of queued requests per class.
    pub max_length: usize,
    /// Maximum time in the queue for each class.
    pub max_wait: [Duration; 4],
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shares: [0.1, 0.1, 0.15, 0.05],
            max_length: 2048,
            max_wait: [
                Duration::from_secs(2),
                Duration::from_secs(5),
                // A limit of 20 s for the standard class delayed batch requests by 14 s after a load peak.
                Duration::from_secs(5),
                Duration::from_secs(20),
            ],
        }
    }
}

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identity of the request.
    pub ticket: Ticket,
    /// Class whose queue holds the request.
    pub class: Class,
    /// Flow of the organisation in the fair queue.
    pub flow: FlowId,
    /// Weight of the organisation in the fair queue.
    pub weight: u32,
    /// Estimated cost in generated tokens, at least 1.
    pub cost: u64,
    /// Time at which the request is refused if it is still queued.
    pub expires_at: Duration,
}

/// Result of [`Queue::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome {
    /// The request is queued.
    Queued,
    /// The request is queued; the given request was evicted for it and must be refused.
    Replaced(Ticket),
    /// The queue is full and no other request may be evicted.
    Full,
}

/// Request queues of a pool, one for each class.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    flow_ids: NameMap<FlowId>,
    classes: [FairQueue; 4],
    /// Credit of each class towards its guaranteed share.
    deficits: [f64; 4],
    queued: IdMap<(Class, FlowId)>,
    by_expiry: BTreeSet<(Duration, Ticket)>,
}

impl Queue {
    /// Empty queues.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            flow_ids: NameMap::default(),
            classes: Default::default(),
            deficits: [0.0; 4],
            queued: IdMap::default(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Number of queued requests of a class.
    pub fn class_len(&self, class: Class) -> usize {
        self.classes[class.index()].len()
    }

    /// Returns the flow of an organisation and creates it in the queue of `class` on first use.
    pub fn flow_id(&mut self, class: Class, organisation: &Name) -> FlowId {
        let id = match self.flow_ids.get(organisation) {
            Some(id) => *id,
            None => {
                let id = self.flow_ids.len() as FlowId;
                self.flow_ids.insert(organisation.clone(), id);
                id
            }
        };
        self.classes[class.index()].ensure_flow(id);
        id
    }

    /// Cost that is served before a new request: the smaller of the cost by weighted fair queueing and the
    /// total cost queued in the class.
    pub fn cost_ahead(&self, class: Class, flow: FlowId, weight: u32) -> f64 {
        self.classes[class.index()].cost_ahead(flow, weight)
    }

    /// Part of the pool's service rate available to a class, given the rate at which each class was
    /// dispatched.
    pub fn class_rate(&self, class: Class, rate: f64, dispatched: [f64; 4]) -> f64 {
        let idx = class.index();
        let higher: f64 = dispatched[..idx].iter().sum();
        let reserved: f64 = (idx + 1..4)
            .filter(|it| !self.classes[*it].is_empty())
            .map(|it| self.settings.shares[it] * rate)
            .sum();
        (rate - higher - reserved).max(self.settings.shares[idx] * rate)
    }

    /// Queues a request.
    pub fn push(&mut self, entry: Entry) -> PushOutcome {
        let idx = entry.class.index();
        let full = self.classes[idx].len() >= self.settings.max_length && !is_injected(Fault::UnboundedQueue);
        let mut replaced = None;
        if full {
            let Some(evicted) = self.classes[idx].evict_for(entry.flow, entry.weight) else {
                return PushOutcome::Full;
            };
            self.remove_from_maps(&evicted);
            replaced = Some(evicted.ticket);
        }
        self.by_expiry.insert((entry.expires_at, entry.ticket));
        self.queued.insert(entry.ticket, (entry.class, entry.flow));
        self.classes[idx].push(entry);
        replaced.map_or(PushOutcome::Queued, PushOutcome::Replaced)
    }

    /// Charges the flow for a request that is sent without being queued, while all queues are empty.
    pub fn charge_unqueued(&mut self, class: Class, flow: FlowId, weight: u32, cost: u64) {
        self.classes[class.index()].charge_unqueued(flow, weight, cost);
    }

    /// Returns the request that [`Queue::pop`] would remove next.
    pub fn peek(&self) -> Option<&Entry> {
        self.classes[self.next_class()?].peek()
    }

    /// Removes the next request to serve.
    pub fn pop(&mut self) -> Option<Entry> {
        let class = self.next_class()?;
        let entry = self.classes[class].pop()?;
        self.update_deficits(class, entry.cost);
        self.remove_from_maps(&entry);
        Some(entry)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let (class, flow) = *self.queued.get(&ticket)?;
        let entry = self.classes[class.index()].remove(flow, ticket)?;
        self.remove_from_maps(&entry);
        self.clear_idle_deficit(class.index());
        Some(entry)
    }

    /// Removes one request whose expiry time has passed.
    pub fn expire(&mut self, now: Duration) -> Option<Entry> {
        let (at, ticket) = *self.by_expiry.first()?;
        if at > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Time at which the next request expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.by_expiry.first().map(|it| it.0)
    }

    /// Corrects the charge of a flow once the actual cost of a request is known.
    pub fn correct_cost(&mut self, class: Class, flow: FlowId, estimated: u64, actual: u64) {
        self.classes[class.index()].correct_cost(flow, estimated, actual);
    }

    fn next_class(&self) -> Option<usize> {
        let owed = (0..4)
            .filter(|it| {
                self.classes[*it]
                    .peek()
                    .is_some_and(|head| self.deficits[*it] >= head.cost as f64)
            })
            .max_by(|a, b| self.deficits[*a].total_cmp(&self.deficits[*b]));
        let first = || (0..4).find(|it| !self.classes[*it].is_empty());
        if is_injected(Fault::StrictPriority) {
            return first();
        }
        owed.or_else(first)
    }

    /// Credits the served class and all classes with queued requests with their guaranteed shares of the cost,
    /// and charges the served class.
    fn update_deficits(&mut self, served: usize, cost: u64) {
        for class in 0..4 {
            if class == served || !self.classes[class].is_empty() {
                self.deficits[class] += self.settings.shares[class] * cost as f64;
            }
        }
        self.deficits[served] = (self.deficits[served] - cost as f64).max(0.0);
        self.clear_idle_deficit(served);
    }

    /// A class with an empty queue keeps no credit, so that it cannot save up service while it is idle.
    fn clear_idle_deficit(&mut self, class: usize) {
        if self.classes[class].is_empty() {
            self.deficits[class] = 0.0;
        }
    }

    fn remove_from_maps(&mut self, entry: &Entry) {
        self.queued.remove(&entry.ticket);
        self.by_expiry.remove(&(entry.expires_at, entry.ticket));
    }
}
