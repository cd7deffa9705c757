//! The holder's side of a lease.
//!
//! The holder counts its lease from before it sent the append, which is before the log took it, and stops early by a
//! margin. A successor counts from when it read the predecessor's record, which is after the log took it. Both
//! measure durations on their own monotonic clocks, so a step of the log's clock cannot make two leases overlap.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Host, Incarnation, Name};

use crate::Token;
use crate::fold::{Grant, Table, Verdict};
use crate::record::Record;

/// Number of own requests whose verdict is awaited; earlier ones count as lost.
const MAX_OPEN_ATTEMPTS: usize = 16;

/// Times of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Duration that is requested.
    pub duration: Duration,
    /// How long before its end the holder stops sending orders: covers the delivery of an order and the difference
    /// of the clock rates over the duration.
    pub margin: Duration,
    /// Time within which an order is delivered or lost.
    pub delivery: Duration,
    /// Time between two requests.
    pub renewal: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            margin: Duration::from_secs(3),
            delivery: Duration::from_secs(2),
            // Two renewals may fail before the lease lapses.
            renewal: Duration::from_secs(4),
        }
    }
}

/// Whether the node should hold the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intent {
    /// Request and renew the lease.
    Hold,
    /// Release the lease if it is held.
    Yield,
}

/// State of one node for one pool.
#[derive(Debug, Clone)]
pub struct Holder {
    settings: Settings,
    pool: Name,
    incarnation: Incarnation,
    host: Host,
    attempt: u64,
    /// When each open request was sent.
    open: BTreeMap<u64, Duration>,
    last_request: Option<Duration>,
    lease: Option<Lease>,
    /// When orders of the predecessor have been delivered or lost.
    clear: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    token: Token,
    until: Duration,
}

impl Holder {
    /// State of a node that holds nothing.
    pub fn new(settings: Settings, pool: Name, incarnation: Incarnation, host: Host) -> Self {
        Self {
            settings,
            pool,
            incarnation,
            host,
            attempt: 0,
            open: BTreeMap::new(),
            last_request: None,
            lease: None,
            clear: Duration::ZERO,
        }
    }

    /// The payload to append now, if any. The append has to be sent at once or not at all.
    pub fn tick(&mut self, now: Duration, intent: Intent, table: &Table) -> Option<Vec<u8>> {
        match intent {
            Intent::Hold => self.request(now, table),
            Intent::Yield => self.release(now),
        }
    }

    /// Processes the verdict on any record of the log.
    pub fn folded(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Granted(pool, grant) if *pool == self.pool => self.granted(grant),
            Verdict::Released(pool, grant) if *pool == self.pool => self.ended(grant),
            _ => {}
        }
    }

    /// The fencing token if the lease is held; to be asked immediately before each order is sent.
    pub fn token(&self, now: Duration) -> Option<Token> {
        let lease = self.lease?;
        (now >= self.clear && now < lease.until).then_some(lease.token)
    }

    /// An engine refused the token, so another node holds the pool.
    pub fn fenced(&mut self, token: Token) {
        self.lease.take_if(|it| it.token <= token);
    }

    fn request(&mut self, now: Duration, table: &Table) -> Option<Vec<u8>> {
        if self
            .last_request
            .is_some_and(|it| now < it + self.settings.renewal)
        {
            return None;
        }
        let current = table.grant(&self.pool).filter(|it| it.holder != self.incarnation);
        if current.is_some_and(|it| now < it.observed + it.duration) {
            return None;
        }
        Some(self.append(now, self.settings.duration))
    }

    fn release(&mut self, now: Duration) -> Option<Vec<u8>> {
        // No order is sent after this, whether or not the release arrives.
        self.lease.take()?;
        self.open.clear();
        Some(self.append(now, Duration::ZERO))
    }

    fn append(&mut self, now: Duration, duration: Duration) -> Vec<u8> {
        self.attempt += 1;
        self.last_request = Some(now);
        if !duration.is_zero() {
            self.open.insert(self.attempt, now);
        }
        if self.open.len() > MAX_OPEN_ATTEMPTS {
            self.open.pop_first();
        }
        let record = Record {
            pool: self.pool.clone(),
            holder: self.incarnation,
            host: self.host.clone(),
            attempt: self.attempt,
            duration,
        };
        record.to_bytes()
    }

    fn granted(&mut self, grant: &Grant) {
        if grant.holder != self.incarnation {
            self.ended(grant);
            return;
        }
        let Some(sent) = self.open.remove(&grant.attempt) else {
            return;
        };
        let until = (sent + grant.duration).saturating_sub(self.settings.margin);
        self.lease = Some(Lease {
            token: grant.token,
            until,
        });
    }

    fn ended(&mut self, grant: &Grant) {
        self.lease = None;
        if grant.holder != self.incarnation {
            self.clear = grant.observed + grant.duration + self.settings.delivery;
        }
    }
}
