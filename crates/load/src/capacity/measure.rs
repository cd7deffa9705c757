//! Repeated measurements of time and memory.

use std::any::Any;
use std::fs;
use std::time::Instant;

const REPEATS: usize = 5;

/// Page size of the machines that the project runs on.
const PAGE_BYTES: f64 = 4096.0;

/// A value with its spread over the repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Median.
    pub median: f64,
    /// Least value.
    pub low: f64,
    /// Greatest value.
    pub high: f64,
}

impl Sample {
    /// A value without spread.
    pub fn exact(value: f64) -> Self {
        Self {
            median: value,
            low: value,
            high: value,
        }
    }

    /// Median and spread of several values.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self {
            median: values[values.len() / 2],
            low: values[0],
            high: values[values.len() - 1],
        }
    }

    /// The sample in another unit.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            median: self.median * factor,
            low: self.low * factor,
            high: self.high * factor,
        }
    }
}

/// Seconds for each of `units` units of work; the work of each repeat starts from a fresh `setup`.
pub fn seconds_per_unit<S>(units: usize, setup: impl Fn() -> S, work: impl Fn(&mut S)) -> Sample {
    let once = || {
        let mut state = setup();
        let start = Instant::now();
        work(&mut state);
        start.elapsed().as_secs_f64() / units as f64
    };
    Sample::of((0..REPEATS).map(|_| once()).collect())
}

/// Growth of the resident memory for each of `units` units that `build` makes.
///
/// What is built stays alive until the process ends: a later measurement would reuse freed memory and see no growth.
pub fn bytes_per_unit<T: Any>(units: usize, build: impl Fn() -> T) -> Sample {
    let mut kept = Vec::new();
    let mut values = Vec::new();
    for _ in 0..REPEATS {
        let before = resident_bytes();
        kept.push(build());
        values.push((resident_bytes() - before).max(0.0) / units as f64);
    }
    std::mem::forget(kept);
    Sample::of(values)
}

/// Resident memory of this process; zero where the system does not tell.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
