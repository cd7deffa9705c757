//! Entry node that forwards requests to the engines of a platform.
//!
//! The tasks of one small runtime pass events to the decision code in [`forward`], [`membership`] and
//! `policy`, and execute the results. The platform is accessed through a [`protocol::Protocol`]. A node
//! stores nothing itself: configuration, engines and releases are read from the platform's store, and other
//! nodes are found by gossip.

pub mod grading;
mod handle;
mod head;
mod host_agreement;
mod in_flight;
mod keep_alive;
pub mod network;
pub mod protocol;

mod admission;
mod attempt;
mod authorisation;
mod body;
mod client;
mod clock;
mod control;
mod cut_off;
mod datagrams;
mod detour;
mod engine_end;
mod engine_memory;
mod evacuation;
mod explain;
mod follow;
mod listener;
mod load_exchange;
mod memory;
mod metrics;
mod model_choice;
mod notice;
mod occupancy;
mod open_requests;
mod owner;
mod path;
mod pending;
mod permit;
mod quarantine;
mod reach;
mod relay;
mod releases;
mod request;
mod request_body;
mod request_limit;
mod response;
mod retry;
mod retry_query;
mod selection;
mod shared;
mod statement;
mod store;
mod stream;
mod stream_end;
mod warm_up;
mod write_timeout;

pub use handle::{Error, Handle, spawn, spawn_on};
