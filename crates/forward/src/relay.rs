//! Changes read from the platform's store that nodes pass on to each other.
//!
//! Each topic is read from the store by a few nodes only. The others query one of these readers, which
//! replies from its [`Journal`], so the number of calls to the store does not grow with the number of nodes.
//! Any node may be queried: the age of the reply decides whether it can be used, and the querying node reads
//! the store itself if it cannot.

use std::collections::VecDeque;
use std::time::Duration;

use crate::BootTime;

/// Nodes that read each topic from the store; the second one covers the loss of the first.
pub const READERS_PER_TOPIC: usize = 2;

/// Maximum number of changes in a journal: enough for a few restarts of all engines of a large service. A
/// node that needs older changes reads the store.
const JOURNAL_CAPACITY: usize = 512;

/// Changes of one read.
#[derive(Debug, Clone)]
struct Batch<C> {
    /// Offset after the last record of the read.
    next_offset: u64,
    changes: Vec<C>,
}

/// Recent changes of one topic that a node can pass on.
#[derive(Debug, Clone)]
pub struct Journal<C> {
    batches: VecDeque<Batch<C>>,
    /// Offset from which on no change is missing.
    first_offset: u64,
    /// Offset after the newest read, and the latest time at which the topic was known to end there.
    newest: Option<(u64, BootTime)>,
}

/// Reply to a node that knows a topic up to some offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalReply<C> {
    /// Offset up to which the topic is known after the changes.
    pub next_offset: u64,
    /// Time since the topic was known to end at that offset.
    pub age: Duration,
    /// Changes in the order in which they apply.
    pub changes: Vec<C>,
}

/// A reply that the querying node can apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedReply<C> {
    /// Offset up to which the topic is known after the changes.
    pub next_offset: u64,
    /// When the topic was known to end at that offset, on the clock of the querying node.
    pub current_at: BootTime,
    /// Changes in the order in which they apply.
    pub changes: Vec<C>,
}

/// A query sent to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// Offset up to which the querying node knows the topic.
    pub from_offset: u64,
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
    /// moves backwards, so a reply that ends before the offset of the query only shows that the reader had
    /// nothing newer.
    pub fn accept<C>(
        self,
        reply: JournalReply<C>,
        now: BootTime,
        max_age: Duration,
    ) -> Option<AcceptedReply<C>> {
        let accepted = if reply.next_offset >= self.from_offset {
            AcceptedReply {
                next_offset: reply.next_offset,
                current_at: self.sent_at.saturating_sub(reply.age),
                changes: reply.changes,
            }
        } else {
            AcceptedReply {
                next_offset: self.from_offset,
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
            first_offset: 0,
            newest: None,
        }
    }

    /// Drops all changes and records that the topic was known to end at `next_offset` at the time `at`.
    pub fn reset(&mut self, next_offset: u64, at: BootTime) {
        self.batches.clear();
        self.first_offset = next_offset;
        self.newest = Some((next_offset, at));
    }

    /// Records a read that began where the previous one ended.
    pub fn extend(&mut self, next_offset: u64, changes: Vec<C>, at: BootTime) {
        // An earlier time than the recorded one would understate how current the journal is.
        let at = self.newest.map_or(at, |(_, known)| known.max(at));
        self.newest = Some((next_offset, at));
        if !changes.is_empty() {
            self.batches.push_back(Batch { next_offset, changes });
        }
        while self.batches.iter().map(|it| it.changes.len()).sum::<usize>() > JOURNAL_CAPACITY {
            if let Some(dropped) = self.batches.pop_front() {
                self.first_offset = dropped.next_offset;
            }
        }
    }

    /// Offset after the newest read, and its age.
    pub fn newest(&self, now: BootTime) -> Option<(u64, Duration)> {
        self.newest
            .map(|(next_offset, at)| (next_offset, now.saturating_sub(at)))
    }

    /// Changes from `from_offset` on; `None` if some of them are missing. For an offset after the newest
    /// read, the reply has no changes and the offset of that read.
    ///
    /// A read that began before `from_offset` is returned as a whole: applied in order, its changes lead to
    /// the same state.
    pub fn since(&self, from_offset: u64, now: BootTime) -> Option<JournalReply<C>> {
        let (next_offset, age) = self.newest(now)?;
        if from_offset < self.first_offset {
            return None;
        }
        let batches = self.batches.iter().filter(|it| it.next_offset > from_offset);
        Some(JournalReply {
            next_offset,
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
