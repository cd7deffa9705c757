//! Index of cached prompt prefixes, built from cache events that come late and with gaps.
//!
//! A prompt is a chain of block hashes in which each hash covers the whole prefix. The index maps a block to the
//! engines that hold it. A gap in an engine's sequence drops all that is known about that engine, because an unseen
//! eviction would otherwise attract requests for ever. Entries carry the engine's epoch, so a drop is a single
//! increment.

use std::collections::VecDeque;

use crate::fault::{Fault, fault};
use crate::id_map::IdMap;

#[cfg(test)]
mod tests;

/// Position of an engine in the pool's table.
pub type Slot = usize;

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// An event of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Position in the engine's sequence.
    pub sequence: u64,
    /// Hash of the block.
    pub block: u64,
    /// What happened.
    pub change: Change,
}

/// Which engines hold which blocks.
#[derive(Debug, Clone)]
pub struct Index {
    holders: IdMap<Holders>,
    engines: Vec<Engine>,
    order: VecDeque<u64>,
    bound: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    slot: u32,
    epoch: u32,
}

/// Latest holders of a block, the oldest replaced first. A block that more engines hold, such as a prompt shared by an
/// organisation, gives no preference worth tracking. Kept inline, because an allocation for each block took a third of
/// the time of a dispatch.
#[derive(Debug, Clone, Copy)]
struct Holders {
    all: [Holder; Self::MOST],
    len: u8,
    oldest: u8,
}

impl Holders {
    const MOST: usize = 4;

    fn one(holder: Holder) -> Self {
        Self {
            all: [holder; Self::MOST],
            len: 1,
            oldest: 0,
        }
    }

    fn as_slice(&self) -> &[Holder] {
        &self.all[..usize::from(self.len)]
    }

    fn insert(&mut self, holder: Holder) {
        let len = usize::from(self.len);
        if let Some(known) = self.all[..len].iter_mut().find(|it| it.slot == holder.slot) {
            *known = holder;
        } else if len < Self::MOST {
            self.all[len] = holder;
            self.len += 1;
        } else {
            self.all[usize::from(self.oldest)] = holder;
            self.oldest = (self.oldest + 1) % Self::MOST as u8;
        }
    }

    fn remove(&mut self, slot: Slot) {
        let Some(idx) = self.as_slice().iter().position(|it| it.slot as Slot == slot) else {
            return;
        };
        self.all.copy_within(idx + 1..usize::from(self.len), idx);
        self.len -= 1;
        self.oldest = 0;
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    next: Option<u64>,
    epoch: u32,
}

impl Index {
    /// Longest chain that is looked up; bounds the time of a decision.
    const MOST_BLOCKS: usize = 256;

    /// An empty index of at most `bound` blocks; the oldest entries are dropped beyond it.
    pub fn new(bound: usize) -> Self {
        Self {
            holders: IdMap::default(),
            engines: Vec::new(),
            order: VecDeque::new(),
            bound,
        }
    }

    /// Number of blocks in the index, dropped engines' ones included until they are found.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the index holds no block.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Takes events of one engine in the order of arrival.
    pub fn apply(&mut self, slot: Slot, events: &[Event]) {
        for event in events {
            let engine = self.engine(slot);
            match engine.next {
                // Repeated or overtaken events say nothing new.
                Some(next) if event.sequence < next => continue,
                Some(next) if event.sequence > next && !fault(Fault::KeepAfterGap) => engine.epoch += 1,
                _ => {}
            }
            engine.next = Some(event.sequence + 1);
            match event.change {
                Change::Stored => self.insert(slot, event.block),
                Change::Evicted => self.remove(slot, event.block),
            }
        }
    }

    /// Assumes that an engine will hold the blocks of a prompt that was just sent to it.
    pub fn expect(&mut self, slot: Slot, blocks: &[u64]) {
        let blocks = &blocks[..blocks.len().min(Self::MOST_BLOCKS)];
        let known = blocks.partition_point(|block| self.holders(*block).any(|it| it == slot));
        for block in &blocks[known..] {
            self.insert(slot, *block);
        }
    }

    /// Drops all that is known about an engine.
    pub fn drop_engine(&mut self, slot: Slot) {
        let engine = self.engine(slot);
        engine.epoch += 1;
        engine.next = None;
    }

    /// Engines with the longest known prefix of `blocks`, and the number of blocks that they hold.
    ///
    /// A chain is cached from its start, so the search for the longest held prefix halves the range at each step.
    pub fn longest(&self, blocks: &[u64]) -> (usize, impl Iterator<Item = Slot> + '_) {
        let blocks = &blocks[..blocks.len().min(Self::MOST_BLOCKS)];
        let held = blocks.partition_point(|block| self.holders(*block).next().is_some());
        let last = held.checked_sub(1).map(|idx| blocks[idx]);
        (held, last.into_iter().flat_map(|block| self.holders(block)))
    }

    fn holders(&self, block: u64) -> impl Iterator<Item = Slot> + '_ {
        let all = self
            .holders
            .get(&block)
            .map(Holders::as_slice)
            .unwrap_or_default();
        all.iter()
            .filter(|it| self.is_current(**it))
            .map(|it| it.slot as Slot)
    }

    fn is_current(&self, holder: Holder) -> bool {
        self.engines
            .get(holder.slot as Slot)
            .is_some_and(|it| it.epoch == holder.epoch)
    }

    fn engine(&mut self, slot: Slot) -> &mut Engine {
        if self.engines.len() <= slot {
            self.engines.resize(slot + 1, Engine::default());
        }
        &mut self.engines[slot]
    }

    fn insert(&mut self, slot: Slot, block: u64) {
        let epoch = self.engine(slot).epoch;
        let holder = Holder {
            slot: slot as u32,
            epoch,
        };
        if let Some(known) = self.holders.get_mut(&block) {
            known.insert(holder);
            return;
        }
        self.holders.insert(block, Holders::one(holder));
        self.order.push_back(block);
        while self.holders.len() > self.bound {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.holders.remove(&oldest);
        }
        // Blocks that were removed and stored again leave stale entries in the order.
        if self.order.len() > 2 * self.bound {
            let holders = &self.holders;
            self.order.retain(|it| holders.contains_key(it));
        }
    }

    fn remove(&mut self, slot: Slot, block: u64) {
        let Some(known) = self.holders.get_mut(&block) else {
            return;
        };
        known.remove(slot);
        if known.len == 0 {
            self.holders.remove(&block);
        }
    }
}
