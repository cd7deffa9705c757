//! Request streams.

use std::time::Duration;

use model::{Class, Name};
use rand::Rng;
use rand::rngs::SmallRng;

use super::engine::{BLOCK_TOKENS, PREFILL_WORK};

/// A request that arrives at a node.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// Node.
    pub node: usize,
    /// Index of the organisation.
    pub organisation: usize,
    /// Class.
    pub class: Class,
    /// Time from the arrival by which the answer must be complete.
    pub within: Duration,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer as the node expects them.
    pub expected: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Session for baselines that hash it.
    pub session: u64,
}

impl Arrival {
    /// Work at an engine without any cached prefix, in generated tokens.
    pub fn work(&self) -> f64 {
        f64::from(self.prompt) * PREFILL_WORK + f64::from(self.output)
    }
}

/// Name of an organisation.
pub fn organisation(idx: usize) -> Name {
    format!("org{idx}").into()
}

/// Kinds of requests: class, share, prompt tokens, mean answer tokens, time for the answer in seconds.
const MIX: [(Class, f64, u32, f64, u64); 3] = [
    (Class::Interactive, 0.4, 300, 40.0, 3),
    (Class::Standard, 0.4, 800, 200.0, 30),
    (Class::Batch, 0.2, 1500, 400.0, 120),
];

/// Mean work of a request of the mix.
pub fn mean_work() -> f64 {
    let work = |it: &(Class, f64, u32, f64, u64)| it.1 * (f64::from(it.2) * PREFILL_WORK + it.3);
    MIX.iter().map(work).sum()
}

/// A period with a constant rate.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Length.
    pub length: Duration,
    /// Requests each second of each organisation.
    pub rates: Vec<f64>,
}

/// Poisson arrivals of the mix over consecutive phases, spread evenly over the nodes.
pub fn mixed(phases: &[Phase], nodes: usize, rng: &mut SmallRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut start = Duration::ZERO;
    for phase in phases {
        let end = start + phase.length;
        let total: f64 = phase.rates.iter().sum();
        let mut at = start + exponential(1.0 / total, rng);
        while at < end {
            let organisation = weighted(&phase.rates, rng);
            arrivals.push(draw(at, organisation, nodes, rng));
            at += exponential(1.0 / total, rng);
        }
        start = end;
    }
    arrivals
}

/// One request of the mix.
pub fn draw(at: Duration, organisation: usize, nodes: usize, rng: &mut SmallRng) -> Arrival {
    let shares = MIX.map(|it| it.1);
    let (class, _, prompt, mean, within) = MIX[weighted(&shares, rng)];
    Arrival {
        at,
        node: rng.random_range(0..nodes),
        organisation,
        class,
        within: Duration::from_secs(within),
        prompt: (f64::from(prompt) * rng.random_range(0.5..1.5)) as u32,
        expected: mean as u32,
        output: (mean * rng.random_range(0.5..1.5)).max(1.0) as u32,
        blocks: Vec::new(),
        session: rng.random(),
    }
}

/// Conversations that grow with each turn and share the first part of the prompt within an organisation.
#[derive(Debug, Clone, Copy)]
pub struct Conversations {
    /// Sessions that start each second.
    pub rate: f64,
    /// Length of the run.
    pub length: Duration,
    /// Organisations.
    pub organisations: usize,
    /// Nodes; each turn arrives at any of them.
    pub nodes: usize,
}

/// Tokens of the prompt that all sessions of an organisation share.
const SHARED_TOKENS: u32 = 512;

/// Mean number of turns in a session.
const TURNS: f64 = 8.0;

/// Arrivals of conversations.
pub fn conversations(spec: Conversations, rng: &mut SmallRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut start = exponential(1.0 / spec.rate, rng);
    while start < spec.length {
        conversation(start, spec, rng, &mut arrivals);
        start += exponential(1.0 / spec.rate, rng);
    }
    arrivals.retain(|it| it.at < spec.length);
    arrivals.sort_by_key(|it| it.at);
    arrivals
}

fn conversation(start: Duration, spec: Conversations, rng: &mut SmallRng, out: &mut Vec<Arrival>) {
    let session: u64 = rng.random();
    let organisation = rng.random_range(0..spec.organisations);
    let mut prompt = SHARED_TOKENS + rng.random_range(100..600);
    let mut at = start;
    loop {
        let output = rng.random_range(80..200);
        out.push(Arrival {
            at,
            node: rng.random_range(0..spec.nodes),
            organisation,
            class: Class::Standard,
            within: Duration::from_secs(30),
            prompt,
            expected: 140,
            output,
            blocks: blocks(session, organisation, prompt),
            session,
        });
        if rng.random_bool(1.0 / TURNS) {
            return;
        }
        prompt += output + rng.random_range(30..200);
        // The user reads the answer, which takes some seconds, before the next turn.
        at += Duration::from_secs(8) + exponential(10.0, rng);
    }
}

fn blocks(session: u64, organisation: usize, prompt: u32) -> Vec<u64> {
    let shared = SHARED_TOKENS / BLOCK_TOKENS;
    let block = |idx: u32| {
        let owner = if idx < shared {
            organisation as u64
        } else {
            session
        };
        model::hash::stable(&[owner.to_le_bytes(), u64::from(idx).to_le_bytes()].concat())
    };
    (0..prompt / BLOCK_TOKENS).map(block).collect()
}

fn weighted(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    for (idx, weight) in weights.iter().enumerate() {
        if left < *weight {
            return idx;
        }
        left -= weight;
    }
    weights.len() - 1
}

fn exponential(mean: f64, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-mean * uniform.ln())
}
