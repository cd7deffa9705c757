//! Who holds which pool, by the log.
//!
//! A lease is granted if no lease of another holder is live at the append time of the record. Append times that go
//! backwards count as the latest one before.
//!
//! A fold that starts where retention has cut the log does not know the leases before. Until none of them and none
//! of the requests since can be live, its verdict is [`Verdict::Uncertain`].

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use model::{Incarnation, Name, Offset};

use crate::Token;
use crate::record::{MAX_DURATION, Record};

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Process that holds the pool.
    pub holder: Incarnation,
    /// Request that was granted.
    pub attempt: u64,
    /// Fencing token.
    pub token: Token,
    /// Duration from the append on; zero after a release.
    pub duration: Duration,
    /// End by the log's clock.
    pub expires: SystemTime,
    /// When this node folded the record, by its own clock.
    pub observed: Duration,
}

/// Effect of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The lease is granted or renewed.
    Granted(Name, Grant),
    /// The holder released the pool.
    Released(Name, Grant),
    /// Another holder's lease is live, the pool was released by another one, or a later request of the same process
    /// was folded before.
    Refused,
    /// The lease may have been granted; the holder must not rely on it.
    Uncertain,
    /// The record does not parse.
    Malformed,
    /// The record was folded before.
    Skipped,
    /// Records before this one are missing.
    Gap,
}

/// The leases of all pools.
#[derive(Debug, Clone)]
pub struct Table {
    next: Offset,
    time: SystemTime,
    /// Leases from before the fold's start can be live until then; `None` until the first record.
    settled: Option<SystemTime>,
    pools: BTreeMap<Name, Pool>,
}

#[derive(Debug, Clone, Default)]
struct Pool {
    current: Option<Grant>,
    /// Ends of the leases that may have been granted while the fold was uncertain.
    possible: BTreeMap<Incarnation, SystemTime>,
}

impl Table {
    /// A fold of the log from `first` on, which is zero unless retention has cut the log.
    pub fn new(first: Offset) -> Self {
        Self {
            next: first,
            time: SystemTime::UNIX_EPOCH,
            settled: (first == 0).then_some(SystemTime::UNIX_EPOCH),
            pools: BTreeMap::new(),
        }
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, time: SystemTime, payload: &[u8], now: Duration) -> Verdict {
        if offset < self.next {
            return Verdict::Skipped;
        }
        if offset > self.next {
            return Verdict::Gap;
        }
        self.next = offset.saturating_add(1);
        self.time = self.time.max(time);
        let settled = *self.settled.get_or_insert(self.time + MAX_DURATION);
        let Ok(record) = Record::parse(payload) else {
            return Verdict::Malformed;
        };
        let grant = Grant {
            holder: record.holder,
            attempt: record.attempt,
            token: offset,
            duration: record.duration,
            expires: self.time + record.duration,
            observed: now,
        };
        let time = self.time;
        let pool = self.pools.entry(record.pool.clone()).or_default();
        if pool.is_uncertain(&grant, settled, time) {
            return Verdict::Uncertain;
        }
        if pool.is_held_by_other(grant.holder, time) || pool.is_outdated(&grant) {
            return Verdict::Refused;
        }
        if record.duration.is_zero() {
            return pool.release(record.pool, grant);
        }
        pool.current = Some(grant.clone());
        Verdict::Granted(record.pool, grant)
    }

    /// Offset of the next record to fold.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The last granted lease of a pool, which may have ended.
    pub fn grant(&self, pool: &str) -> Option<&Grant> {
        self.pools.get(pool)?.current.as_ref()
    }
}

impl Pool {
    fn is_uncertain(&mut self, grant: &Grant, settled: SystemTime, time: SystemTime) -> bool {
        if self.current.is_some() {
            return false;
        }
        self.possible.retain(|_, expires| *expires > time);
        let rival = self.possible.keys().any(|it| *it != grant.holder);
        if time >= settled && !rival {
            return false;
        }
        let expires = self.possible.entry(grant.holder).or_insert(grant.expires);
        *expires = grant.expires.max(*expires);
        true
    }

    fn is_held_by_other(&self, holder: Incarnation, time: SystemTime) -> bool {
        self.current
            .as_ref()
            .is_some_and(|it| it.holder != holder && it.expires > time)
    }

    /// Whether a later request of the same process was folded before: a delayed release must not end a lease that
    /// the process requested after it.
    fn is_outdated(&self, grant: &Grant) -> bool {
        let later = |it: &Grant| it.holder == grant.holder && it.attempt >= grant.attempt;
        self.current.as_ref().is_some_and(later)
    }

    fn release(&mut self, pool: Name, grant: Grant) -> Verdict {
        if self.current.as_ref().is_none_or(|it| it.holder != grant.holder) {
            return Verdict::Refused;
        }
        self.current = Some(grant.clone());
        Verdict::Released(pool, grant)
    }
}
