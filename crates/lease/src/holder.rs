//! Acquisition and renewal of a lease by one node.
//!
//! The holder measures its lease from before it sent the append, which is before the log accepted the record,
//! and stops a safety margin before the end. A successor measures from when it read the predecessor's record,
//! which is after the log accepted it. Both measure durations on their own monotonic clocks, so a step of the
//! log service's clock cannot make two leases overlap.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Host, Incarnation, Name};

use crate::Token;
use crate::record::Record;
use crate::table::{Grant, Outcome, Table};

/// Maximum number of own requests that await their outcome; older ones count as lost.
const MAX_PENDING_REQUESTS: usize = 16;

/// Timing of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Requested duration.
    pub duration: Duration,
    /// Time before the end of the lease at which the holder stops sending orders. It covers the delivery of
    /// an order and the drift between the nodes' clocks over the duration.
    pub safety_margin: Duration,
    /// Time after which an order is either delivered or lost.
    pub delivery_timeout: Duration,
    /// Interval between requests.
    pub renewal_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            safety_margin: Duration::from_secs(3),
            delivery_timeout: Duration::from_secs(2),
            // Two renewals may fail before the lease expires.
            renewal_interval: Duration::from_secs(4),
        }
    }
}

/// Whether the node should hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intent {
    /// Request and renew the lease.
    Hold,
    /// Release the lease if the node holds it.
    Release,
}

/// Lease state of one node for one pool.
#[derive(Debug, Clone)]
pub struct Holder {
    settings: Settings,
    pool: Name,
    incarnation: Incarnation,
    host: Host,
    attempt: u64,
    /// Send time of each request that awaits its outcome.
    pending: BTreeMap<u64, Duration>,
    last_request: Option<Duration>,
    lease: Option<Lease>,
    /// Time from which all orders of the previous holder are either delivered or lost.
    orders_allowed_from: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    token: Token,
    until: Duration,
}

impl Holder {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(settings: Settings, pool: Name, incarnation: Incarnation, host: Host) -> Self {
        Self {
            settings,
            pool,
            incarnation,
            host,
            attempt: 0,
            pending: BTreeMap::new(),
            last_request: None,
            lease: None,
            orders_allowed_from: Duration::ZERO,
        }
    }

    /// Returns the payload to append now, if any. The append must be sent immediately or not at all, because
    /// the lease is measured from `now`.
    pub fn tick(&mut self, now: Duration, intent: Intent, table: &Table) -> Option<Vec<u8>> {
        match intent {
            Intent::Hold => self.request(now, table),
            Intent::Release => self.release(now),
        }
    }

    /// Processes the outcome of any record of the log.
    pub fn record_applied(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Granted(pool, grant) if *pool == self.pool => self.handle_grant(grant),
            Outcome::Released(pool, grant) if *pool == self.pool => self.end_lease(grant),
            _ => {}
        }
    }

    /// Returns the fencing token if the node holds the lease. Must be called immediately before each order is
    /// sent.
    pub fn token(&self, now: Duration) -> Option<Token> {
        let lease = self.lease?;
        (now >= self.orders_allowed_from && now < lease.until).then_some(lease.token)
    }

    /// Drops the lease after an engine rejected its token, which means that another node holds the pool.
    pub fn fenced(&mut self, token: Token) {
        self.lease.take_if(|it| it.token <= token);
    }

    fn request(&mut self, now: Duration, table: &Table) -> Option<Vec<u8>> {
        if self
            .last_request
            .is_some_and(|it| now < it + self.settings.renewal_interval)
        {
            return None;
        }
        let current = table.grant(&self.pool).filter(|it| it.holder != self.incarnation);
        if current.is_some_and(|it| now < it.applied_at + it.duration) {
            return None;
        }
        Some(self.append(now, self.settings.duration))
    }

    fn release(&mut self, now: Duration) -> Option<Vec<u8>> {
        // The lease is dropped before the release is sent, so no order follows even if the release is lost.
        self.lease.take()?;
        self.pending.clear();
        Some(self.append(now, Duration::ZERO))
    }

    fn append(&mut self, now: Duration, duration: Duration) -> Vec<u8> {
        self.attempt += 1;
        self.last_request = Some(now);
        if !duration.is_zero() {
            self.pending.insert(self.attempt, now);
        }
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
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

    fn handle_grant(&mut self, grant: &Grant) {
        if grant.holder != self.incarnation {
            self.end_lease(grant);
            return;
        }
        let Some(sent) = self.pending.remove(&grant.attempt) else {
            return;
        };
        let until = (sent + grant.duration).saturating_sub(self.settings.safety_margin);
        self.lease = Some(Lease {
            token: grant.token,
            until,
        });
    }

    fn end_lease(&mut self, grant: &Grant) {
        self.lease = None;
        if grant.holder != self.incarnation {
            self.orders_allowed_from = grant.applied_at + grant.duration + self.settings.delivery_timeout;
        }
    }
}
