//! Queue of closed batches, ordered by contiguous sequence numbers.

use std::collections::VecDeque;

use super::pending::PendingBatch;

/// Batches not confirmed to be in the log. Batches are appended in order, so that they are removed from the
/// front.
#[derive(Debug, Default)]
pub(super) struct PendingQueue {
    first: u64,
    batches: VecDeque<PendingBatch>,
}

impl PendingQueue {
    /// Sequence number of the next batch.
    pub(super) fn end(&self) -> u64 {
        self.first + self.batches.len() as u64
    }

    pub(super) fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Adds the next batch.
    pub(super) fn push(&mut self, batch: PendingBatch) {
        self.batches.push_back(batch);
    }

    /// Removes the oldest batch.
    pub(super) fn pop(&mut self) -> Option<(u64, PendingBatch)> {
        let batch = self.batches.pop_front()?;
        self.first += 1;
        Some((self.first - 1, batch))
    }

    pub(super) fn get(&self, sequence: u64) -> Option<&PendingBatch> {
        self.batches.get(self.index(sequence)?)
    }

    pub(super) fn get_mut(&mut self, sequence: u64) -> Option<&mut PendingBatch> {
        let index = self.index(sequence)?;
        self.batches.get_mut(index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &PendingBatch> {
        self.batches.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut PendingBatch)> {
        (self.first..).zip(&mut self.batches)
    }

    fn index(&self, sequence: u64) -> Option<usize> {
        usize::try_from(sequence.checked_sub(self.first)?).ok()
    }
}
