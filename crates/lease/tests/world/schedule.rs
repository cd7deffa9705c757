//! Random schedules of faults.

use proptest::prelude::*;

/// Faults of one run.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub faults: Vec<Fault>,
}

/// Fault with its start and length in milliseconds.
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
    Outage,
    /// Appends are lost or take effect late, without a reply.
    LateAppends,
    /// The process is paused.
    Pause,
    /// The process is replaced at the start of the fault.
    Replace,
    /// The node believes that it should hold the lease.
    Split,
    /// Orders take up to 30 s, as when a process is paused between the check of its lease and the send.
    LateOrders,
    /// The clock of the log service jumps ahead at the start of the fault.
    ClockStep,
    /// The log drops all its records at the start of the fault.
    Retention,
}

impl Kind {
    pub const ALL: [Self; 8] = [
        Self::Outage,
        Self::LateAppends,
        Self::Pause,
        Self::Replace,
        Self::Split,
        Self::LateOrders,
        Self::ClockStep,
        Self::Retention,
    ];
}

pub fn schedules() -> impl Strategy<Value = Schedule> {
    let fault = (
        0..70_000_u64,
        500..25_000_u64,
        0..3_usize,
        prop::sample::select(&Kind::ALL[..]),
    );
    let fault = fault.prop_map(|(start, length, node, kind)| Fault {
        start,
        length,
        node,
        kind,
    });
    let faults = prop::collection::vec(fault, 0..10);
    (any::<u64>(), 1..4_usize, faults).prop_map(|(seed, nodes, faults)| Schedule { seed, nodes, faults })
}
