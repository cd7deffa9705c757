//! Room for one request at the engines of a service.

use crate::BootTime;
use crate::load::{Load, Loads};

use super::{Footprint, Size};

/// What a request needs of the engines' memory.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Its tokens.
    pub footprint: &'a Footprint,
    /// Tokens that the memory of each engine holds.
    pub capacity: u64,
}

/// Room for a request at the engines of a service, by what is known at one moment.
#[derive(Debug)]
pub struct Room<'a> {
    footprint: &'a Footprint,
    capacity: f64,
    /// Sizes of other nodes' requests.
    size: Size,
    /// Mean number of requests at an engine.
    mean_requests: f64,
    now: BootTime,
}

impl<'a> Room<'a> {
    /// Share of the memory that requests may fill. Estimates are some tenths of a second old, and outputs may be longer than
    /// expected.
    const LIMIT: f64 = 0.9;

    /// Cost of an engine without room; below that of an engine that failed recently.
    const NO_ROOM_COST: f64 = 5.0;

    /// Cost of an engine whose memory is full for a request that takes [`Self::LONG`] of it.
    const FILL_COST: f64 = 0.3;

    /// Share of the memory from which on a request counts as long.
    const LONG: f64 = 0.1;

    /// The room at the engines of a service.
    pub fn new(loads: &Loads, service: &str, demand: Demand<'a>, now: BootTime) -> Self {
        Self {
            footprint: demand.footprint,
            capacity: demand.capacity as f64,
            size: loads.request_size(service, now),
            mean_requests: loads.shared_mean(service),
            now,
        }
    }

    /// Estimated tokens that requests hold at an engine; one of which nothing is known counts as loaded like the mean.
    pub fn held(&self, load: Option<&Load>) -> f64 {
        let Some(load) = load else {
            return self.size.bound(self.mean_requests);
        };
        let others = load.estimated_requests(self.now) - f64::from(load.held.requests);
        load.held.tokens as f64 + self.size.bound(others.max(0.0))
    }

    /// Tokens that are left below the limit once an engine holds the request; negative if it has no room.
    pub fn left(&self, load: Option<&Load>) -> f64 {
        let left = Self::LIMIT * self.capacity - self.held(load) - self.footprint.tokens() as f64;
        match load {
            // Most requests fit, whatever the engine holds already.
            Some(load) if left < 0.0 => left + load.held.shared_with(self.footprint) as f64,
            _ => left,
        }
    }

    /// Cost of an engine, which makes long requests prefer engines with room.
    pub(crate) fn cost(&self, load: Option<&Load>) -> f64 {
        if self.left(load) < 0.0 {
            return Self::NO_ROOM_COST;
        }
        let share = self.footprint.tokens() as f64 / (Self::LONG * self.capacity);
        Self::FILL_COST * share.min(1.0) * (self.held(load) / self.capacity).min(1.0)
    }
}
