//! Random schedules of faults and publications.

use proptest::prelude::*;

/// What happens in one run.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub faults: Vec<Fault>,
    pub publications: Vec<Publication>,
}

/// A fault that lasts for a time; times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub start: u64,
    pub length: u64,
    pub node: usize,
    pub kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Nobody reaches the log.
    Outage,
    /// One node does not reach the log.
    LogCut,
    /// One node does not reach the others.
    PeerCut,
    /// Replies to appends are lost; the appends themselves take effect, are lost, or take effect late.
    LostReplies,
    /// Replies take up to two seconds, so that they arrive in another order, and some arrive twice.
    Slow,
    /// Reads return an older end of the log.
    OldTail,
    /// The process stands still.
    Pause,
    /// The process is killed and its host replaced at the end.
    Replace,
    /// The log drops records before a snapshot at the start.
    Retention,
}

impl Kind {
    pub const ALL: [Self; 9] = [
        Self::Outage,
        Self::LogCut,
        Self::PeerCut,
        Self::LostReplies,
        Self::Slow,
        Self::OldTail,
        Self::Pause,
        Self::Replace,
        Self::Retention,
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
