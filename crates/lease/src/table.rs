//! Lease state of all pools, derived from the log.
//!
//! A lease is granted if no other holder's lease is live at the append time of the record. If append times go
//! backwards, the latest earlier append time is used.
//!
//! A table that starts at the first retained record of a truncated log does not know the leases before it.
//! Until all of them must have expired, and no request of another process since then can still be live, the
//! outcome of a request is [`Outcome::Uncertain`].

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use model::{Incarnation, Name, Offset};

use crate::Token;
use crate::record::{MAX_DURATION, Record};

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Process that holds the lease.
    pub holder: Incarnation,
    /// Number of the granted request.
    pub attempt: u64,
    /// Fencing token.
    pub token: Token,
    /// Duration, starting at the append; zero after a release.
    pub duration: Duration,
    /// Expiry on the clock of the log service.
    pub expires_at: SystemTime,
    /// Time at which this node applied the record, on the node's own clock.
    pub applied_at: Duration,
}

/// Outcome of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The lease was granted or renewed.
    Granted(Name, Grant),
    /// The holder released the lease.
    Released(Name, Grant),
    /// Another holder's lease is live, the record releases a lease that its sender does not hold, or the same
    /// or a later request of the same process was applied before.
    Refused,
    /// The lease may have been granted; the holder must not rely on it.
    Uncertain,
    /// The payload is not a valid record.
    Malformed,
    /// The record was applied before.
    Skipped,
    /// Records before this one are missing.
    Gap,
}

/// Leases of all pools.
#[derive(Debug, Clone)]
pub struct Table {
    next_offset: Offset,
    /// Latest append time of the applied records.
    latest_append: SystemTime,
    /// Time until which leases from before the first applied record can be live; `None` until that record.
    uncertain_until: Option<SystemTime>,
    pools: BTreeMap<Name, Pool>,
}

#[derive(Debug, Clone, Default)]
struct Pool {
    current: Option<Grant>,
    /// Expiry times of leases that may have been granted while the outcome was uncertain.
    possible_leases: BTreeMap<Incarnation, SystemTime>,
}

impl Table {
    /// Creates a table for the log from offset `first` on, which is zero unless retention has truncated the
    /// log.
    pub fn new(first: Offset) -> Self {
        Self {
            next_offset: first,
            latest_append: SystemTime::UNIX_EPOCH,
            uncertain_until: (first == 0).then_some(SystemTime::UNIX_EPOCH),
            pools: BTreeMap::new(),
        }
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: Offset, time: SystemTime, payload: &[u8], now: Duration) -> Outcome {
        if offset < self.next_offset {
            return Outcome::Skipped;
        }
        if offset > self.next_offset {
            return Outcome::Gap;
        }
        self.next_offset = offset.saturating_add(1);
        self.latest_append = self.latest_append.max(time);
        let uncertain_until = *self
            .uncertain_until
            .get_or_insert(self.latest_append + MAX_DURATION);
        let Ok(record) = Record::parse(payload) else {
            return Outcome::Malformed;
        };
        let grant = Grant {
            holder: record.holder,
            attempt: record.attempt,
            token: offset,
            duration: record.duration,
            expires_at: self.latest_append + record.duration,
            applied_at: now,
        };
        let time = self.latest_append;
        let pool = self.pools.entry(record.pool.clone()).or_default();
        if pool.is_uncertain(&grant, uncertain_until, time) {
            return Outcome::Uncertain;
        }
        if pool.is_held_by_other(grant.holder, time) || pool.is_superseded(&grant) {
            return Outcome::Refused;
        }
        if record.duration.is_zero() {
            return pool.release(record.pool, grant);
        }
        pool.current = Some(grant.clone());
        Outcome::Granted(record.pool, grant)
    }

    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// The last granted lease of a pool, which may have expired.
    pub fn grant(&self, pool: &str) -> Option<&Grant> {
        self.pools.get(pool)?.current.as_ref()
    }
}

impl Pool {
    fn is_uncertain(&mut self, grant: &Grant, uncertain_until: SystemTime, time: SystemTime) -> bool {
        if self.current.is_some() {
            return false;
        }
        self.possible_leases.retain(|_, expires| *expires > time);
        let other_possible = self.possible_leases.keys().any(|it| *it != grant.holder);
        if time >= uncertain_until && !other_possible {
            return false;
        }
        let expires = self
            .possible_leases
            .entry(grant.holder)
            .or_insert(grant.expires_at);
        *expires = grant.expires_at.max(*expires);
        true
    }

    fn is_held_by_other(&self, holder: Incarnation, time: SystemTime) -> bool {
        self.current
            .as_ref()
            .is_some_and(|it| it.holder != holder && it.expires_at > time)
    }

    /// Whether the same or a later request of the process was applied before. A delayed release must not end
    /// a lease that the process requested after it.
    fn is_superseded(&self, grant: &Grant) -> bool {
        let later = |it: &Grant| it.holder == grant.holder && it.attempt >= grant.attempt;
        self.current.as_ref().is_some_and(later)
    }

    fn release(&mut self, pool: Name, grant: Grant) -> Outcome {
        if self.current.as_ref().is_none_or(|it| it.holder != grant.holder) {
            return Outcome::Refused;
        }
        self.current = Some(grant.clone());
        Outcome::Released(pool, grant)
    }
}
