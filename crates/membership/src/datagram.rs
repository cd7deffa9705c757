//! Datagrams exchanged between members.

use model::Host;

use crate::Member;

/// Request or response in a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Requests an [`Body::Ack`] with the same sequence number.
    Ping {
        /// Chosen by the sender.
        sequence: u64,
    },
    /// Indirect probe: asks the receiver to ping a host and to forward the acknowledgement.
    PingRequest {
        /// Sequence number for the forwarded acknowledgement.
        sequence: u64,
        /// Host to ping.
        target: Host,
    },
    /// Acknowledges a ping. In a forwarded acknowledgement the first update is the member that answered.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
    },
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Request or response.
    pub body: Body,
    /// The sender's own record.
    pub from: Member,
    /// Piggybacked records of other members.
    pub updates: Vec<Member>,
}
