//! Readings of the platform's store that nodes pass on to each other.
//!
//! Each topic is read from the store by a few nodes only. The others ask one of these readers, which answers from its
//! [`Journal`]. So the calls to the store do not grow with the number of nodes. Any node may be asked: whether its
//! answer is of use is decided by its age, and the node that asks reads the store itself if it is not.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Nodes that read each topic from the store; the second one is there for the moment at which the first is lost.
pub const READERS: usize = 2;

/// Changes that a journal keeps; a few restarts of the engines of a large service. Beyond them the store is read.
const CAPACITY: usize = 512;

/// Changes of one reading.
#[derive(Debug, Clone)]
struct Batch<C> {
    /// Offset behind the reading.
    next: u64,
    changes: Vec<C>,
}

/// What a node can pass on about one topic.
#[derive(Debug, Clone)]
pub struct Journal<C> {
    batches: VecDeque<Batch<C>>,
    /// Offset from which no change is missing.
    floor: u64,
    /// Offset behind the newest reading, and the moment at which nothing lay behind it.
    newest: Option<(u64, Moment)>,
}

/// Answer to a node that knows a topic up to some offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading<C> {
    /// Offset that the topic is known to after the changes.
    pub next: u64,
    /// Time since the topic was known to end there.
    pub age: Duration,
    /// Changes in their order.
    pub changes: Vec<C>,
}

/// What the node that asked takes over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken<C> {
    /// Offset that the topic is known to after the changes.
    pub next: u64,
    /// Moment at which it was known to end there, on the clock of the node that asked.
    pub at: Moment,
    /// Changes in their order.
    pub changes: Vec<C>,
}

/// A question to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// Offset that the topic is known to.
    pub from: u64,
    /// Age of that knowledge when the question was sent.
    pub age: Duration,
    /// When the question was sent.
    pub sent: Moment,
}

impl Asked {
    /// What an answer that arrived by `now` is good for; `None` if it is older than `limit`.
    ///
    /// The age counts from the question on: the answer was given later, so neither a slow datagram nor a suspended
    /// host makes it look younger than it is. A topic never moves back, so an answer from behind only shows that
    /// there was nothing newer to ask for.
    pub fn take<C>(self, answer: Reading<C>, now: Moment, limit: Duration) -> Option<Taken<C>> {
        let taken = if answer.next >= self.from {
            Taken {
                next: answer.next,
                at: self.sent.saturating_sub(answer.age),
                changes: answer.changes,
            }
        } else {
            Taken {
                next: self.from,
                at: self.sent.saturating_sub(self.age),
                changes: vec![],
            }
        };
        (now.saturating_sub(taken.at) <= limit).then_some(taken)
    }
}

impl<C: Clone> Journal<C> {
    /// A journal without a reading.
    pub fn new() -> Self {
        Self {
            batches: VecDeque::new(),
            floor: 0,
            newest: None,
        }
    }

    /// Notes that the topic was known to end at `next` at the time `at`, and that earlier changes are not kept.
    pub fn restart(&mut self, next: u64, at: Moment) {
        self.batches.clear();
        self.floor = next;
        self.newest = Some((next, at));
    }

    /// Notes a reading that began where the one before ended.
    pub fn extend(&mut self, next: u64, changes: Vec<C>, at: Moment) {
        // A moment that lies before the known one would say that less is known than is.
        let at = self.newest.map_or(at, |(_, known)| known.max(at));
        self.newest = Some((next, at));
        if !changes.is_empty() {
            self.batches.push_back(Batch { next, changes });
        }
        while self.batches.iter().map(|it| it.changes.len()).sum::<usize>() > CAPACITY {
            if let Some(dropped) = self.batches.pop_front() {
                self.floor = dropped.next;
            }
        }
    }

    /// Offset behind the newest reading, and its age.
    pub fn newest(&self, now: Moment) -> Option<(u64, Duration)> {
        self.newest.map(|(next, at)| (next, now.saturating_sub(at)))
    }

    /// What lies behind `from`; `None` if that is not known in full. A node that asks for more than is known gets the
    /// offset up to which it is.
    ///
    /// Changes of a reading that began before `from` are passed on as a whole: applied in their order, they end in
    /// the same state.
    pub fn since(&self, from: u64, now: Moment) -> Option<Reading<C>> {
        let (next, age) = self.newest(now)?;
        if from < self.floor {
            return None;
        }
        let batches = self.batches.iter().filter(|it| it.next > from);
        Some(Reading {
            next,
            age,
            changes: batches.flat_map(|it| it.changes.iter().cloned()).collect(),
        })
    }
}

impl<C: Clone> Default for Journal<C> {
    fn default() -> Self {
        Self::new()
    }
}
