//! Decisions of an entry node that forwards requests to engines and plain services.
//!
//! This crate does no I/O, starts no threads and reads no clock. Callers pass `now` as a [`BootTime`], a
//! clock that keeps running while the host is suspended, so that the age of cached data is not underestimated
//! after a suspension.
//!
//! - [`cached`], [`configuration`], [`directory`]: the configuration and the engines as this node knows them,
//!   and the age of that knowledge
//! - [`successor`]: newer configurations that other nodes state and the store may have lost
//! - [`retry`]: one request with its attempts; whether it may be sent again, and which final response is true
//! - [`work`], [`load`], [`placement`], [`urgency`]: which engine serves a request, and in which order
//! - [`engine_memory`]: the tokens that requests hold in engines' memory
//! - [`escalation`] with [`adequacy`], [`answer_value`], [`congestion`], [`first_byte`]: which model answers a request
//! - [`admission`]: which requests are refused because no engine can begin to answer them in time
//! - [`load_exchange`]: load reports that nodes pass on to each other
//! - [`drain`] with [`response_time`]: which requests a node accepts during its planned stop
//! - [`event_stream`]: event streams split at event boundaries and resumed without gaps or duplicates
//! - [`unread`]: whether an engine broke off a response because this node did not read it
//! - [`evacuation`]: failure domains that operators have ordered to evacuate
//! - [`statement`]: what engines state about the requests that they take; whether an engine may be used
//! - [`request_limit`], [`permit`]: rates to which engines limit the requests of all nodes together
//! - [`brittle`], [`occupancy`]: engines that must not be sent more than they have room for
//! - [`crash`], [`hold`], [`quarantine`]: requests that end the engines which begin to answer them
//! - [`path`]: whether this node reaches the engines of a service, or its requests go through peers
//! - [`retry_budget`], [`fleet_part`]: the part of the fleet's retry budget that a node may use
//! - [`freshness`]: how old what a node knows of the store may become, and who reads the store when
//! - [`relay`]: changes read from the store that nodes pass on to each other
//! - [`uplink`]: how much of these a node passes on, and whom it names instead
//! - [`evidence`], [`release`]: how much traffic a new version of a service gets

use std::time::Duration;

pub mod adequacy;
pub mod admission;
pub mod answer_value;
pub mod brittle;
pub mod cached;
pub mod configuration;
pub mod congestion;
pub mod crash;
pub mod directory;
pub mod drain;
pub mod engine_memory;
pub mod escalation;
pub mod evacuation;
pub mod event_stream;
pub mod evidence;
pub mod first_byte;
pub mod fleet_part;
pub mod freshness;
pub mod hold;
pub mod load;
pub mod load_exchange;
mod mean;
pub mod occupancy;
pub mod pace;
pub mod path;
pub mod permit;
pub mod placement;
pub mod quarantine;
pub mod relay;
pub mod release;
pub mod request_limit;
pub mod response_time;
pub mod retry;
pub mod retry_budget;
pub mod statement;
pub mod successor;
pub mod unread;
pub mod uplink;
pub mod urgency;
pub mod warm_up;
pub mod work;

/// Time since an arbitrary start on a clock that includes suspension (`CLOCK_BOOTTIME` on Linux).
pub type BootTime = Duration;

/// Weight after `age` of a value that decays with `half_life`; 0 if there is no value.
fn decay(age: Option<Duration>, half_life: Duration) -> f64 {
    age.map_or(0.0, |it| 0.5_f64.powf(it.as_secs_f64() / half_life.as_secs_f64()))
}
