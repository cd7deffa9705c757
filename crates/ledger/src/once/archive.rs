//! Tables that stopped peers handed over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Refusal};

use super::{Answer, Call, EPOCH, Key, Response, outcome_unknown};

/// Tables kept at the same time; when another one comes, the oldest is dropped and its keys become unknown.
const TABLE_LIMIT: usize = 16;

/// Time for which a table is kept; its newest keys expire after an hour.
const RETENTION: Duration = Duration::from_secs(62 * EPOCH.as_secs());

/// Contents of a sealed table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// Incarnation that issued the keys.
    pub incarnation: Incarnation,
    /// Oldest epoch for which an absent key proves that it never ran.
    pub first_epoch: u32,
    /// Epoch in which the table was handed over.
    pub last_epoch: u32,
    /// Keys that ran or may have run.
    pub outcomes: Vec<KeyOutcome>,
}

/// What became of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOutcome {
    /// Organisation that used the key.
    pub organisation: Name,
    /// The key.
    pub key: Key,
    /// Digest of the request that used the key.
    pub digest: u64,
    /// Outcome.
    pub settled: Settled,
}

/// Outcome of a key that was executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
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
    outcomes: HashMap<(Name, Key), (u64, Settled)>,
}

impl Archive {
    /// Keeps a table.
    pub fn insert(&mut self, hand_over: HandOver, now: Duration) {
        self.expire(now);
        let full = self.tables.len() >= TABLE_LIMIT && !self.tables.contains_key(&hand_over.incarnation);
        if full && let Some(oldest) = self.oldest() {
            self.tables.remove(&oldest);
        }
        let outcomes = hand_over.outcomes.into_iter();
        let table = Table {
            received: now,
            first_epoch: hand_over.first_epoch,
            last_epoch: hand_over.last_epoch,
            outcomes: outcomes
                .map(|it| ((it.organisation, it.key), (it.digest, it.settled)))
                .collect(),
        };
        self.tables.insert(hand_over.incarnation, table);
    }

    /// Answers a call of a stopped issuer; `None` if its table is not here. The answer is never [`Answer::Execute`].
    pub fn answer(&mut self, call: Call<'_>, now: Duration) -> Option<Answer> {
        self.expire(now);
        let table = self.tables.get(&call.key.issuer)?;
        Some(table.answer(call))
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
    fn answer(&self, call: Call<'_>) -> Answer {
        let slot = (Arc::clone(call.organisation), call.key.clone());
        if let Some((digest, settled)) = self.outcomes.get(&slot) {
            return match settled {
                _ if *digest != call.digest => Answer::Refused(Refusal::unknown(Reason::KeyReused)),
                Settled::Done(response) => Answer::Replay(Arc::clone(response)),
                Settled::Unknown => outcome_unknown(),
            };
        }
        if call.key.epoch < self.first_epoch {
            return Answer::Refused(Refusal::unknown(Reason::KeyExpired));
        }
        // The issuer sealed its table before it handed it over, so that no absent key can run any more.
        let reason = if call.key.epoch > self.last_epoch {
            Reason::KeyInvalid
        } else {
            Reason::Leaving
        };
        Answer::Refused(Refusal::not_run(reason))
    }
}
