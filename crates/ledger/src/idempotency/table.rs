//! Table of the keys issued by this incarnation.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Refusal};

use super::{
    Call, Decision, EPOCH_DURATION, HandOver, Key, KeyOutcome, Outcome, RecordedOutcome, Response,
    outcome_unknown,
};
use crate::fault::{self, Fault};

/// Epochs for which an entry is kept after its key expires.
const EXTRA_RETENTION_EPOCHS: u32 = 1;

/// Limits of a table.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Epochs for which a key is valid.
    pub validity_epochs: u32,
    /// Maximum number of keys whose calls run or ran.
    pub entries: usize,
    /// Maximum number of closed keys, whose calls were refused before execution.
    pub closed: usize,
    /// Maximum total size in bytes of stored response bodies. For a response beyond it, a repeated call is
    /// told only that the outcome is unknown.
    pub response_bytes: usize,
}

/// Keys issued by this incarnation and their states.
#[derive(Debug)]
pub struct Table {
    incarnation: Incarnation,
    started: Duration,
    limits: Limits,
    phase: Phase,
    /// Latest time seen. Threads may pass their times out of order, and an earlier time would make an epoch
    /// valid again whose entries are already evicted.
    latest: Duration,
    entries: HashMap<EntryKey, Entry>,
    epochs: BTreeMap<u32, Vec<EntryKey>>,
    closed: usize,
    response_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Sealed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct EntryKey {
    organisation: Name,
    epoch: u32,
    caller_part: Arc<str>,
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Done(Arc<Response>),
    Unknown,
    Closed,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            validity_epochs: 60,
            entries: 10_000,
            closed: 40_000,
            response_bytes: 8 << 20,
        }
    }
}

impl Table {
    /// Creates an empty table for an incarnation that starts now.
    pub fn new(incarnation: Incarnation, limits: Limits, now: Duration) -> Self {
        Self {
            incarnation,
            started: now,
            limits,
            phase: Phase::Open,
            latest: now,
            entries: HashMap::new(),
            epochs: BTreeMap::new(),
            closed: 0,
            response_bytes: 0,
        }
    }

    /// Issues a key prefix `<incarnation>.<epoch>`.
    pub fn prefix(&mut self, now: Duration) -> String {
        self.advance_to(now);
        format!("{}.{}", self.incarnation, self.current_epoch())
    }

    /// Decides on a call. Returns [`Decision::Execute`] at most once per key.
    pub fn begin(&mut self, call: Call<'_>, now: Duration) -> Decision {
        if let Some(decision) = self.decide_without_execution(call, now) {
            return decision;
        }
        if self.entries.len() - self.closed >= self.limits.entries {
            return Decision::Refused(self.close(call, Reason::Overloaded));
        }
        self.insert(call, State::Running);
        Decision::Execute
    }

    /// Refuses a call and closes its key, unless the call runs or ran.
    pub fn refuse(&mut self, call: Call<'_>, reason: Reason, now: Duration) -> Decision {
        match self.decide_without_execution(call, now) {
            Some(decision) => decision,
            None => Decision::Refused(self.close(call, reason)),
        }
    }

    /// Records the outcome of an execution and returns the decision for all waiting callers.
    pub fn finish(&mut self, organisation: &Name, key: &Key, outcome: Outcome) -> Decision {
        let (state, decision) = match outcome {
            Outcome::Done(response) => {
                let response = Arc::new(response);
                (self.store_response(&response), Decision::Replay(response))
            }
            Outcome::NotRun(reason) => (State::Closed, Decision::Refused(Refusal::not_run(reason))),
            Outcome::Unknown => (State::Unknown, outcome_unknown()),
        };
        let entry_key = EntryKey::new(organisation, key);
        // A call can outlast the validity of its key. Its entry is then evicted and must not be restored.
        let Some(entry) = self.entries.get_mut(&entry_key) else {
            return decision;
        };
        if !matches!(entry.state, State::Running) {
            return entry.decide(entry.digest);
        }
        if fault::active(Fault::SkipClosingKey) && matches!(state, State::Closed) {
            self.entries.remove(&entry_key);
            return decision;
        }
        if matches!(state, State::Closed) {
            self.closed += 1;
        }
        if let State::Done(response) = &state {
            self.response_bytes += response.body.len();
        }
        entry.state = state;
        decision
    }

    /// Permanently stops execution. Running calls must still be finished.
    pub fn seal(&mut self) {
        self.phase = Phase::Sealed;
    }

