//! Failure domains that operators have ordered to evacuate, to which no request is sent.
//!
//! An order is a record of the operators' topic and stays in force until that record is removed. Records are applied by
//! their position, so one that is read twice or late changes nothing.
//!
//! A store that comes back from an older copy has lost its newest records. An order that the copy lacks stays in force for
//! [`REWRITE_TIME`], in which operators write again what was lost. An order that the copy has although it was ended is in
//! force again until its end is written again: an unused domain costs capacity, a used one breaks the order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Domain, Name};

use crate::BootTime;
use crate::relay::Position;

/// Time for which an order stays in force that an older copy of the store lacks. Operators write their records again
/// within seconds.
pub const REWRITE_TIME: Duration = Duration::from_secs(15);

/// Time for which the end of an evacuation is remembered: longer than any engine warms up.
pub const END_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of ends that are remembered.
const MAX_ENDS: usize = 256;

/// A record about the evacuation of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The failure domain.
    pub domain: Domain,
    /// Position of the record.
    pub position: Position,
    /// Whether the record orders the evacuation; otherwise it ends one.
    pub is_ordered: bool,
}

/// The evacuation of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// When this node learned of the order.
    pub since: BootTime,
    /// Position of the order's record.
    pub position: Position,
    /// Era whose first copy lacked the order, and the time until which it stays in force nevertheless.
    missing: Option<(u64, BootTime)>,
    engines: Engines,
}

impl Evacuation {
    /// Whether the store came back from an older copy that lacks the order.
    pub fn is_missing(&self) -> bool {
        self.missing.is_some()
    }
}

/// Whether any engine has been listed in an evacuated domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Engines {
    Unchecked,
    None,
    Listed,
}

/// End of an evacuation.
#[derive(Debug, Clone, Copy)]
struct End {
    at: BootTime,
    /// Position of the last record that it covers.
    position: Position,
}

/// A change that operators want to know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The evacuation of a domain has begun.
    Began(Domain, Position),
    /// The store came back from a copy without the order, which stays in force for the time being.
    Missing(Domain),
    /// The evacuation of a domain has ended.
    Ended(Domain),
    /// No engine is listed in a domain under an order.
    Unknown(Domain),
    /// The first engine is listed in a domain that was unknown.
    Known(Domain),
    /// All domains that engines are listed in are under an order.
    AllBegan,
    /// Some domain is free of orders again.
    AllEnded,
}

/// The evacuations that are known to this node.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    active: BTreeMap<Domain, Evacuation>,
    ends: BTreeMap<Domain, End>,
    /// Whether all domains with engines are under an order.
    all: bool,
    /// Services of which a request was refused since the last change.
    refused: BTreeSet<Name>,
}

impl Evacuations {
    /// Whether a failure domain is under an order.
    pub fn contains(&self, domain: &str) -> bool {
        self.active.contains_key(domain)
    }

    /// The domains under an order.
    pub fn iter(&self) -> impl Iterator<Item = (&Domain, &Evacuation)> {
        self.active.iter()
    }

    /// When this node learned of the end of a domain's last evacuation; `None` if it is under an order, never was under
    /// one, or has been free for longer than [`END_RETENTION`].
    pub fn ended_at(&self, domain: &str) -> Option<BootTime> {
        match self.contains(domain) {
            true => None,
            false => self.ends.get(domain).map(|it| it.at),
        }
    }

    /// Applies a record from a read of changes.
    pub fn apply(&mut self, order: &Order, now: BootTime) -> Option<Change> {
        let domain = &order.domain;
        let known = self.active.get(domain).map(|it| it.position);
        let known = known.max(self.ends.get(domain).map(|it| it.position));
        if known.is_some_and(|it| order.position <= it) {
            return None;
        }
        match order.is_ordered {
            true => self.begin(domain, order.position, now),
            false => self.end(domain, order.position, now),
        }
    }

