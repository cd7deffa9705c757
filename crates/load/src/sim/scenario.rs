//! Input and results of a run.

use std::time::Duration;

use super::engine::{Fault, Spec};
use super::node::Strategy;
use super::traffic::Arrival;

/// A run of the model.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Engines.
    pub engines: usize,
    /// Nodes.
    pub nodes: usize,
    /// Size of the engines.
    pub spec: Spec,
    /// Router.
    pub strategy: Strategy,
    /// First concurrency limit of an engine for each node.
    pub concurrency: u32,
    /// Requests in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Faults with time and engine.
    pub faults: Vec<(Duration, usize, Fault)>,
    /// Share of cache event batches that are lost.
    pub lost_events: f64,
    /// Seed.
    pub seed: u64,
}

/// End of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Not ended by the end of the run.
    Open,
    /// Answered.
    Done(Duration),
    /// Refused on arrival.
    RefusedAtOnce,
    /// Refused later.
    RefusedLater,
}

/// What became of a request.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    /// End.
    pub end: End,
    /// Prompt tokens served from a cache.
    pub cached: u32,
    /// Attempts.
    pub attempts: u32,
}

/// Results of a run.
#[derive(Debug)]
pub struct Results {
    /// Requests as they arrived.
    pub arrivals: Vec<Arrival>,
    /// What became of them, in the same order.
    pub records: Vec<Record>,
    /// Concurrency limits of all nodes and engines, each second.
    pub limits: Vec<Vec<f64>>,
}
