//! Model of one engine.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use policy::affinity::{Change, Event};
use policy::limit::Load;

/// Identity of an attempt over all nodes.
pub type Job = u64;

/// Prompt tokens in a cached block.
pub const BLOCK_TOKENS: u32 = 64;

/// Work of an uncached prompt token relative to a generated one; prefill runs about 100 times faster per token.
pub const PREFILL_WORK: f64 = 0.01;

/// Resolution of work: parts of a token.
const PARTS: f64 = 1e6;

/// Size and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    /// Time per token of an idle engine in seconds.
    pub step: f64,
    /// Added time per token for each request in the batch, in seconds.
    pub step_per_request: f64,
    /// Greatest batch.
    pub batch: usize,
    /// Tokens of running requests that fit into memory.
    pub memory: u32,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            step: 0.010,
            step_per_request: 0.000_25,
            batch: 64,
            memory: 80_000,
            cache_blocks: 1_000,
        }
    }
}

/// Fault of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Works.
    None,
    /// Works at a fraction of its speed.
    Slow(f64),
    /// Accepts requests and makes no progress.
    Silent,
    /// Refuses each request at once.
    Refusing,
    /// Accepts no connection.
    Lost,
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Identity.
    pub job: Job,
    /// Priority, 0 is the most urgent.
    pub priority: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens that will be generated.
    pub output: u32,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milestone {
    /// The first token is out.
    First,
    /// The answer is complete.
    Done,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    spec: Spec,
    /// Fault in effect.
    pub fault: Fault,
    /// Changes when the next milestone may have changed.
    pub version: u64,
    /// Cache events since they were last taken.
    pub events: Vec<Event>,
    waiting: [VecDeque<Work>; 4],
    running: HashMap<Job, Running>,
    milestones: BTreeSet<(u64, Job, Milestone)>,
    progress: u64,
    at: Duration,
    memory: u32,
    cache: Cache,
    sequence: u64,
}

