//! How often and how much a node sends.

use std::time::Duration;

use super::Report;

/// Bytes of a message beside the reports: the kind of the datagram, and the key and length of each column.
const FRAME_BYTES: usize = 1 + 5 * 3;

/// Bytes of the headers of a datagram below its content.
pub const HEADER_BYTES: usize = 28;

/// Bytes of a message, without the headers below it.
pub fn message_bytes(reports: &[Report]) -> usize {
    FRAME_BYTES + reports.iter().map(Report::encoded_bytes).sum::<usize>()
}

/// Times and sizes of a node's messages, by the number of nodes in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Mean time between two messages.
    pub interval: Duration,
    /// Nodes that a message is sent to.
    pub receivers: usize,
    /// Maximum size of the reports in a message.
    pub report_bytes: usize,
}

impl Pace {
    /// Mean time between two messages; a report needs several to reach all nodes.
    const INTERVAL: Duration = Duration::from_millis(100);

    /// Maximum bytes that a node and all nodes together send in a second, with the headers of the datagrams. With 90
    /// engines, a node hears of each about nine times a second at the former; the latter is 2.9 KB a node at 340 nodes.
    const NODE_BYTES: usize = 8_500;
    const FLEET_BYTES: usize = 1_000_000;

    /// Nodes that a message is sent to. Reports reach all nodes in fewer rounds with the greater number, if the messages
    /// are large enough for it.
    const MAX_RECEIVERS: usize = 3;
    const MIN_RECEIVERS: usize = 2;

    /// Size of the reports in a message below which the headers would be most of it, so that messages become rarer
    /// instead.
    const MIN_REPORT_BYTES: usize = 100;

    /// The pace of each of `nodes` nodes.
    pub fn of(nodes: usize) -> Self {
        let bytes_per_second = Self::NODE_BYTES.min(Self::FLEET_BYTES / nodes.max(1)).max(1) as f64;
        let bytes = (Self::INTERVAL.as_secs_f64() * bytes_per_second) as usize;
        let min_size = Self::MIN_REPORT_BYTES + FRAME_BYTES + HEADER_BYTES;
        let receivers = match bytes / Self::MAX_RECEIVERS >= min_size {
            true => Self::MAX_RECEIVERS,
            false => Self::MIN_RECEIVERS,
        };
        let size = (bytes / receivers).max(min_size);
        let interval = Duration::from_secs_f64((size * receivers) as f64 / bytes_per_second);
        Self {
            interval: interval.max(Self::INTERVAL),
            receivers,
            report_bytes: size - FRAME_BYTES - HEADER_BYTES,
        }
    }
}
