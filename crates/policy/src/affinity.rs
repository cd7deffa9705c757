//! Index of cached prompt prefixes, built from cache events that come late and with gaps.
//!
//! A prompt is a chain of block hashes in which each hash covers the whole prefix. The index maps a block to the
//! engines that hold it. A gap in an engine's sequence drops all that is known about that engine, because an unseen
//! eviction would otherwise attract requests for ever. Entries carry the engine's epoch, so a drop is a single
//! increment.

use std::collections::{HashMap, VecDeque};

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
    holders: HashMap<u64, Vec<Holder>>,
    engines: Vec<Engine>,
    order: VecDeque<u64>,
    bound: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    slot: u32,
    epoch: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    next: Option<u64>,
    epoch: u32,
}

impl Index {
    /// Holders remembered for one block; a block that more engines hold gives no preference worth tracking.
    const MOST_HOLDERS: usize = 8;

    /// Longest chain that is looked up; bounds the time of a decision.
    const MOST_BLOCKS: usize = 256;

    /// An empty index of at most `bound` blocks; the oldest entries are dropped beyond it.
    pub fn new(bound: usize) -> Self {
        Self {
            holders: HashMap::new(),
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
                Some(next) if event.sequence > next => engine.epoch += 1,
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
        for block in blocks.iter().take(Self::MOST_BLOCKS) {
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
        let all = self.holders.get(&block).map(Vec::as_slice).unwrap_or_default();
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
            known.retain(|it| it.slot != holder.slot);
            if known.len() == Self::MOST_HOLDERS {
                known.remove(0);
            }
            known.push(holder);
            return;
        }
        self.holders.insert(block, vec![holder]);
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
        known.retain(|it| it.slot as Slot != slot);
        if known.is_empty() {
            self.holders.remove(&block);
        }
    }
}
