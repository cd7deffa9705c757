//! In which order an engine reads the prompts that wait for it.
//!
//! An engine reads one prompt after the other, and one of a long request on a large model takes as long as a hundred
//! of the smallest. Short work goes first, which minimises the mean wait (W. E. Smith, "Various optimizers for
//! single-stage production", Naval Research Logistics Quarterly 3, 1956); the priority decides between requests of
//! similar size.

/// Urgency of a request at an engine: 0 is the most urgent, 9 the least.
pub type Urgency = u8;

/// Urgency of the shortest request with the highest priority. More urgent ones are left for what must not wait.
const FIRST: f64 = 1.0;

/// Difference between the shortest and the longest request.
const SIZE_RANGE: f64 = 5.0;

/// Lowest priority that is told apart.
const LAST_PRIORITY: u8 = 3;

/// Urgency of a request with a priority, 0 being the highest, at a position among the sizes of requests from 0 for
/// the shortest to 1.
pub fn urgency(position: f64, priority: u8) -> Urgency {
    let by_size = (FIRST + SIZE_RANGE * position.clamp(0.0, 1.0)).round() as Urgency;
    by_size + priority.min(LAST_PRIORITY)
}
