//! Set of integers stored as ranges, which is compact if the integers are nearly contiguous.

use std::collections::BTreeMap;

/// Set of integers.
#[derive(Debug, Default)]
pub(super) struct RangeSet {
    /// Last number of each range by its first one. Ranges neither overlap nor adjoin.
    ranges: BTreeMap<u64, u64>,
}

impl RangeSet {
    /// Inserts a number; returns false if the set already contains it.
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

    /// Count of the numbers below the highest one that are not in the set.
    pub(super) fn gaps(&self) -> u64 {
        let mut next = 0;
        let mut gaps = 0;
        for (first, last) in &self.ranges {
            gaps += first - next;
            next = last.saturating_add(1);
        }
        gaps
    }
}
