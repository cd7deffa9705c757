//! Prefix cache with LRU eviction, and its events, which become visible with a delay and of which some are
//! lost.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::hash;
use serde::Serialize;

use super::{CHARS_PER_TOKEN, Options};

/// Number of prompt tokens in one block.
const BLOCK_TOKENS: usize = 16;

/// Maximum number of retained events.
const MAX_EVENTS: usize = 10_000;

/// Prefix cache of an engine.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    delay: Duration,
    loss_interval: u64,
    /// Blocks with the value of `uses` at their last use.
    blocks: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

/// A cache event as sent to clients.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Event {
    sequence: u64,
    block: u64,
    change: Change,
}

#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Stored,
    Evicted,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            capacity: options.cache_blocks,
            delay: options.cache_event_delay,
            loss_interval: options.cache_event_loss_interval,
            blocks: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Stores the blocks of a prompt and returns the length in tokens of the prefix that was already cached.
    pub(super) fn insert(&mut self, version: &str, prompt: &[u8], now: Instant) -> usize {
        let mut hash = hash::stable(version.as_bytes());
        let mut cached = 0;
        let mut prefix = true;
        for chunk in prompt.chunks_exact(BLOCK_TOKENS * CHARS_PER_TOKEN) {
            hash = hash::stable(&[&hash.to_be_bytes(), chunk].concat());
            self.uses += 1;
            let known = self.blocks.insert(hash, self.uses).is_some();
            prefix = prefix && known;
            if prefix {
                cached += BLOCK_TOKENS;
            }
            if !known {
                self.record(hash, Change::Stored, now);
            }
            self.evict(now);
        }
        cached
    }

    /// Visible events with a sequence number of at least `from`.
    pub(super) fn visible(&self, from: u64, now: Instant) -> Vec<Event> {
        let visible = self
            .events
            .iter()
            .filter(|it| it.0 <= now && it.1.sequence >= from);
        visible.map(|it| it.1).collect()
    }

    fn evict(&mut self, now: Instant) {
        while self.blocks.len() > self.capacity {
            let Some((&oldest, _)) = self.blocks.iter().min_by_key(|it| it.1) else {
                return;
            };
            self.blocks.remove(&oldest);
            self.record(oldest, Change::Evicted, now);
        }
    }

    fn record(&mut self, block: u64, change: Change, now: Instant) {
        let sequence = self.sequence;
        self.sequence += 1;
        // A lost event keeps its sequence number, so that clients can detect the gap.
        if self.loss_interval > 0 && self.sequence.is_multiple_of(self.loss_interval) {
            return;
        }
        let event = Event {
            sequence,
            block,
            change,
        };
        self.events.push_back((now + self.delay, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
