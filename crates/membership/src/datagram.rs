//! Datagrams between members.

use model::Host;

use crate::Member;

/// What a datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same sequence number.
    Ping {
        /// Chosen by the sender.
        sequence: u64,
    },
    /// Asks the receiver to ping a host and to pass the acknowledgement on.
    PingRequest {
        /// Sequence number of the acknowledgement to pass on.
        sequence: u64,
        /// Host to ping.
        target: Host,
    },
    /// Answers a ping; if it is passed on, the first update is the member that answered.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
    },
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// What it asks or answers.
    pub body: Body,
    /// What the sender says about itself.
    pub from: Member,
    /// News about other members.
    pub updates: Vec<Member>,
}
