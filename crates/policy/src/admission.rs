//! Bounded queues: priority between classes with guaranteed shares, weighted fair queueing between organisations.
//!
//! The most urgent class that has work goes first, unless a class has not had its guaranteed share. Within a class,
//! start-time fair queueing orders the organisations. A full class evicts the newest request of the organisation
//! with the longest queue for its weight, so that one organisation cannot fill the queue for the others.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Class, Name};

use crate::fault::{Fault, fault};
use crate::id_map::{IdMap, NameMap};
use crate::pool::Ticket;

pub mod fair;

#[cfg(test)]
mod tests;

pub use fair::FlowId;

use fair::Fair;

/// Bounds and shares.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Guaranteed share of each class in [`Class::ALL`] order, as a fraction of the dispatched cost; the sum is below 1.
    pub shares: [f64; 4],
    /// Greatest number of queued requests in a class.
    pub length: usize,
    /// Longest wait in the queue for each class.
    pub wait: [Duration; 4],
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shares: [0.1, 0.1, 0.15, 0.05],
            length: 2048,
            wait: [
                Duration::from_secs(2),
                Duration::from_secs(5),
                // A standard queue of 20 s held back batch work for 14 s after a rush.
                Duration::from_secs(5),
                Duration::from_secs(20),
            ],
        }
    }
}

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Request.
    pub ticket: Ticket,
    /// Class.
    pub class: Class,
    /// Account of the organisation within the class.
    pub flow: FlowId,
    /// Share of the organisation.
    pub weight: u32,
    /// Estimated cost, at least 1.
    pub cost: u64,
    /// When the request is given up.
    pub give_up: Duration,
}

/// Result of [`Queue::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Push {
    /// The request is queued.
    Queued,
    /// The request is queued in place of another one, which is refused.
    Replaced(Ticket),
    /// The queue is full.
    Full,
}

/// Queues of a pool.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    accounts: NameMap<FlowId>,
    classes: [Fair; 4],
    owed: [f64; 4],
    places: IdMap<(Class, FlowId)>,
    expiry: BTreeSet<(Duration, Ticket)>,
}

impl Queue {
    /// Empty queues.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: NameMap::default(),
            classes: Default::default(),
            owed: [0.0; 4],
            places: IdMap::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of queued requests of a class.
    pub fn class_len(&self, class: Class) -> usize {
        self.classes[class.index()].len()
    }

    /// Account of an organisation within a class, opened on first use.
    pub fn account(&mut self, class: Class, organisation: &Name) -> FlowId {
        let id = match self.accounts.get(organisation) {
            Some(id) => *id,
            None => {
                let id = self.accounts.len() as FlowId;
                self.accounts.insert(organisation.clone(), id);
                id
            }
        };
        self.classes[class.index()].open(id);
        id
    }

    /// Cost that goes before a new request: the least of what weighted fairness and a common queue would put there.
    pub fn ahead(&self, class: Class, flow: FlowId, weight: u32) -> f64 {
        self.classes[class.index()].ahead(flow, weight)
    }

    /// Share of the pool's rate that a class gets, given the rate at which each class was dispatched.
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
    pub fn push(&mut self, entry: Entry) -> Push {
        let idx = entry.class.index();
        let full = self.classes[idx].len() >= self.settings.length && !fault(Fault::UnboundedQueue);
        let mut replaced = None;
        if full {
            let Some(evicted) = self.classes[idx].evict_for(entry.flow, entry.weight) else {
                return Push::Full;
            };
            self.unlist(&evicted);
            replaced = Some(evicted.ticket);
        }
        self.expiry.insert((entry.give_up, entry.ticket));
        self.places.insert(entry.ticket, (entry.class, entry.flow));
        self.classes[idx].push(entry);
        replaced.map_or(Push::Queued, Push::Replaced)
    }

    /// Charges a request that is sent without waiting, while nothing is queued.
    pub fn pass(&mut self, class: Class, flow: FlowId, weight: u32, cost: u64) {
        self.classes[class.index()].pass(flow, weight, cost);
    }

    /// Request that [`Queue::pop`] returns next.
    pub fn peek(&self) -> Option<&Entry> {
        self.classes[self.next_class()?].peek()
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Entry> {
        let class = self.next_class()?;
        let entry = self.classes[class].pop()?;
        self.charge(class, entry.cost);
        self.unlist(&entry);
        Some(entry)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let (class, flow) = *self.places.get(&ticket)?;
        let entry = self.classes[class.index()].remove(flow, ticket)?;
        self.unlist(&entry);
        self.settle(class.index());
        Some(entry)
    }

    /// Removes a request whose time to give up has come.
    pub fn expire(&mut self, now: Duration) -> Option<Entry> {
        let (at, ticket) = *self.expiry.first()?;
        if at > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Time at which the next request is given up.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiry.first().map(|it| it.0)
    }

    /// Corrects an organisation's account when the true cost of a request is known.
    pub fn correct(&mut self, class: Class, flow: FlowId, estimated: u64, actual: u64) {
        self.classes[class.index()].correct(flow, estimated, actual);
    }

    fn next_class(&self) -> Option<usize> {
        let owed = (0..4)
            .filter(|it| {
                self.classes[*it]
                    .peek()
                    .is_some_and(|head| self.owed[*it] >= head.cost as f64)
            })
            .max_by(|a, b| self.owed[*a].total_cmp(&self.owed[*b]));
        let first = || (0..4).find(|it| !self.classes[*it].is_empty());
        if fault(Fault::StrictPriority) {
            return first();
        }
        owed.or_else(first)
    }

    /// Credits each waiting class with its share of the cost and charges the class that was served.
    fn charge(&mut self, served: usize, cost: u64) {
        for class in 0..4 {
            if class == served || !self.classes[class].is_empty() {
                self.owed[class] += self.settings.shares[class] * cost as f64;
            }
        }
        self.owed[served] = (self.owed[served] - cost as f64).max(0.0);
        self.settle(served);
    }

    /// A class without work has no claim.
    fn settle(&mut self, class: usize) {
        if self.classes[class].is_empty() {
            self.owed[class] = 0.0;
        }
    }

    fn unlist(&mut self, entry: &Entry) {
        self.places.remove(&entry.ticket);
        self.expiry.remove(&(entry.give_up, entry.ticket));
    }
}
