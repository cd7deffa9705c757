//! How much of what it knows a node passes on to others, and whom it names instead.
//!
//! All nodes lack the same changes at the same time, and ask the few nodes that have them. Together, the replies to a large
//! fleet are more than a link carries while the nodes wait, and then most are lost or late, for nothing. A node passes on
//! what its link carries in time. To the others it names nodes that it has passed the changes on to, which do the same.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::BootTime;
use crate::relay::Position;

/// Who passes changes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source<A> {
    /// This node.
    Own,
    /// Another node, that has got them from this one.
    Other(A),
    /// No node that this one knows of.
    None,
}

/// What a node passes on of all topics; `T` names a topic, and `A` is the address of a node.
#[derive(Debug)]
pub struct Uplink<T, A> {
    bytes_per_second: f64,
    /// Bytes that may be passed on now. It becomes negative, as changes are passed on as a whole.
    balance: f64,
    updated_at: BootTime,
    /// The newest position of each topic that was passed on, and who has got it.
    holders: BTreeMap<T, (Position, VecDeque<A>)>,
}

impl<T: Ord, A: Clone + PartialEq> Uplink<T, A> {
    /// Share of the link for changes; the rest is for callers and engines.
    const SHARE: f64 = 0.25;

    /// Time of the whole link that may be used at once: half of the timeout of a reply.
    const BURST: Duration = Duration::from_millis(60);

    /// Maximum number of nodes that are named.
    const MAX_HOLDERS: usize = 32;

    /// A node whose link carries so many bytes a second.
    pub fn new(bytes_per_second: f64, now: BootTime) -> Self {
        Self {
            bytes_per_second,
            balance: bytes_per_second * Self::BURST.as_secs_f64(),
            updated_at: now,
            holders: BTreeMap::new(),
        }
    }

    /// Decides who passes `size` bytes of changes of a topic up to the position `next` on to the node `to`.
    pub fn assign(&mut self, topic: T, to: &A, next: Position, size: usize, now: BootTime) -> Source<A> {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let max = self.bytes_per_second * Self::BURST.as_secs_f64();
        self.balance = (self.balance + elapsed * self.bytes_per_second * Self::SHARE).min(max);
        if size == 0 {
            return Source::Own;
        }
        let newest = self
            .holders
            .entry(topic)
            .or_insert_with(|| (next, VecDeque::new()));
        if newest.0 != next {
            *newest = (next, VecDeque::new());
        }
        let holders = &mut newest.1;
        if self.balance > 0.0 {
            self.balance -= size as f64;
            if holders.len() < Self::MAX_HOLDERS && !holders.contains(to) {
                holders.push_back(to.clone());
            }
            return Source::Own;
        }
        let Some(index) = holders.iter().position(|it| it != to) else {
            return Source::None;
        };
        holders.rotate_left(index + 1);
        holders
            .back()
            .map_or(Source::None, |it| Source::Other(it.clone()))
    }
}
