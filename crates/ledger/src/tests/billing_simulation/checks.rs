//! Invariants of the billing simulation.

use std::collections::{BTreeMap, HashSet};

use model::{Incarnation, Name};

use super::{BatchId, Bill, Capacity, Events, ReleaseReason, Request, Simulation, Violation, decode};

impl Simulation {
    /// Checks that bills contain each logged request exactly once, and that no record is lost that can still
    /// be billed.
    pub(in crate::tests) fn check(&self) -> Result<(), Violation> {
        if *self.reader.bills() != self.expected_bills()? {
            return Err(format!("bills differ from the log: {:?}", self.reader.bills()));
        }
        let lost = self
            .requests
            .iter()
            .find(|it| !self.is_retained(it) && !self.may_be_lost(it));
        match lost {
            Some(request) => Err(format!(
                "record lost although its origin or a holder is alive: {request:?}"
            )),
            None => Ok(()),
        }
    }

    /// Checks, after a period without faults, that every record is billed unless it may be lost, and that no
    /// batch is left in memory.
    pub(in crate::tests) fn check_settled(&self) -> Result<(), Violation> {
        self.check()?;
        let unbilled = self
            .requests
            .iter()
            .find(|it| !self.is_logged(it) && !self.may_be_lost(it));
        if let Some(request) = unbilled {
            return Err(format!("record not billed: {request:?}"));
        }
        // Lost batches are counted as gaps. Those at the end of a sequence leave no gap.
        let mut ends: BTreeMap<Incarnation, u64> = BTreeMap::new();
        for id in &self.logged {
            let end = ends.entry(id.incarnation).or_default();
            *end = (*end).max(id.sequence + 1);
        }
        if self.reader.missing_batches() != ends.values().sum::<u64>() - self.logged.len() as u64 {
            return Err("missing batches miscounted".to_owned());
        }
        let unsettled = self.nodes.iter().any(|it| it.alive && it.origin.unsettled() > 0);
        let held = self.nodes.iter().any(|it| it.alive && !it.holder.is_empty());
        if unsettled || held {
            return Err("logged batches still in memory".to_owned());
        }
        Ok(())
    }

    /// Checks, after an outage of the log without other faults, that two live peers in other failure domains
    /// hold each batch of a live origin.
    pub(in crate::tests) fn check_replicated(&self) -> Result<(), Violation> {
        for node in self.nodes.iter().filter(|it| it.alive) {
            let own = node.member.incarnation;
            let others = self
                .nodes
                .iter()
                .filter(|it| it.alive && it.member.domain != node.member.domain);
            if others.count() < 2 || self.capacity == Capacity::Tight {
                continue;
            }
            let batches = self
                .requests
                .iter()
                .filter(|it| it.batch.incarnation == own && !self.is_logged(it));
            for request in batches {
                let holders = self
                    .nodes
                    .iter()
                    .filter(|it| it.alive && it.holder.contains(request.batch));
                if holders
                    .filter(|it| it.member.domain != node.member.domain)
                    .count()
                    < 2
                {
                    return Err(format!("not replicated: {request:?}"));
                }
            }
        }
        Ok(())
    }

    /// Events that occurred in the schedule.
    pub(in crate::tests) fn events(&self) -> Events {
        let counts = self.reader.counts();
        let observed = [
            ("duplicate batch in the log", counts.duplicate_batches > 0),
            ("billing key in two batches", counts.duplicate_records > 0),
            ("gap in the log", self.reader.missing_batches() > 0),
            (
                "lost record",
                self.requests.iter().any(|it| !self.is_retained(it)),
            ),
        ];
        let observed = observed.into_iter().filter(|it| it.1).map(|it| it.0);
        self.events.iter().copied().chain(observed).collect()
    }

    pub(super) fn check_release(&self, id: BatchId, reason: ReleaseReason) -> Result<(), Violation> {
        let holders = self.confirmed.get(&id).map_or(0, std::collections::BTreeSet::len);
        let is_justified = match reason {
            ReleaseReason::Replicated => holders >= 2,
            ReleaseReason::Logged => self.logged.contains(&id),
            ReleaseReason::Underreplicated => true,
        };
        if is_justified {
            return Ok(());
        }
        Err(format!(
            "released without replication or append: {id}, {reason:?}"
        ))
    }

    /// Bills computed by a reference implementation: the first record of each billing key counts.
    fn expected_bills(&self) -> Result<BTreeMap<Name, Bill>, Violation> {
        let mut bills: BTreeMap<Name, Bill> = BTreeMap::new();
        let mut seen = HashSet::new();
        for payload in &self.log {
            for batch in decode(payload).map_err(|err| err.to_string())? {
                for record in batch.records {
                    if !seen.insert((record.organisation.clone(), record.key)) {
                        continue;
                    }
                    let bill = bills.entry(record.organisation).or_default();
                    bill.requests += 1;
                    bill.input += u64::from(record.usage.input);
                    bill.output += u64::from(record.usage.output);
                    bill.cost = bill.cost.saturating_add(record.cost);
                }
            }
        }
        Ok(bills)
    }

    fn is_retained(&self, request: &Request) -> bool {
        let BatchId {
            incarnation,
            sequence,
        } = request.batch;
        let is_pending =
            |it: &super::Node| it.member.incarnation == incarnation && it.origin.is_pending(sequence);
        let mut alive = self.nodes.iter().filter(|it| it.alive);
        self.is_logged(request) || alive.any(|it| is_pending(it) || it.holder.contains(request.batch))
    }

    /// Whether the origin and all peers that have ever confirmed the batch are dead.
    fn may_be_lost(&self, request: &Request) -> bool {
        let confirmed = self.confirmed.get(&request.batch);
        let is_dead = |it: &Incarnation| !self.live_incarnations().contains(it);
        is_dead(&request.batch.incarnation) && confirmed.is_none_or(|it| it.iter().all(is_dead))
    }

    fn is_logged(&self, request: &Request) -> bool {
        // A request is also billed if another record with its idempotency key is in the log.
        let has_same_key = |it: &&Request| it.organisation == request.organisation && it.key == request.key;
        self.requests
            .iter()
            .filter(|it| has_same_key(it))
            .any(|it| self.logged.contains(&it.batch))
    }
}
