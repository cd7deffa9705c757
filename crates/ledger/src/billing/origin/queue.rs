//! Closed batches in the order of their sequence numbers, which have no gaps.

use std::collections::VecDeque;

use super::pending::Pending;

/// Batches that the log may not have; the log gets them in order, so that they leave at the front.
#[derive(Debug, Default)]
pub(super) struct Queue {
    first: u64,
    batches: VecDeque<Pending>,
}

impl Queue {
    /// Sequence number of the next batch.
    pub(super) fn end(&self) -> u64 {
        self.first + self.batches.len() as u64
    }

    pub(super) fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Adds the next batch.
    pub(super) fn push(&mut self, batch: Pending) {
        self.batches.push_back(batch);
    }

    /// Removes the oldest batch.
    pub(super) fn pop(&mut self) -> Option<(u64, Pending)> {
        let batch = self.batches.pop_front()?;
        self.first += 1;
        Some((self.first - 1, batch))
    }

    pub(super) fn get(&self, sequence: u64) -> Option<&Pending> {
        self.batches.get(self.index(sequence)?)
    }

    pub(super) fn get_mut(&mut self, sequence: u64) -> Option<&mut Pending> {
        let index = self.index(sequence)?;
        self.batches.get_mut(index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Pending> {
        self.batches.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut Pending)> {
        (self.first..).zip(&mut self.batches)
    }

    fn index(&self, sequence: u64) -> Option<usize> {
        usize::try_from(sequence.checked_sub(self.first)?).ok()
    }
}
