//! Start-time fair queueing between the organisations of one class.

use std::collections::{BTreeSet, VecDeque};

use super::Entry;
use crate::fault::{Fault, fault};
use crate::pool::Ticket;

/// Units of virtual time for a cost of 1 at weight 1; keeps the rounding of large weights small.
const SCALE: u64 = 1024;

/// Number of an organisation, the same in all classes.
pub type FlowId = u32;

/// Queue of one class.
#[derive(Debug, Default)]
pub struct Fair {
    flows: Vec<Flow>,
    /// Organisations with work, by the start tag of their first request.
    active: BTreeSet<(u64, FlowId)>,
    /// Organisations with more than one request, by queue length for their weight. Those with one are left out, because
    /// they are never evicted and a thousand of them would make each change slow.
    lengths: BTreeSet<(u64, FlowId)>,
    virtual_time: u64,
    len: usize,
    cost: u64,
    weight: u64,
}

#[derive(Debug, Default)]
struct Flow {
    entries: VecDeque<Entry>,
    start: u64,
    weight: u32,
    cost: u64,
}

#[derive(Debug, PartialEq, Eq)]
struct Keys {
    start: u64,
    length: Option<u64>,
    weight: u64,
}

impl Flow {
    /// Keys in the ordered sets; none without work.
    fn keys(&self) -> Option<Keys> {
        let weight = u64::from(self.weight.max(1));
        (!self.entries.is_empty()).then(|| Keys {
            start: self.start,
            length: (self.entries.len() > 1).then(|| self.entries.len() as u64 * SCALE / weight),
            weight,
        })
    }

    fn span(&self, cost: u64) -> u64 {
        cost * SCALE / u64::from(self.weight.max(1))
    }
}

impl Fair {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Opens all accounts up to `id`.
    pub fn open(&mut self, id: FlowId) {
        if self.flows.len() <= id as usize {
            self.flows.resize_with(id as usize + 1, Flow::default);
        }
    }

    /// Cost that goes before a new request of an organisation.
    pub fn ahead(&self, id: FlowId, weight: u32) -> f64 {
        let flow = &self.flows[id as usize];
        let (own, known) = (flow.cost, !flow.entries.is_empty());
        let weight = u64::from(weight.max(1));
        let weights = if known { self.weight } else { self.weight + weight };
        let by_share = own as f64 * weights as f64 / weight as f64;
        by_share.min(self.cost as f64)
    }

    /// Queues a request.
    pub fn push(&mut self, entry: Entry) {
        let id = entry.flow;
        self.len += 1;
        self.cost += entry.cost;
        self.update(id, |flow, virtual_time| {
            if flow.entries.is_empty() {
                flow.start = flow.start.max(virtual_time);
            }
            flow.weight = entry.weight;
            flow.cost += entry.cost;
            flow.entries.push_back(entry);
        });
    }

    /// Charges a request that did not have to wait.
    pub fn pass(&mut self, id: FlowId, weight: u32, cost: u64) {
        let virtual_time = self.virtual_time;
        let flow = &mut self.flows[id as usize];
        flow.weight = weight;
        flow.start = flow.start.max(virtual_time);
        self.virtual_time = flow.start;
        flow.start += flow.span(cost);
    }

    /// Request that [`Fair::pop`] returns next.
    pub fn peek(&self) -> Option<&Entry> {
        let (_, id) = self.active.first()?;
        self.flows[*id as usize].entries.front()
    }

    /// Takes the request with the least start tag.
    pub fn pop(&mut self) -> Option<Entry> {
        let (start, id) = *self.active.first()?;
        self.virtual_time = self.virtual_time.max(start);
        let entry = self.update(id, |flow, _| {
            let entry = flow.entries.pop_front()?;
            flow.cost -= entry.cost;
            if !fault(Fault::UnfairQueue) {
                flow.start += flow.span(entry.cost);
            }
            Some(entry)
        })?;
        self.discount(&entry);
        Some(entry)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: FlowId, ticket: Ticket) -> Option<Entry> {
        let entry = self.update(id, |flow, _| {
            let idx = flow.entries.iter().position(|it| it.ticket == ticket)?;
            let entry = flow.entries.remove(idx)?;
            flow.cost -= entry.cost;
            Some(entry)
        })?;
        self.discount(&entry);
        Some(entry)
    }

    /// Removes the newest request of the organisation with the longest queue for its weight, unless the new request
    /// would make the queue of its own organisation at least as long. An organisation keeps its only request.
    pub fn evict_for(&mut self, id: FlowId, weight: u32) -> Option<Entry> {
        let own = self.flows[id as usize].entries.len();
        let key = (own as u64 + 1) * SCALE / u64::from(weight.max(1));
        let (longest, id) = *self.lengths.last()?;
        if longest <= key {
            return None;
        }
        let entry = self.update(id, |flow, _| {
            let entry = flow.entries.pop_back()?;
            flow.cost -= entry.cost;
            Some(entry)
        })?;
        self.discount(&entry);
        Some(entry)
    }

    /// Moves an organisation's account by the difference between actual and estimated cost.
    pub fn correct(&mut self, id: FlowId, estimated: u64, actual: u64) {
        self.update(id, |flow, virtual_time| {
            let start = flow.start + flow.span(actual);
            // An account never falls behind the virtual time, or an idle organisation would save up a claim.
            flow.start = start
                .saturating_sub(flow.span(estimated))
                .max(virtual_time.min(flow.start));
        });
    }

    fn discount(&mut self, entry: &Entry) {
        self.len -= 1;
        self.cost -= entry.cost;
    }

    /// Changes a flow and keeps the ordered sets consistent with it.
    fn update<T>(&mut self, id: FlowId, change: impl FnOnce(&mut Flow, u64) -> T) -> T {
        let flow = &mut self.flows[id as usize];
        let before = flow.keys();
        let result = change(flow, self.virtual_time);
        let after = flow.keys();
        if before == after {
            return result;
        }
        if let Some(keys) = before {
            self.active.remove(&(keys.start, id));
            if let Some(length) = keys.length {
                self.lengths.remove(&(length, id));
            }
            self.weight -= keys.weight;
        }
        if let Some(keys) = after {
            self.active.insert((keys.start, id));
            if let Some(length) = keys.length {
                self.lengths.insert((length, id));
            }
            self.weight += keys.weight;
        }
        result
    }
}
