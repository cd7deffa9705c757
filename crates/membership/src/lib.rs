//! Which nodes of the fleet are alive, and whom to send callers, copies and trial traffic to.
//!
//! [`Table`] is a state machine in the manner of SWIM without I/O: [`Table::handle`] takes an [`Event`] and returns
//! [`Action`]s. Once a probe interval it pings one member; without an acknowledgement it asks other members to ping
//! it, then suspects it, and declares it dead unless it refutes the suspicion in time. News travels piggybacked on
//! these datagrams, a bounded number in each, so the cost of a node does not depend on the size of the fleet.
//!
//! Members are identified by the incarnation of their process. A restarted host is a new member, and the old one is
//! declared dead as soon as the new process answers at its address. A wrong declaration of death only takes the
//! member out of the choices of this crate until it refutes it; no other state depends on it.
//!
//! `now` is the time on the node's monotonic clock since an arbitrary start.

pub mod answer;
pub mod choice;
pub mod datagram;
pub mod member;
pub mod settings;
pub mod table;

mod gossip;
mod probe;
mod ring;
mod seeds;

pub use answer::Answer;
pub use datagram::{Body, Datagram};
pub use member::{Addresses, Member, Readiness, State, Version};
pub use seeds::{Listed, Seed};
pub use settings::Settings;
pub use table::{Action, Event, Status, Table};