#[derive(Debug)]
struct Running {
    tokens: u32,
    cached: u32,
    first: u64,
    done: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: Spec) -> Self {
        Self {
            spec,
            fault: Fault::None,
            version: 0,
            events: Vec::new(),
            waiting: Default::default(),
            running: HashMap::new(),
            milestones: BTreeSet::new(),
            progress: 0,
            at: Duration::ZERO,
            memory: 0,
            cache: Cache::default(),
            sequence: 0,
        }
    }

    /// Current load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.iter().map(|it| it.len() as u32).sum(),
        }
    }

    /// Identities of all requests at the engine.
    pub fn jobs(&self) -> Vec<Job> {
        let waiting = self.waiting.iter().flatten().map(|it| it.job);
        let mut jobs: Vec<Job> = self.running.keys().copied().chain(waiting).collect();
        jobs.sort_unstable();
        jobs
    }

    /// Adds a request.
    pub fn push(&mut self, work: Work, now: Duration) {
        self.advance(now);
        self.waiting[work.priority].push_back(work);
        self.fill();
    }

    /// Removes a request.
    pub fn cancel(&mut self, job: Job, now: Duration) {
        self.advance(now);
        for queue in &mut self.waiting {
            queue.retain(|it| it.job != job);
        }
        self.remove(job);
        self.fill();
    }

    /// Changes the fault in effect.
    pub fn set_fault(&mut self, fault: Fault, now: Duration) {
        self.advance(now);
        self.fault = fault;
        self.version += 1;
    }

    /// Time of the next milestone.
    pub fn next(&self) -> Option<Duration> {
        let (progress, _, _) = self.milestones.first()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let left = progress.saturating_sub(self.progress) as f64 / PARTS;
        // Rounded up, so that the milestone is reached when the time comes.
        Some(self.at + Duration::from_secs_f64(left / rate) + Duration::from_nanos(2_000))
    }

    /// Takes the milestones reached by `now`, with the cached prompt tokens of each request.
    pub fn reached(&mut self, now: Duration) -> Vec<(Job, Milestone, u32)> {
        self.advance(now);
        let mut reached = Vec::new();
        while let Some((progress, job, milestone)) = self.milestones.first().copied() {
            if progress > self.progress {
                break;
            }
            self.milestones.pop_first();
            let cached = self.running.get(&job).map_or(0, |it| it.cached);
            if milestone == Milestone::Done {
                self.remove(job);
            }
            reached.push((job, milestone, cached));
        }
        self.fill();
        reached
    }

    /// Tokens each second for each running request.
    fn rate(&self) -> f64 {
        let step = self.spec.step + self.spec.step_per_request * self.running.len() as f64;
        match self.fault {
            Fault::None | Fault::Refusing => 1.0 / step,
            Fault::Slow(factor) => factor / step,
            Fault::Silent | Fault::Lost => 0.0,
        }
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.progress += (passed * self.rate() * PARTS) as u64;
        self.at = self.at.max(now);
    }

    /// Moves waiting requests into the batch while they fit.
    fn fill(&mut self) {
        self.version += 1;
        while self.running.len() < self.spec.batch {
            let Some(queue) = self.waiting.iter_mut().find(|it| !it.is_empty()) else {
                return;
            };
            let tokens = queue[0].prompt + queue[0].output;
            if self.memory + tokens > self.spec.memory && !self.running.is_empty() {
                return;
            }
            let Some(work) = queue.pop_front() else { return };
            self.start(&work, tokens);
        }
    }

    fn start(&mut self, work: &Work, tokens: u32) {
        let cached = self.cached(&work.blocks) * BLOCK_TOKENS;
        let prefill = f64::from(work.prompt.saturating_sub(cached)) * PREFILL_WORK;
        let first = self.progress + ((prefill + 1.0) * PARTS) as u64;
        let done = first + (f64::from(work.output.max(1) - 1) * PARTS) as u64;
        self.memory += tokens;
        self.milestones.insert((first, work.job, Milestone::First));
        self.milestones.insert((done, work.job, Milestone::Done));
        let running = Running {
            tokens,
            cached,
            first,
            done,
        };
        self.running.insert(work.job, running);
    }

    /// Looks up and then stores the blocks of a prompt; returns how many were held.
    fn cached(&mut self, blocks: &[u64]) -> u32 {
        let held = blocks.iter().take_while(|it| self.cache.contains(**it)).count();
        for block in blocks {
            if self.cache.touch(*block) {
                self.publish(*block, Change::Stored);
            }
        }
        while self.cache.len() > self.spec.cache_blocks {
            let Some(block) = self.cache.evict() else { break };
            self.publish(block, Change::Evicted);
        }
        held as u32
    }

    fn publish(&mut self, block: u64, change: Change) {
        self.events.push(Event {
            sequence: self.sequence,
            block,
            change,
        });
        self.sequence += 1;
    }

    fn remove(&mut self, job: Job) {
        let Some(it) = self.running.remove(&job) else {
            return;
        };
        self.memory -= it.tokens;
        self.milestones.remove(&(it.first, job, Milestone::First));
        self.milestones.remove(&(it.done, job, Milestone::Done));
    }
}

/// Blocks in the order of their last use.
#[derive(Debug, Default)]
struct Cache {
    stamps: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    fn len(&self) -> usize {
        self.stamps.len()
    }

    fn contains(&self, block: u64) -> bool {
        self.stamps.contains_key(&block)
    }

    /// Marks a block as used; returns whether it is new.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        self.order.insert(self.clock, block);
        match self.stamps.insert(block, self.clock) {
            Some(old) => {
                self.order.remove(&old);
                false
            }
            None => true,
        }
    }

    fn evict(&mut self) -> Option<u64> {
        let (_, block) = self.order.pop_first()?;
        self.stamps.remove(&block);
        Some(block)
    }
}
