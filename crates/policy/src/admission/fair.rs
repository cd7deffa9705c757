//! Start-time fair queueing between the organisations of one class.

use std::collections::{BTreeSet, VecDeque};

use super::Entry;
use crate::fault::{Fault, is_injected};
use crate::pool::Ticket;

/// Units of virtual time for a cost of 1 at weight 1. Limits the rounding error for large weights.
const SCALE: u64 = 1024;

/// Index of an organisation's flow; the same in all classes.
pub type FlowId = u32;

/// Start-time fair queue of one class.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: Vec<Flow>,
    /// Flows with queued requests, ordered by the start tag of their first request.
    by_start: BTreeSet<(u64, FlowId)>,
    /// Flows with more than one request, ordered by queue length relative to weight. Flows with a single
    /// request are left out because they are never evicted and a thousand of them would slow down every
    /// update.
    by_length: BTreeSet<(u64, FlowId)>,
    virtual_time: u64,
    len: usize,
    cost: u64,
    weight: u64,
}

#[derive(Debug, Default)]
struct Flow {
    entries: VecDeque<Entry>,
    start_tag: u64,
    weight: u32,
    cost: u64,
}

#[derive(Debug, PartialEq, Eq)]
struct OrderKeys {
    start: u64,
    length: Option<u64>,
    weight: u64,
}

impl Flow {
    /// Keys of the flow in the ordered sets, or `None` if its queue is empty.
    fn keys(&self) -> Option<OrderKeys> {
        let weight = u64::from(self.weight.max(1));
        (!self.entries.is_empty()).then(|| OrderKeys {
            start: self.start_tag,
            length: (self.entries.len() > 1).then(|| self.entries.len() as u64 * SCALE / weight),
            weight,
        })
    }

    fn virtual_cost(&self, cost: u64) -> u64 {
        cost * SCALE / u64::from(self.weight.max(1))
    }
}

impl FairQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Creates all flows up to `id`.
    pub fn ensure_flow(&mut self, id: FlowId) {
        if self.flows.len() <= id as usize {
            self.flows.resize_with(id as usize + 1, Flow::default);
        }
    }

    /// Cost that is served before a new request of a flow.
    pub fn cost_ahead(&self, id: FlowId, weight: u32) -> f64 {
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
                flow.start_tag = flow.start_tag.max(virtual_time);
            }
            flow.weight = entry.weight;
            flow.cost += entry.cost;
            flow.entries.push_back(entry);
        });
    }

    /// Charges a flow for a request that was sent without being queued.
    pub fn charge_unqueued(&mut self, id: FlowId, weight: u32, cost: u64) {
        let virtual_time = self.virtual_time;
        let flow = &mut self.flows[id as usize];
        flow.weight = weight;
        flow.start_tag = flow.start_tag.max(virtual_time);
        self.virtual_time = flow.start_tag;
        flow.start_tag += flow.virtual_cost(cost);
    }

    /// Returns the request that [`FairQueue::pop`] would remove next.
    pub fn peek(&self) -> Option<&Entry> {
        let (_, id) = self.by_start.first()?;
        self.flows[*id as usize].entries.front()
    }

    /// Removes the request with the smallest start tag.
    pub fn pop(&mut self) -> Option<Entry> {
        let (start, id) = *self.by_start.first()?;
        self.virtual_time = self.virtual_time.max(start);
        let entry = self.update(id, |flow, _| {
            let entry = flow.entries.pop_front()?;
            flow.cost -= entry.cost;
            if !is_injected(Fault::UnfairQueue) {
                flow.start_tag += flow.virtual_cost(entry.cost);
            }
            Some(entry)
        })?;
        self.subtract_from_totals(&entry);
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
        self.subtract_from_totals(&entry);
        Some(entry)
    }

    /// Removes the newest request of the flow with the longest queue relative to its weight, unless the new
    /// request would make its own flow's queue at least as long. The only request of a flow is never evicted.
    pub fn evict_for(&mut self, id: FlowId, weight: u32) -> Option<Entry> {
        let own = self.flows[id as usize].entries.len();
        let key = (own as u64 + 1) * SCALE / u64::from(weight.max(1));
        let (longest, id) = *self.by_length.last()?;
        if longest <= key {
            return None;
        }
        let entry = self.update(id, |flow, _| {
            let entry = flow.entries.pop_back()?;
            flow.cost -= entry.cost;
            Some(entry)
        })?;
        self.subtract_from_totals(&entry);
        Some(entry)
    }

    /// Shifts the start tag of a flow by the difference between actual and estimated cost.
    pub fn correct_cost(&mut self, id: FlowId, estimated: u64, actual: u64) {
        self.update(id, |flow, virtual_time| {
            let start = flow.start_tag + flow.virtual_cost(actual);
            // The start tag never falls behind the virtual time; otherwise an idle organisation would
            // accumulate credit.
            flow.start_tag = start
                .saturating_sub(flow.virtual_cost(estimated))
                .max(virtual_time.min(flow.start_tag));
        });
    }

    fn subtract_from_totals(&mut self, entry: &Entry) {
        self.len -= 1;
        self.cost -= entry.cost;
    }

    /// Changes a flow and updates the ordered sets to match.
    fn update<T>(&mut self, id: FlowId, change: impl FnOnce(&mut Flow, u64) -> T) -> T {
        let flow = &mut self.flows[id as usize];
        let before = flow.keys();
        let result = change(flow, self.virtual_time);
        let after = flow.keys();
        if before == after {
            return result;
        }
        if let Some(keys) = before {
            self.by_start.remove(&(keys.start, id));
            if let Some(length) = keys.length {
                self.by_length.remove(&(length, id));
            }
            self.weight -= keys.weight;
        }
        if let Some(keys) = after {
            self.by_start.insert((keys.start, id));
            if let Some(length) = keys.length {
                self.by_length.insert((length, id));
            }
            self.weight += keys.weight;
        }
        result
    }
}
