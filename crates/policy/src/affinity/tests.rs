//! Tests of the prefix index.

use super::*;
use crate::fault::with_fault;

fn stored(sequence: u64, block: u64) -> Event {
    Event {
        sequence,
        block,
        change: Change::Stored,
    }
}

fn held(index: &PrefixIndex, blocks: &[u64]) -> (usize, Vec<Slot>) {
    let (held, holders) = index.longest_prefix(blocks);
    (held, holders.collect())
}

/// Guards against an index that directs requests to blocks whose eviction event was lost in a gap.
#[test]
fn gap_invalidates_only_that_engine() {
    let run = || {
        let mut index = PrefixIndex::new(100);
        index.apply(0, &[stored(0, 1), stored(1, 2)]);
        index.apply(1, &[stored(0, 1)]);
        assert_eq!(held(&index, &[1, 2, 3]), (2, vec![0]));
        index.apply(0, &[stored(5, 9)]);
        held(&index, &[1, 2, 3])
    };
    assert_eq!(run(), (1, vec![1]));
    with_fault(Fault::KeepAfterGap, || assert_ne!(run(), (1, vec![1])));
}

/// Guards against duplicate or late events that undo newer ones.
#[test]
fn late_events_are_ignored() {
    let mut index = PrefixIndex::new(100);
    let evicted = Event {
        change: Change::Evicted,
        ..stored(0, 1)
    };
    index.apply(0, &[evicted, stored(1, 1), evicted]);
    assert_eq!(held(&index, &[1]), (1, vec![0]));
}

/// Guards against an index that grows without bound.
#[test]
fn size_is_bounded() {
    let mut index = PrefixIndex::new(50);
    for block in 0..1_000 {
        index.assume_stored(block as usize % 5, &[block]);
        assert!(index.len() <= 50);
    }
    assert_eq!(held(&index, &[999]), (1, vec![4]));
}
