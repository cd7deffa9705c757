//! Set of numbers as ranges, small if the numbers are nearly contiguous.

use std::collections::BTreeMap;

/// Set of numbers.
#[derive(Debug, Default)]
pub(super) struct Ranges {
    /// First and last number of each range; ranges neither overlap nor touch.
    ranges: BTreeMap<u64, u64>,
}

impl Ranges {
    /// Adds a number; false if it is in the set already.
    pub(super) fn insert(&mut self, number: u64) -> bool {
        let before = self
            .ranges
            .range(..=number)
            .next_back()
            .map(|(first, last)| (*first, *last));
        if before.is_some_and(|(_, last)| last >= number) {
            return false;
        }
        let first = match before {
            Some((first, last)) if last + 1 == number => first,
            _ => number,
        };
        let after = number.checked_add(1).and_then(|it| self.ranges.remove(&it));
        self.ranges.insert(first, after.unwrap_or(number));
        true
    }

    /// Numbers below the highest one that are not in the set.
    pub(super) fn missing(&self) -> u64 {
        let mut next = 0;
        let mut missing = 0;
        for (first, last) in &self.ranges {
            missing += first - next;
            next = last.saturating_add(1);
        }
        missing
    }
}