    /// Replaces the orders by those of a complete read, at which the topic ended at `end`.
    pub fn replace(&mut self, orders: &[Order], end: Position, now: BootTime) -> Vec<Change> {
        let ordered: Vec<_> = orders.iter().filter(|it| it.is_ordered).collect();
        let mut changes: Vec<_> = ordered.iter().filter_map(|it| self.apply(it, now)).collect();
        let mut ended = vec![];
        for (domain, evacuation) in &mut self.active {
            // A read that does not reach the order says nothing about it.
            let is_older = evacuation.position >= end;
            if is_older || ordered.iter().any(|it| it.domain == *domain) {
                continue;
            }
            match evacuation.missing {
                _ if evacuation.position.era == end.era => ended.push(domain.clone()),
                Some((era, _)) if era >= end.era => {}
                missing => {
                    evacuation.missing = Some((end.era, now + REWRITE_TIME));
                    if missing.is_none() {
                        changes.push(Change::Missing(domain.clone()));
                    }
                }
            }
        }
        let last = Position {
            offset: end.offset.saturating_sub(1),
            ..end
        };
        changes.extend(ended.iter().filter_map(|it| self.end(it, last, now)));
        changes
    }

    /// Records that everything was applied that the topic had at the time `current_at`, and drops what is over.
    ///
    /// An order that an older copy lacks ends only if it was not written again in time, which a node that cannot read
    /// does not know.
    pub fn confirm(&mut self, current_at: BootTime, now: BootTime) -> Vec<Change> {
        self.ends
            .retain(|_, it| now.saturating_sub(it.at) < END_RETENTION);
        let is_over = |it: &Evacuation| it.missing.is_some_and(|(_, until)| until <= current_at);
        let over = self.active.iter().filter(|it| is_over(it.1));
        let over: Vec<_> = over.map(|(domain, it)| (domain.clone(), it.position)).collect();
        over.iter()
            .filter_map(|(domain, position)| self.end(domain, *position, now))
            .collect()
    }

    /// Compares the orders with the domains that engines are listed in.
    pub fn compare(&mut self, listed: &BTreeSet<Domain>) -> Vec<Change> {
        let mut changes = vec![];
        for (domain, evacuation) in &mut self.active {
            let is_listed = listed.contains(domain);
            let change = match evacuation.engines {
                Engines::Unchecked if !is_listed => Some(Change::Unknown(domain.clone())),
                Engines::None if is_listed => Some(Change::Known(domain.clone())),
                _ => None,
            };
            changes.extend(change);
            // The engines of an evacuated domain may be switched off.
            evacuation.engines = match evacuation.engines {
                Engines::Listed => Engines::Listed,
                _ if is_listed => Engines::Listed,
                _ => Engines::None,
            };
        }
        let all = !listed.is_empty() && listed.iter().all(|it| self.contains(it));
        if all != self.all {
            self.all = all;
            changes.push(if all { Change::AllBegan } else { Change::AllEnded });
        }
        changes
    }

    /// Records that a request was refused because all engines of its service are in evacuated domains; returns whether it
    /// is the first one of the service since the last change.
    pub fn record_refusal(&mut self, service: &Name) -> bool {
        self.refused.insert(service.clone())
    }

    fn begin(&mut self, domain: &Domain, position: Position, now: BootTime) -> Option<Change> {
        if let Some(known) = self.active.get_mut(domain) {
            known.position = position;
            known.missing = None;
            return None;
        }
        let evacuation = Evacuation {
            since: now,
            position,
            missing: None,
            engines: Engines::Unchecked,
        };
        self.active.insert(domain.clone(), evacuation);
        self.refused.clear();
        Some(Change::Began(domain.clone(), position))
    }

    fn end(&mut self, domain: &Domain, position: Position, now: BootTime) -> Option<Change> {
        self.active.remove(domain)?;
        self.refused.clear();
        if self.ends.len() >= MAX_ENDS
            && let Some(oldest) = self.ends.iter().min_by_key(|it| it.1.at)
        {
            let oldest = oldest.0.clone();
            self.ends.remove(&oldest);
        }
        self.ends.insert(domain.clone(), End { at: now, position });
        Some(Change::Ended(domain.clone()))
    }
}