    /// Number of running calls.
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|it| matches!(it.state, State::Running))
            .count()
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table contains no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Contents to hand over to peers; `None` unless the table is sealed. The outcome of a running call is
    /// unknown.
    pub fn hand_over(&mut self, now: Duration) -> Option<HandOver> {
        if self.phase != Phase::Sealed && !fault::active(Fault::HandOverUnsealed) {
            return None;
        }
        self.advance_to(now);
        let last_epoch = self.current_epoch();
        // Closed keys are omitted because an absent key leads to the same decision.
        let outcomes = self.entries.iter().filter_map(|(entry_key, entry)| {
            let outcome = match &entry.state {
                State::Running | State::Unknown => RecordedOutcome::Unknown,
                State::Done(response) => RecordedOutcome::Done(Arc::clone(response)),
                State::Closed => return None,
            };
            Some(KeyOutcome {
                organisation: Arc::clone(&entry_key.organisation),
                key: Key {
                    issuer: self.incarnation,
                    epoch: entry_key.epoch,
                    caller_part: Arc::clone(&entry_key.caller_part),
                },
                digest: entry.digest,
                outcome,
            })
        });
        Some(HandOver {
            incarnation: self.incarnation,
            first_epoch: last_epoch.saturating_sub(self.limits.validity_epochs),
            last_epoch,
            outcomes: outcomes.collect(),
        })
    }

    /// Decides on a call that must not be executed; `None` if the call may be executed.
    fn decide_without_execution(&mut self, call: Call<'_>, now: Duration) -> Option<Decision> {
        if call.key.issuer != self.incarnation {
            return Some(outcome_unknown());
        }
        self.advance_to(now);
        if let Some(entry) = self.entries.get(&EntryKey::new(call.organisation, call.key)) {
            return Some(entry.decide(call.digest));
        }
        let epoch = self.current_epoch();
        let refusal = if call.key.epoch > epoch && fault::active(Fault::RefuseFutureKeyAsNotRun) {
            Refusal::not_run(Reason::KeyInvalid)
        } else if call.key.epoch > epoch {
            // Another copy of the call could run once the epoch is reached, so `not_run` would be wrong.
            Refusal::unknown(Reason::KeyInvalid)
        } else if epoch - call.key.epoch > self.limits.validity_epochs {
            Refusal::unknown(Reason::KeyExpired)
        } else if self.phase == Phase::Sealed {
            Refusal::not_run(Reason::Leaving)
        } else {
            return None;
        };
        Some(Decision::Refused(refusal))
    }

    /// Closes an absent key. If the limit on closed keys is reached, the refusal cannot state that the call
    /// did not run.
    fn close(&mut self, call: Call<'_>, reason: Reason) -> Refusal {
        if fault::active(Fault::SkipClosingKey) {
            return Refusal::not_run(reason);
        }
        if self.closed >= self.limits.closed {
            return Refusal::unknown(reason);
        }
        self.closed += 1;
        self.insert(call, State::Closed);
        Refusal::not_run(reason)
    }

    fn insert(&mut self, call: Call<'_>, state: State) {
        let entry_key = EntryKey::new(call.organisation, call.key);
        self.epochs
            .entry(entry_key.epoch)
            .or_default()
            .push(entry_key.clone());
        let entry = Entry {
            digest: call.digest,
            state,
        };
        self.entries.insert(entry_key, entry);
    }

    fn store_response(&self, response: &Arc<Response>) -> State {
        if self.response_bytes + response.body.len() > self.limits.response_bytes {
            return State::Unknown;
        }
        State::Done(Arc::clone(response))
    }

    /// Advances the latest time and evicts the entries of expired epochs.
    fn advance_to(&mut self, now: Duration) {
        self.latest = if fault::active(Fault::AcceptEarlierTime) {
            now
        } else {
            self.latest.max(now)
        };
        let mut retention_epochs = self.limits.validity_epochs + EXTRA_RETENTION_EPOCHS;
        if fault::active(Fault::EvictEarly) {
            retention_epochs = self.limits.validity_epochs / 2;
        }
        let oldest = self.current_epoch().saturating_sub(retention_epochs);
        while let Some(expired) = self.epochs.first_entry().filter(|it| *it.key() < oldest) {
            for entry_key in expired.remove() {
                let Some(entry) = self.entries.remove(&entry_key) else {
                    continue;
                };
                match entry.state {
                    State::Closed => self.closed -= 1,
                    State::Done(response) => self.response_bytes -= response.body.len(),
                    State::Running | State::Unknown => (),
                }
            }
        }
    }

    fn current_epoch(&self) -> u32 {
        let age = self.latest.saturating_sub(self.started);
        u32::try_from(age.as_secs() / EPOCH_DURATION.as_secs()).unwrap_or(u32::MAX)
    }
}

impl EntryKey {
    fn new(organisation: &Name, key: &Key) -> Self {
        Self {
            organisation: Arc::clone(organisation),
            epoch: key.epoch,
            caller_part: Arc::clone(&key.caller_part),
        }
    }
}

impl Entry {
    fn decide(&self, digest: u64) -> Decision {
        match &self.state {
            State::Closed => Decision::Refused(Refusal::not_run(Reason::KeyClosed)),
            // The request that first used the key may have run.
            _ if self.digest != digest => Decision::Refused(Refusal::unknown(Reason::KeyReused)),
            State::Running => Decision::Running,
            State::Done(response) => Decision::Replay(Arc::clone(response)),
            State::Unknown => outcome_unknown(),
        }
    }
}
