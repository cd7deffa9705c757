//! Changes read from the platform's store that nodes pass on to each other.
//!
//! Each topic is read from the store by a few nodes only. The others query one of these readers, which
//! replies from its [`Journal`], so the number of calls to the store does not grow with the number of nodes.
//! Any node may be queried: the age of the reply decides whether it can be used, and the querying node reads
//! the store itself if it cannot.
//!
//! A store that came back from an older copy has lost its newest records and assigns their offsets again. Such a
//! history has a higher era, and a [`Position`] names both, so that nodes in different eras do not mix them up.

use std::collections::VecDeque;
use std::time::Duration;

use crate::BootTime;

/// Nodes that read each topic from the store; the second one covers the loss of the first.
pub const READERS_PER_TOPIC: usize = 2;

/// Maximum number of changes in a journal: enough for a few restarts of all engines of a large service. A
/// node that needs older changes reads the store.
const JOURNAL_CAPACITY: usize = 512;

/// A place in a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Position {
    /// Rises each time that the store comes back from an older copy.
    pub era: u64,
    /// Number of records before it in the history of that era.
    pub offset: u64,
}

/// Changes of one read.
#[derive(Debug, Clone)]
struct Batch<C> {
    /// Position after the last record of the read.
    next: Position,
    changes: Vec<C>,
    /// Position from which on the changes lead to the state after the read, if they don't from positions in between.
    only_from: Option<Position>,
}

/// Recent changes of one topic that a node can pass on.
#[derive(Debug, Clone)]
pub struct Journal<C> {
    batches: VecDeque<Batch<C>>,
    /// Position from which on no change is missing.
    first: Position,
    /// Position after the newest read, and the latest time at which the topic was known to end there.
    newest: Option<(Position, BootTime)>,
}

/// Reply to a node that knows a topic up to some offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalReply<C> {
    /// Position up to which the topic is known after the changes.
    pub next: Position,
    /// Time since the topic was known to end at that position.
    pub age: Duration,
    /// Changes in the order in which they apply.
    pub changes: Vec<C>,
}

/// A reply that the querying node can apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedReply<C> {
    /// Position up to which the topic is known after the changes.
    pub next: Position,
    /// When the topic was known to end at that position, on the clock of the querying node.
    pub current_at: BootTime,
    /// Changes in the order in which they apply.
    pub changes: Vec<C>,
}

/// A query sent to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// Position up to which the querying node knows the topic.
    pub from: Position,
    /// Age of that knowledge when the query was sent.
    pub age: Duration,
    /// When the query was sent.
    pub sent_at: BootTime,
}

impl Query {
    /// What can be applied of a reply that arrived by `now`; `None` if it is older than `max_age`.
    ///
    /// The age of the reply is counted from the time of the query. The reply was made later, so neither a
    /// delayed datagram nor a suspended host makes it look more recent than it is. The end of a topic never
    /// moves backwards within an era, so a reply that ends before the position of the query only shows that the reader had
    /// nothing newer.
    pub fn accept<C>(
        self,
        reply: JournalReply<C>,
        now: BootTime,
        max_age: Duration,
    ) -> Option<AcceptedReply<C>> {
        let accepted = if reply.next >= self.from {
            AcceptedReply {
                next: reply.next,
                current_at: self.sent_at.saturating_sub(reply.age),
                changes: reply.changes,
            }
        } else {
            AcceptedReply {
                next: self.from,
                current_at: self.sent_at.saturating_sub(self.age),
                changes: vec![],
            }
        };
        (now.saturating_sub(accepted.current_at) <= max_age).then_some(accepted)
    }
}

impl<C: Clone> Journal<C> {
    /// A journal without a read.
    pub fn new() -> Self {
        Self {
            batches: VecDeque::new(),
            first: Position::default(),
            newest: None,
        }
    }

    /// Drops all changes and records that the topic was known to end at `next` at the time `at`.
    pub fn reset(&mut self, next: Position, at: BootTime) {
        self.batches.clear();
        self.first = next;
        self.newest = Some((next, at));
    }

    /// Records a read that began where the previous one ended.
    pub fn extend(&mut self, next: Position, changes: Vec<C>, at: BootTime) {
        self.push(next, changes, None, at);
    }

    /// Records a read of the whole topic, by what differs from the state after the previous read.
    ///
    /// A change that was made and undone in between is not among the differences, so they are no reply for positions in
    /// between.
    pub fn extend_by_difference(&mut self, next: Position, changes: Vec<C>, at: BootTime) {
        let only_from = self.newest.map(|it| it.0);
        self.push(next, changes, only_from, at);
    }

    fn push(&mut self, next: Position, changes: Vec<C>, only_from: Option<Position>, at: BootTime) {
        // An earlier time than the recorded one would understate how current the journal is.
        let at = self.newest.map_or(at, |(_, known)| known.max(at));
        self.newest = Some((next, at));
        if !changes.is_empty() || only_from.is_some_and(|it| it < next) {
            self.batches.push_back(Batch {
                next,
                changes,
                only_from,
            });
        }
        let weigh = |it: &Batch<C>| it.changes.len().max(1);
        while self.batches.iter().map(weigh).sum::<usize>() > JOURNAL_CAPACITY {
            if let Some(dropped) = self.batches.pop_front() {
                self.first = dropped.next;
            }
        }
    }

    /// Drops the oldest changes until the rest weighs at most `max`.
    pub fn shrink(&mut self, max: usize, weight: impl Fn(&C) -> usize) {
        let weigh = |it: &Batch<C>| it.changes.iter().map(&weight).sum::<usize>();
        let mut total: usize = self.batches.iter().map(weigh).sum();
        while total > max {
            let Some(dropped) = self.batches.pop_front() else {
                return;
            };
            total -= weigh(&dropped);
            self.first = dropped.next;
        }
    }

    /// Position after the newest read, and its age.
    pub fn newest(&self, now: BootTime) -> Option<(Position, Duration)> {
        self.newest.map(|(next, at)| (next, now.saturating_sub(at)))
    }

    /// The first change after `from`; `None` if it is missing or there is none.
    pub fn first_after(&self, from: Position) -> Option<&C> {
        let batch = self.batches.iter().find(|it| it.next > from);
        batch.filter(|_| self.first <= from)?.changes.first()
    }

    /// Changes from `from` on; `None` if some of them are missing. For a position after the newest
    /// read, the reply has no changes and the position of that read.
    ///
    /// A read that began before `from` is returned as a whole: applied in order, its changes lead to
    /// the same state.
    pub fn since(&self, from: Position, now: BootTime) -> Option<JournalReply<C>> {
        let (next, age) = self.newest(now)?;
        let is_between = |it: &Batch<C>| it.only_from.is_some_and(|first| first < from && from < it.next);
        if from < self.first || self.batches.iter().any(is_between) {
            return None;
        }
        let batches = self.batches.iter().filter(|it| it.next > from);
        Some(JournalReply {
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
