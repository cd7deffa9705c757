//! Random schedules of faults and publications.

use proptest::prelude::*;

/// Events of one run.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub faults: Vec<Fault>,
    pub publications: Vec<Publication>,
}

/// A fault with its start and length in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub start: u64,
    pub length: u64,
    pub node: usize,
    pub kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// No node reaches the log.
    LogOutage,
    /// One node does not reach the log.
    LogUnreachable,
    /// One node does not reach the others.
    PeersUnreachable,
    /// Replies to appends are lost. The appends take effect, have no effect, or take effect late.
    LostReplies,
    /// Replies take up to two seconds and arrive out of order; some arrive twice and some are lost.
    SlowNetwork,
    /// Log reads may return an older end of the log.
    StaleReads,
    /// The process is paused.
    Pause,
    /// The process is killed, and replaced when the fault ends.
    Replace,
    /// The log removes records before a snapshot when the fault starts.
    Truncation,
}

impl Kind {
    pub const ALL: [Self; 9] = [
        Self::LogOutage,
        Self::LogUnreachable,
        Self::PeersUnreachable,
        Self::LostReplies,
        Self::SlowNetwork,
        Self::StaleReads,
        Self::Pause,
        Self::Replace,
        Self::Truncation,
    ];
}

/// An operator's change of one pool.
#[derive(Debug, Clone, Copy)]
pub struct Publication {
    pub start: u64,
    pub node: usize,
    pub pool: usize,
    /// Concurrency to set; zero is invalid.
    pub concurrency: u32,
}

pub fn schedules() -> impl Strategy<Value = Schedule> {
    let fault = (
        0..40_000_u64,
        500..15_000_u64,
        0..4_usize,
        prop::sample::select(&Kind::ALL[..]),
    );
    let fault = fault.prop_map(|(start, length, node, kind)| Fault {
        start,
        length,
        node,
        kind,
    });
    // Few pools and start times, so that many publications conflict.
    let publication = (0..80_u64, 0..4_usize, 0..3_usize, 0..6_u32);
    let publication = publication.prop_map(|(start, node, pool, concurrency)| Publication {
        start: start * 500,
        node,
        pool,
        concurrency,
    });
    let faults = prop::collection::vec(fault, 0..10);
    let publications = prop::collection::vec(publication, 1..25);
    (any::<u64>(), 1..5_usize, faults, publications).prop_map(|(seed, nodes, faults, publications)| {
        Schedule {
            seed,
            nodes,
            faults,
            publications,
        }
    })
}
