//! Decisions of an entry node that forwards requests to engines and plain services.
//!
//! Everything here is pure: no I/O, no threads and no clocks. `now` is a [`Moment`], a time on a clock that keeps
//! running while the host is suspended, so that the age of a belief cannot be underestimated after a suspension.
//!
//! - [`belief`], [`catalog`], [`directory`]: what a node believes about configuration and engines, and how old it is
//! - [`flow`]: one request with its attempts; decides what may still be sent and which answer is true
//! - [`lane`], [`load`], [`placement`], [`quality`]: which engine and which model serve a request
//! - [`event`]: event streams cut at event boundaries, continued without gaps or repetitions
//! - [`allowance`]: the share of the fleet's retry budget that a node may use
//! - [`relay`]: readings of the store that nodes pass on to each other
//! - [`evidence`], [`release`]: how much traffic a new version of a service gets

use std::time::Duration;

pub mod allowance;
pub mod belief;
pub mod catalog;
pub mod directory;
pub mod event;
pub mod evidence;
pub mod flow;
pub mod lane;
pub mod load;
pub mod placement;
pub mod quality;
pub mod relay;
pub mod release;

/// Time since an arbitrary start on a clock that counts suspension.
pub type Moment = Duration;
