//! Events of the simulation.

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival { is_fatal: bool },
    Repeat { flight: u64 },
    Tick(usize),
    Tell(usize),
    Deliver { to: usize, started: u32, message: usize },
    Progress { flight: u64 },
    End { flight: u64 },
    EngineEnds(usize),
    EngineStarts(usize),
    NodeStops(usize),
    NodeStarts(usize),
    EnginesEnd { count: usize },
}
