//! Changes read from the platform's store that nodes pass on to each other.
//!
//! Each topic is read from the store by a few nodes only. The others query one of these readers, which
//! replies from its [`Journal`], so the number of calls to the store does not grow with the number of nodes.
//! Any node may be queried: the age of the reply decides whether it can be used, and the querying node reads
//! the store itself if it cannot.
//!
//! A response of the store may hold only a part of the records, so a read counts as current only once the end that was
//! stated with it is reached. The [`Journal`] decides that for every topic.
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

/// How far a read of a topic got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Extent {
    /// Position after the last record of the read.
    pub next: Position,
    /// End of the topic that was stated with the records.
    pub end: Position,
    /// A time at which the topic had not grown beyond `end`; zero if none is known.
    pub at: BootTime,
}

impl Extent {
    /// A read that reached the end, at which the topic ended at the time `at`.
    pub fn to_end(end: Position, at: BootTime) -> Self {
        Self { next: end, end, at }
    }

    /// A read without records that asked the store to wait for some, and whose response arrived at `received_at`.
    ///
    /// After the whole wait the topic had not grown. If the response arrives earlier, it may have been made at any time
    /// since the request.
    pub fn without_records(
        end: Position,
        requested_at: BootTime,
        wait: Duration,
        received_at: BootTime,
    ) -> Self {
        let waited = match received_at.saturating_sub(requested_at) >= wait {
            true => wait,
            false => Duration::ZERO,
        };
        Self::to_end(end, requested_at + waited)
    }

    /// Whether the topic goes on behind the read.
    pub fn is_cut_off(self) -> bool {
        self.next < self.end
    }
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
    /// Position after the newest read, and the latest time at which the topic is known not to have grown beyond it.
    newest: Option<(Position, BootTime)>,
    /// An end of the topic behind the newest read, and a time at which the topic had not grown beyond that end.
    ///
    /// It is kept until it is reached, so that a topic that grows while it is read still counts as current at some time.
    next_end: Option<(Position, BootTime)>,
}

/// Reply to a node that knows a topic up to some offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalReply<C> {
    /// Position up to which the topic is known after the changes.
    pub next: Position,
    /// Time since the topic was last known not to have grown beyond that position.
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
            next_end: None,
        }
    }

    /// Drops all changes and records that the topic was known to end at `next` at the time `at`.
    pub fn reset(&mut self, next: Position, at: BootTime) {
        self.batches.clear();
        self.first = next;
        self.newest = Some((next, at));
        self.next_end = None;
    }

    /// Records a read that began where the previous one ended.
    pub fn extend(&mut self, read: Extent, changes: Vec<C>) {
        self.push(read, changes, None);
    }

    /// Records a read of the whole topic, by what differs from the state after the previous read.
    ///
    /// A change that was made and undone in between is not among the differences, so they are no reply for positions in
    /// between.
    pub fn extend_by_difference(&mut self, next: Position, changes: Vec<C>, at: BootTime) {
        let only_from = self.newest.map(|it| it.0);
        self.push(Extent::to_end(next, at), changes, only_from);
    }

    fn push(&mut self, read: Extent, changes: Vec<C>, only_from: Option<Position>) {
        let next = read.next;
        self.newest = Some((next, self.current_after(read)));
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

    /// The latest time at which the topic is known not to have grown beyond the end of a read.
    fn current_after(&mut self, read: Extent) -> BootTime {
        let reached = self.next_end.take_if(|it| it.0 <= read.next);
        // An earlier time than the recorded one would understate how current the journal is.
        let known = [self.newest, reached].into_iter().flatten().map(|it| it.1).max();
        let known = known.unwrap_or(BootTime::ZERO);
        if read.is_cut_off() {
            self.next_end.get_or_insert((read.end, read.at));
            return known;
        }
        known.max(read.at)
    }

    /// Whether another node's statement that the topic ended at `next` may be true. One of a build that counts
    /// reads that the store cut off as current (`!counts_to_end`) is not, if the topic is known to go on.
    pub fn is_credible(&self, next: Position, counts_to_end: bool) -> bool {
        counts_to_end || self.next_end.is_none_or(|it| it.0 <= next)
    }

    /// The latest time at which the topic is known not to have grown beyond the newest read; zero before the first one.
    pub fn current_at(&self) -> BootTime {
        self.newest.map_or(BootTime::ZERO, |it| it.1)
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
