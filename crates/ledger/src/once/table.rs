//! Table of the keys that this incarnation issued.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Refusal};

use super::{Answer, Call, EPOCH, HandOver, Key, KeyOutcome, Outcome, Response, Settled, outcome_unknown};
use crate::fault::{self, Fault};

/// Epochs for which an entry is kept after its key has expired.
const EXTRA_EPOCHS: u32 = 1;

/// Bounds of a table.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Epochs for which a key is valid.
    pub validity: u32,
    /// Keys whose call runs or ran.
    pub entries: usize,
    /// Keys that were refused and stay closed.
    pub closed: usize,
    /// Bytes of kept response bodies; beyond it a repeated call learns only that the outcome is unknown.
    pub response_bytes: usize,
}

/// Keys issued by this incarnation, and what became of them.
#[derive(Debug)]
pub struct Table {
    incarnation: Incarnation,
    started: Duration,
    limits: Limits,
    phase: Phase,
    /// Latest time seen. Threads may present their times out of order, and an earlier time would make an epoch valid
    /// again whose entries are already gone.
    latest: Duration,
    entries: HashMap<Slot, Entry>,
    epochs: BTreeMap<u32, Vec<Slot>>,
    closed: usize,
    response_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Sealed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Slot {
    organisation: Name,
    epoch: u32,
    part: Arc<str>,
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
            validity: 60,
            entries: 10_000,
            closed: 40_000,
            response_bytes: 8 << 20,
        }
    }
}

impl Table {
    /// An empty table of an incarnation that starts now.
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

    /// Prefix for the keys of a caller, `<incarnation>.<epoch>`.
    pub fn prefix(&mut self, now: Duration) -> String {
        self.advance(now);
        format!("{}.{}", self.incarnation, self.epoch())
    }

    /// Decides on a call; [`Answer::Execute`] is given at most once per key.
    pub fn begin(&mut self, call: Call<'_>, now: Duration) -> Answer {
        if let Some(answer) = self.answer(call, now) {
            return answer;
        }
        if self.entries.len() - self.closed >= self.limits.entries {
            return Answer::Refused(self.close(call, Reason::Overloaded));
        }
        self.insert(call, State::Running);
        Answer::Execute
    }

    /// Refuses a call; the key is closed unless the call runs or ran.
    pub fn refuse(&mut self, call: Call<'_>, reason: Reason, now: Duration) -> Answer {
        match self.answer(call, now) {
            Some(answer) => answer,
            None => Answer::Refused(self.close(call, reason)),
        }
    }

    /// Records the outcome of an execution and returns the answer for all callers that wait.
    pub fn finish(&mut self, organisation: &Name, key: &Key, outcome: Outcome) -> Answer {
        let (state, answer) = match outcome {
            Outcome::Done(response) => {
                let response = Arc::new(response);
                (self.keep(&response), Answer::Replay(response))
            }
            Outcome::NotRun(reason) => (State::Closed, Answer::Refused(Refusal::not_run(reason))),
            Outcome::Unknown => (State::Unknown, outcome_unknown()),
        };
        let slot = Slot::new(organisation, key);
        // The entry of a call that runs for longer than the validity of its key is gone, and stays so.
        let Some(entry) = self.entries.get_mut(&slot) else {
            return answer;
        };
        if !matches!(entry.state, State::Running) {
            return entry.answer(entry.digest);
        }
        if fault::active(Fault::LeaveOpen) && matches!(state, State::Closed) {
            self.entries.remove(&slot);
            return answer;
        }
        if matches!(state, State::Closed) {
            self.closed += 1;
        }
        if let State::Done(response) = &state {
            self.response_bytes += response.body.len();
        }
        entry.state = state;
        answer
    }

    /// Stops execution for good; calls that run are still to be finished.
    pub fn seal(&mut self) {
        self.phase = Phase::Sealed;
    }

