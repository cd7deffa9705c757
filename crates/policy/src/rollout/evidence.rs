//! Grow-only evidence of a roll-out.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Incarnation, Name, Revision};

/// A roll-out at one revision of its object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// Name of the roll-out.
    pub rollout: Name,
    /// Revision of the roll-out.
    pub revision: Revision,
}

/// Side of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Arm {
    /// Version before.
    Old,
    /// Version after.
    New,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It was sent to the version.
    Started,
    /// It failed; nothing else follows.
    Failed,
    /// Its answer is complete; a rating may follow.
    Answered {
        /// Time to the whole answer.
        latency: Duration,
        /// Whether this exceeds the class's bound.
        slow: bool,
    },
    /// Its answer was rated adequate.
    Adequate,
    /// Its answer was rated inadequate.
    Inadequate,
    /// Its rating is not expected any more.
    Lost,
}

/// What one node incarnation saw of one arm. All fields only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counter {
    /// Requests sent.
    pub started: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Answers.
    pub answered: u64,
    /// Answers slower than the bound of their class.
    pub slow: u64,
    /// Sum of times to whole answers in milliseconds.
    pub latency_ms: u64,
    /// Answers rated adequate.
    pub adequate: u64,
    /// Answers rated inadequate.
    pub inadequate: u64,
    /// Answers whose rating is not expected any more.
    pub lost: u64,
}

/// A counter with its key, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Run.
    pub run: Run,
    /// Arm.
    pub arm: Arm,
    /// Node incarnation.
    pub incarnation: Incarnation,
    /// What it saw.
    pub counter: Counter,
}

/// Evidence of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    counters: BTreeMap<(Arm, Incarnation), Counter>,
}

impl Counter {
    /// Counts an event.
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

    /// Requests whose outcome is known.
    pub fn known(&self) -> u64 {
        self.failed + self.adequate + self.inadequate
    }

    /// Requests whose outcome is not known. A lost rating counts as known only once for each known outcome, so that
    /// exposure stays bounded while the rating service is down and goes on when it misses up to half of the answers.
    pub fn unknown(&self) -> u64 {
        let settled = self.known() + self.lost.min(self.known());
        self.started.saturating_sub(settled)
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
    /// Counts an event at a node incarnation.
    pub fn add(&mut self, arm: Arm, incarnation: Incarnation, event: Event) {
        self.counters.entry((arm, incarnation)).or_default().add(event);
    }

    /// Takes the element-wise maximum with a counter.
    pub fn merge(&mut self, arm: Arm, incarnation: Incarnation, counter: &Counter) {
        let held = self.counters.entry((arm, incarnation)).or_default();
        *held = held.combine(counter, u64::max);
    }

    /// What a node incarnation saw.
    pub fn of(&self, arm: Arm, incarnation: Incarnation) -> Counter {
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

    /// All counters.
    pub fn iter(&self) -> impl Iterator<Item = (Arm, Incarnation, Counter)> {
        self.counters
            .iter()
            .map(|(key, counter)| (key.0, key.1, *counter))
    }
}
