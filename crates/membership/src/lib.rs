//! Cluster membership and failure detection, and the selection of members for callers, copies and trial
//! traffic.
//!
//! [`Table`] is a SWIM-style state machine without I/O: [`Table::handle`] takes an [`Event`] and returns
//! [`Action`]s. Once per probe interval it pings one member. If no acknowledgement arrives, it asks other
//! members to ping the member (indirect probes), then suspects it, and declares it dead unless it refutes the
//! suspicion in time. Membership updates are piggybacked on these datagrams. Their number per datagram is
//! bounded, so the cost of a node does not depend on the size of the fleet.
//!
//! Members are identified by the incarnation of their process. A restarted host is a new member, and the old
//! one is declared dead as soon as a datagram of the new process arrives. A false declaration of death only
//! excludes the member from the selections of this crate until it refutes it; no other state depends on it.
//!
//! `now` is the time on the node's monotonic clock since an arbitrary origin.

pub mod choice;
pub mod datagram;
pub mod entries;
pub mod member;
pub mod settings;
pub mod table;

mod probe;
mod round_robin;
mod seeds;
mod update_queue;

pub use datagram::{Body, Datagram};
pub use entries::{Entry, EntryList};
pub use member::{Addresses, Member, Readiness, State, Version};
pub use seeds::{ListedState, Seed};
pub use settings::Settings;
pub use table::{Action, Event, Status, Table};
