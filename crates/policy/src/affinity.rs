//! Index of cached prompt prefixes, built from cache events that may be late or missing.
//!
//! A prompt is a chain of block hashes in which each hash covers the whole prefix up to its block. The index
//! maps a block to the engines that hold it. A gap in an engine's event sequence invalidates all entries of
//! that engine, because a missed eviction would otherwise attract requests indefinitely. Entries carry the
//! engine's epoch, so invalidation is a single increment.

use std::collections::VecDeque;

use crate::fault::{Fault, is_injected};
use crate::id_map::IdMap;

#[cfg(test)]
mod tests;

/// Index of an engine in the pool's table.
pub type Slot = usize;

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// An event from an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Sequence number, consecutive for each engine.
    pub sequence: u64,
    /// Hash of the block.
    pub block: u64,
    /// Kind of change.
    pub change: Change,
}

/// Index from cached blocks to the engines that hold them.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    by_block: IdMap<Holders>,
    engines: Vec<EngineState>,
    insertion_order: VecDeque<u64>,
    capacity: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    slot: u32,
    epoch: u32,
}

/// Latest engines known to hold a block; the oldest one is replaced first. A block held by more engines, such
/// as a prompt shared by an organisation, gives no preference worth tracking. Stored inline because an
/// allocation for each block took a third of the dispatch time.
#[derive(Debug, Clone, Copy)]
struct Holders {
    entries: [Holder; Self::MAX],
    len: u8,
    oldest: u8,
}

impl Holders {
    const MAX: usize = 4;

    fn new(holder: Holder) -> Self {
        Self {
            entries: [holder; Self::MAX],
            len: 1,
            oldest: 0,
        }
    }

    fn as_slice(&self) -> &[Holder] {
        &self.entries[..usize::from(self.len)]
    }

    fn insert(&mut self, holder: Holder) {
        let len = usize::from(self.len);
        if let Some(known) = self.entries[..len].iter_mut().find(|it| it.slot == holder.slot) {
            *known = holder;
        } else if len < Self::MAX {
            self.entries[len] = holder;
            self.len += 1;
        } else {
            self.entries[usize::from(self.oldest)] = holder;
            self.oldest = (self.oldest + 1) % Self::MAX as u8;
        }
    }

    fn remove(&mut self, slot: Slot) {
        let Some(idx) = self.as_slice().iter().position(|it| it.slot as Slot == slot) else {
            return;
        };
        self.entries.copy_within(idx + 1..usize::from(self.len), idx);
        self.len -= 1;
        self.oldest = 0;
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct EngineState {
    next_sequence: Option<u64>,
    epoch: u32,
}

impl PrefixIndex {
    /// Maximum number of blocks looked up for a prompt; bounds the time of a dispatch decision.
    const MAX_BLOCKS: usize = 256;

    /// Creates an empty index of at most `capacity` blocks; beyond that the oldest blocks are removed.
    pub fn new(capacity: usize) -> Self {
        Self {
            by_block: IdMap::default(),
            engines: Vec::new(),
            insertion_order: VecDeque::new(),
            capacity,
        }
    }

    /// Number of blocks in the index, including those of invalidated engines that have not been removed yet.
    pub fn len(&self) -> usize {
        self.by_block.len()
    }

    /// Whether the index holds no block.
    pub fn is_empty(&self) -> bool {
        self.by_block.is_empty()
    }

    /// Applies events of one engine in the order of arrival.
    pub fn apply(&mut self, slot: Slot, events: &[Event]) {
        for event in events {
            let engine = self.engine(slot);
            match engine.next_sequence {
                // A repeated or reordered event carries no new information.
                Some(next) if event.sequence < next => continue,
                Some(next) if event.sequence > next && !is_injected(Fault::KeepAfterGap) => engine.epoch += 1,
                _ => {}
            }
            engine.next_sequence = Some(event.sequence + 1);
            match event.change {
                Change::Stored => self.insert(slot, event.block),
                Change::Evicted => self.remove(slot, event.block),
            }
        }
    }

    /// Records that an engine will hold the blocks of a prompt that was just sent to it.
    pub fn assume_stored(&mut self, slot: Slot, blocks: &[u64]) {
        let blocks = &blocks[..blocks.len().min(Self::MAX_BLOCKS)];
        let known = blocks.partition_point(|block| self.holders(*block).any(|it| it == slot));
        for block in &blocks[known..] {
            self.insert(slot, *block);
        }
    }

    /// Invalidates all entries of an engine.
    pub fn drop_engine(&mut self, slot: Slot) {
        let engine = self.engine(slot);
        engine.epoch += 1;
        engine.next_sequence = None;
    }

    /// Returns the length of the longest known prefix of `blocks` in blocks, and the engines that hold it.
    ///
    /// A chain is cached from its start, so a binary search finds the end of the longest prefix.
    pub fn longest_prefix(&self, blocks: &[u64]) -> (usize, impl Iterator<Item = Slot> + '_) {
        let blocks = &blocks[..blocks.len().min(Self::MAX_BLOCKS)];
        let held = blocks.partition_point(|block| self.holders(*block).next().is_some());
        let last = held.checked_sub(1).map(|idx| blocks[idx]);
        (held, last.into_iter().flat_map(|block| self.holders(block)))
    }

    fn holders(&self, block: u64) -> impl Iterator<Item = Slot> + '_ {
        let all = self
            .by_block
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

    fn engine(&mut self, slot: Slot) -> &mut EngineState {
        if self.engines.len() <= slot {
            self.engines.resize(slot + 1, EngineState::default());
        }
        &mut self.engines[slot]
    }

    fn insert(&mut self, slot: Slot, block: u64) {
        let epoch = self.engine(slot).epoch;
        let holder = Holder {
            slot: slot as u32,
            epoch,
        };
        if let Some(known) = self.by_block.get_mut(&block) {
            known.insert(holder);
            return;
        }
        self.by_block.insert(block, Holders::new(holder));
        self.insertion_order.push_back(block);
        while self.by_block.len() > self.capacity {
            let Some(oldest) = self.insertion_order.pop_front() else {
                break;
            };
            self.by_block.remove(&oldest);
        }
        // A block that was removed and stored again leaves a stale entry in the insertion order.
        if self.insertion_order.len() > 2 * self.capacity {
            let by_block = &self.by_block;
            self.insertion_order.retain(|it| by_block.contains_key(it));
        }
    }

    fn remove(&mut self, slot: Slot, block: u64) {
        let Some(known) = self.by_block.get_mut(&block) else {
            return;
        };
        known.remove(slot);
        if known.len == 0 {
            self.by_block.remove(&block);
        }
    }
}
