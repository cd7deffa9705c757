//! Sealed tables handed over by stopped peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Refusal};

use super::{Call, Decision, EPOCH_DURATION, Key, Response, outcome_unknown};

/// Maximum number of tables. Beyond it the oldest is dropped, and the outcomes of its keys become unknown.
const MAX_TABLES: usize = 16;

/// Time for which a table is kept. Its newest keys expire after an hour.
const RETENTION: Duration = Duration::from_secs(62 * EPOCH_DURATION.as_secs());

/// Contents of a sealed table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// Incarnation that issued the keys.
    pub incarnation: Incarnation,
    /// Oldest epoch for which the absence of a key proves that its call never ran.
    pub first_epoch: u32,
    /// Epoch in which the table was handed over.
    pub last_epoch: u32,
    /// Outcomes of the keys whose calls ran or may have run.
    pub outcomes: Vec<KeyOutcome>,
}

/// Outcome of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOutcome {
    /// Organisation that used the key.
    pub organisation: Name,
    /// Idempotency key.
    pub key: Key,
    /// Digest of the request that used the key.
    pub digest: u64,
    /// Recorded outcome.
    pub outcome: RecordedOutcome,
}

/// Outcome recorded for a key whose call ran or may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The service responded.
    Done(Arc<Response>),
    /// The call may have run.
    Unknown,
}

/// Sealed tables of other incarnations.
#[derive(Debug, Default)]
pub struct Archive {
    tables: HashMap<Incarnation, Table>,
}

#[derive(Debug)]
struct Table {
    received: Duration,
    first_epoch: u32,
    last_epoch: u32,
    outcomes: HashMap<(Name, Key), (u64, RecordedOutcome)>,
}

impl Archive {
    /// Stores a table.
    pub fn insert(&mut self, hand_over: HandOver, now: Duration) {
        self.expire(now);
        let is_full = self.tables.len() >= MAX_TABLES && !self.tables.contains_key(&hand_over.incarnation);
        if is_full && let Some(oldest) = self.oldest() {
            self.tables.remove(&oldest);
        }
        let outcomes = hand_over.outcomes.into_iter();
        let table = Table {
            received: now,
            first_epoch: hand_over.first_epoch,
            last_epoch: hand_over.last_epoch,
            outcomes: outcomes
                .map(|it| ((it.organisation, it.key), (it.digest, it.outcome)))
                .collect(),
        };
        self.tables.insert(hand_over.incarnation, table);
    }

    /// Decides on a call whose issuer has stopped; `None` if the archive does not contain the issuer's table.
    /// The decision is never [`Decision::Execute`].
    pub fn decide(&mut self, call: Call<'_>, now: Duration) -> Option<Decision> {
        self.expire(now);
        let table = self.tables.get(&call.key.issuer)?;
        Some(table.decide(call))
    }

    fn expire(&mut self, now: Duration) {
        self.tables
            .retain(|_, it| now.saturating_sub(it.received) < RETENTION);
    }

    fn oldest(&self) -> Option<Incarnation> {
        let oldest = self
            .tables
            .iter()
            .min_by_key(|(incarnation, it)| (it.received, **incarnation));
        oldest.map(|(incarnation, _)| *incarnation)
    }
}

impl Table {
    fn decide(&self, call: Call<'_>) -> Decision {
        let entry_key = (Arc::clone(call.organisation), call.key.clone());
        if let Some((digest, outcome)) = self.outcomes.get(&entry_key) {
            return match outcome {
                _ if *digest != call.digest => Decision::Refused(Refusal::unknown(Reason::KeyReused)),
                RecordedOutcome::Done(response) => Decision::Replay(Arc::clone(response)),
                RecordedOutcome::Unknown => outcome_unknown(),
            };
        }
        if call.key.epoch < self.first_epoch {
            return Decision::Refused(Refusal::unknown(Reason::KeyExpired));
        }
        // The issuer sealed its table before it handed it over, so an absent key can no longer be executed.
        let reason = if call.key.epoch > self.last_epoch {
            Reason::KeyInvalid
        } else {
            Reason::Leaving
        };
        Decision::Refused(Refusal::not_run(reason))
    }
}
