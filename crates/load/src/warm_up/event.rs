//! What happens in a trial.

use forward::BootTime;
use forward::directory;
use forward::warm_up::{Outcomes, Report};

use super::node::Issued;

/// Something that happens at a time. Numbers are those of a node and an engine.
#[derive(Debug)]
pub(super) enum Event {
    Request,
    Reports,
    Return(usize),
    Heartbeat(usize),
    Round(usize),
    Listed(usize, usize, directory::Engine),
    Notice(usize, Report),
    Outcomes(usize, usize, u64, Outcomes),
    /// A query of a node for an engine, and when it was asked.
    Query(usize, usize, BootTime, Report),
    Reply(usize, usize, BootTime, Issued, Option<Report>),
    NoReply(usize, usize),
    /// A request with a permit goes to an engine.
    Send(usize, usize),
    /// A response begins, or is found lost, of a request that was sent at a time.
    Head(usize, usize, u64, BootTime),
}
