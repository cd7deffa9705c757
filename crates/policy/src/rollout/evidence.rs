//! Evidence of a roll-out in grow-only counters.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Incarnation, Name, Revision};

/// A roll-out at one revision of its object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RolloutRevision {
    /// Name of the roll-out.
    pub name: Name,
    /// Revision of the roll-out.
    pub revision: Revision,
}

/// Arm of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Arm {
    /// Version that is being replaced.
    Old,
    /// Version that is being rolled out.
    New,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The request was sent to the version.
    Started,
    /// The request failed; no further event follows.
    Failed,
    /// The answer is complete; a rating may follow.
    Answered {
        /// Time to the complete answer.
        latency: Duration,
        /// Whether the latency exceeds the bound of the request's class.
        slow: bool,
    },
    /// The answer was rated adequate.
    Adequate,
    /// The answer was rated inadequate.
    Inadequate,
    /// No rating is expected any more.
    Lost,
}

/// Events that one node incarnation recorded for one arm. No field ever decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counter {
    /// Requests sent.
    pub started: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Complete answers.
    pub answered: u64,
    /// Answers slower than the bound of their class.
    pub slow: u64,
    /// Sum of the times to complete answers, in milliseconds.
    pub latency_ms: u64,
    /// Answers rated adequate.
    pub adequate: u64,
    /// Answers rated inadequate.
    pub inadequate: u64,
    /// Answers for which no rating is expected any more.
    pub lost: u64,
}

/// A counter with its key, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Roll-out and revision that the evidence belongs to.
    pub rollout: RolloutRevision,
    /// Arm of the comparison.
    pub arm: Arm,
    /// Node incarnation that recorded the events.
    pub incarnation: Incarnation,
    /// Numbers of events.
    pub counter: Counter,
}

/// Evidence of one roll-out at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    counters: BTreeMap<(Arm, Incarnation), Counter>,
}

impl Counter {
    /// Counts one event.
    pub fn add(&mut self, event: Event) {
        match event {
            Event::Started => self.started += 1,
            Event::Failed => self.failed += 1,
            Event::Answered { latency, slow } => {
                self.answered += 1;
                self.slow += u64::from(slow);
                self.latency_ms += latency.as_millis() as u64;
            }
            Event::Adequate => self.adequate += 1,
            Event::Inadequate => self.inadequate += 1,
            Event::Lost => self.lost += 1,
        }
    }

    /// Number of requests whose outcome is known.
    pub fn known_outcomes(&self) -> u64 {
        self.failed + self.adequate + self.inadequate
    }

    /// Number of requests whose outcome is not known. Lost ratings count as known outcomes only up to the
    /// number of real ones, so that exposure stays bounded while the rating service is down, but continues
    /// while it misses up to half of the answers.
    pub fn unknown_outcomes(&self) -> u64 {
        let known = self.known_outcomes() + self.lost.min(self.known_outcomes());
        self.started.saturating_sub(known)
    }

    fn combine(&self, other: &Self, op: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            started: op(self.started, other.started),
            failed: op(self.failed, other.failed),
            answered: op(self.answered, other.answered),
            slow: op(self.slow, other.slow),
            latency_ms: op(self.latency_ms, other.latency_ms),
            adequate: op(self.adequate, other.adequate),
            inadequate: op(self.inadequate, other.inadequate),
            lost: op(self.lost, other.lost),
        }
    }
}

impl Evidence {
    /// Counts an event that a node incarnation recorded.
    pub fn add(&mut self, arm: Arm, incarnation: Incarnation, event: Event) {
        self.counters.entry((arm, incarnation)).or_default().add(event);
    }

    /// Merges a counter by element-wise maximum.
    pub fn merge(&mut self, arm: Arm, incarnation: Incarnation, counter: &Counter) {
        let current = self.counters.entry((arm, incarnation)).or_default();
        *current = current.combine(counter, u64::max);
    }

    /// Counter of a node incarnation.
    pub fn counter(&self, arm: Arm, incarnation: Incarnation) -> Counter {
        self.counters
            .get(&(arm, incarnation))
            .copied()
            .unwrap_or_default()
    }

    /// Sum over all node incarnations.
    pub fn total(&self, arm: Arm) -> Counter {
        let of_arm = self.counters.iter().filter(|it| it.0.0 == arm);
        of_arm.fold(Counter::default(), |sum, it| sum.combine(it.1, |a, b| a + b))
    }

    /// Counters of all arms and node incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (Arm, Incarnation, Counter)> {
        self.counters
            .iter()
            .map(|(key, counter)| (key.0, key.1, *counter))
    }
}
