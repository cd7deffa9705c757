//! An observation as it is passed between nodes.

use std::time::Duration;

use super::RunId;
use crate::BootTime;
use crate::load::Observation;

/// An observation with its age instead of its time; values of other nodes are not bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Run of the engine.
    pub run: RunId,
    /// Requests being processed or waiting.
    pub requests: u32,
    /// Those of them that wait; `None` in messages of builds that do not send it.
    pub waiting: Option<u32>,
    /// Time that work takes in percent of the normal time; 0 if the engine does not state it.
    pub work_percent: u32,
    /// Age of the observation when the receiver has it.
    pub age: Duration,
}

impl Report {
    /// Unit of ages in messages.
    pub const AGE_UNIT: Duration = Duration::from_millis(10);

    /// Time that a datagram takes between two nodes, rather too long than too short: an observation must not become
    /// newer on its way.
    const TRANSIT_TIME: Duration = Duration::from_millis(5);

    /// Bytes of the run's identifier, and of the shortest report.
    const RUN_BYTES: usize = 4;
    pub(super) const MIN_BYTES: usize = Self::RUN_BYTES + 4;

    /// An observation of a run.
    pub(super) fn of(run: RunId, observation: &Observation, now: BootTime) -> Self {
        Self {
            run,
            requests: observation.requests,
            waiting: Some(observation.waiting),
            work_percent: observation
                .work_factor
                .map_or(0, |it| (it * 100.0).round() as u32),
            age: observation.age(now) + Self::TRANSIT_TIME,
        }
    }

    /// A report from the figures of a message, without waiting requests.
    pub fn from_figures(run: RunId, requests: u32, work_percent: u32, age_units: u32) -> Self {
        Self {
            run,
            requests,
            waiting: None,
            work_percent,
            age: Self::AGE_UNIT * age_units,
        }
    }

    /// The age in units of [`Self::AGE_UNIT`], rounded up.
    pub fn age_units(&self) -> u32 {
        let units = self.age.as_nanos().div_ceil(Self::AGE_UNIT.as_nanos());
        u32::try_from(units).unwrap_or(u32::MAX)
    }

    /// The work factor, if the engine states it.
    pub(super) fn work_factor(&self) -> Option<f64> {
        (self.work_percent > 0).then(|| f64::from(self.work_percent) / 100.0)
    }

    /// Bytes in a message, whose numbers are variable-length integers.
    pub fn encoded_bytes(&self) -> usize {
        let waiting = self.waiting.unwrap_or_default();
        let numbers = [self.requests, self.work_percent, self.age_units(), waiting];
        Self::RUN_BYTES + numbers.map(varint_bytes).iter().sum::<usize>()
    }
}

/// Bytes of a variable-length integer with seven bits in each.
fn varint_bytes(number: u32) -> usize {
    (u32::BITS - number.leading_zeros()).div_ceil(7).max(1) as usize
}