    /// Calls that run.
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|it| matches!(it.state, State::Running))
            .count()
    }

    /// Keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Contents for the peers; `None` unless the table is sealed. A call that still runs counts as unknown.
    pub fn hand_over(&mut self, now: Duration) -> Option<HandOver> {
        if self.phase != Phase::Sealed && !fault::active(Fault::HandOverUnsealed) {
            return None;
        }
        self.advance(now);
        let last_epoch = self.epoch();
        // Closed keys are left out: an absent key gets the same answer.
        let outcomes = self.entries.iter().filter_map(|(slot, entry)| {
            let settled = match &entry.state {
                State::Running | State::Unknown => Settled::Unknown,
                State::Done(response) => Settled::Done(Arc::clone(response)),
                State::Closed => return None,
            };
            Some(KeyOutcome {
                organisation: Arc::clone(&slot.organisation),
                key: Key {
                    issuer: self.incarnation,
                    epoch: slot.epoch,
                    part: Arc::clone(&slot.part),
                },
                digest: entry.digest,
                settled,
            })
        });
        Some(HandOver {
            incarnation: self.incarnation,
            first_epoch: last_epoch.saturating_sub(self.limits.validity),
            last_epoch,
            outcomes: outcomes.collect(),
        })
    }

    /// Answer to a call whose key may not be executed; `None` if it may.
    fn answer(&mut self, call: Call<'_>, now: Duration) -> Option<Answer> {
        if call.key.issuer != self.incarnation {
            return Some(outcome_unknown());
        }
        self.advance(now);
        if let Some(entry) = self.entries.get(&Slot::new(call.organisation, call.key)) {
            return Some(entry.answer(call.digest));
        }
        let epoch = self.epoch();
        let refusal = if call.key.epoch > epoch && fault::active(Fault::ProveFuture) {
            Refusal::not_run(Reason::KeyInvalid)
        } else if call.key.epoch > epoch {
            // The epoch will come, and another copy of the call could then run, so this is no proof.
            Refusal::unknown(Reason::KeyInvalid)
        } else if epoch - call.key.epoch > self.limits.validity {
            Refusal::unknown(Reason::KeyExpired)
        } else if self.phase == Phase::Sealed {
            Refusal::not_run(Reason::Leaving)
        } else {
            return None;
        };
        Some(Answer::Refused(refusal))
    }

    /// Closes an absent key; without room to remember this, the refusal proves nothing.
    fn close(&mut self, call: Call<'_>, reason: Reason) -> Refusal {
        if fault::active(Fault::LeaveOpen) {
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
        let slot = Slot::new(call.organisation, call.key);
        self.epochs.entry(slot.epoch).or_default().push(slot.clone());
        let entry = Entry {
            digest: call.digest,
            state,
        };
        self.entries.insert(slot, entry);
    }

    fn keep(&self, response: &Arc<Response>) -> State {
        if self.response_bytes + response.body.len() > self.limits.response_bytes {
            return State::Unknown;
        }
        State::Done(Arc::clone(response))
    }

    fn advance(&mut self, now: Duration) {
        self.latest = if fault::active(Fault::TrustEarlierTime) {
            now
        } else {
            self.latest.max(now)
        };
        let mut kept = self.limits.validity + EXTRA_EPOCHS;
        if fault::active(Fault::ForgetEarly) {
            kept = self.limits.validity / 2;
        }
        let oldest = self.epoch().saturating_sub(kept);
        while let Some(epochs) = self.epochs.first_entry().filter(|it| *it.key() < oldest) {
            for slot in epochs.remove() {
                let Some(entry) = self.entries.remove(&slot) else {
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

    fn epoch(&self) -> u32 {
        let age = self.latest.saturating_sub(self.started);
        u32::try_from(age.as_secs() / EPOCH.as_secs()).unwrap_or(u32::MAX)
    }
}

impl Slot {
    fn new(organisation: &Name, key: &Key) -> Self {
        Self {
            organisation: Arc::clone(organisation),
            epoch: key.epoch,
            part: Arc::clone(&key.part),
        }
    }
}

impl Entry {
    fn answer(&self, digest: u64) -> Answer {
        match &self.state {
            State::Closed => Answer::Refused(Refusal::not_run(Reason::KeyClosed)),
            // The request that used the key first may have run.
            _ if self.digest != digest => Answer::Refused(Refusal::unknown(Reason::KeyReused)),
            State::Running => Answer::Running,
            State::Done(response) => Answer::Replay(Arc::clone(response)),
            State::Unknown => outcome_unknown(),
        }
    }
}
