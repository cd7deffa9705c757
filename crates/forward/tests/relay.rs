//! Guards against nodes that miss changes, or rely on outdated data, because they get changes from each
//! other.

use std::collections::BTreeMap;
use std::time::Duration;

use forward::BootTime;
use forward::relay::{Extent, Journal, Position, Query};
use proptest::prelude::*;

type Changes = Vec<(u8, Option<u8>)>;

/// A position of the first era.
fn offset(offset: u64) -> Position {
    Position { era: 0, offset }
}

fn at(millis: u64) -> BootTime {
    Duration::from_millis(millis)
}

#[test]
fn no_reply_before_the_first_read() {
    assert_eq!(Journal::<u8>::new().since(offset(0), at(0)), None);
}

#[test]
fn age_counts_from_the_read() {
    let mut journal = Journal::<u8>::new();
    journal.reset(offset(7), at(100));
    let reply = journal.since(offset(7), at(350)).expect("the end is known");
    assert_eq!((reply.next, reply.age), (offset(7), at(250)));
}

#[test]
fn out_of_order_read_does_not_increase_the_age() {
    let mut journal = Journal::<u8>::new();
    journal.reset(offset(7), at(300));
    journal.extend(Extent::to_end(offset(7), at(200)), vec![]);
    assert_eq!(journal.since(offset(7), at(300)).map(|it| it.age), Some(at(0)));
}

#[test]
fn no_reply_for_an_offset_before_the_journal() {
    let mut journal = Journal::new();
    journal.reset(offset(7), at(0));
    journal.extend(Extent::to_end(offset(9), at(1)), vec![1]);
    assert!(journal.since(offset(6), at(1)).is_none());
}

/// Guards against a node that reads the store repeatedly because it is always slightly ahead of the reader.
#[test]
fn node_ahead_of_the_reader_gets_the_offset_of_the_reader() {
    let mut journal = Journal::new();
    journal.reset(offset(7), at(0));
    journal.extend(Extent::to_end(offset(9), at(1)), vec![1]);
    let reply = journal.since(offset(10), at(1)).expect("nothing is missing");
    assert_eq!((reply.next, reply.changes.len()), (offset(9), 0));
}

/// Guards against changes that are kept without a bound, or dropped while they fit.
#[test]
fn journal_shrinks_to_the_newest_changes() {
    let mut journal = Journal::new();
    journal.reset(offset(7), at(0));
    journal.extend(Extent::to_end(offset(8), at(1)), vec![30]);
    journal.extend(Extent::to_end(offset(9), at(2)), vec![50]);
    journal.shrink(80, |it| *it);
    assert_eq!(journal.first_after(offset(7)), Some(&30));
    journal.shrink(79, |it| *it);
    assert_eq!(journal.first_after(offset(7)), None);
    assert_eq!(journal.first_after(offset(8)), Some(&50));
    assert_eq!(journal.first_after(offset(9)), None);
}

/// A read up to `next` of a topic that ended at `end`.
fn cut_off(next: u64, end: u64, millis: u64) -> Extent {
    Extent {
        next: offset(next),
        end: offset(end),
        at: at(millis),
    }
}

/// Guards against a part of the records that counts as current.
#[test]
fn read_that_was_cut_off_is_current_when_its_end_is_reached() {
    let mut journal = Journal::new();
    journal.reset(offset(7), at(100));
    journal.extend(cut_off(8, 10, 200), vec![1]);
    assert_eq!(journal.newest(at(300)), Some((offset(8), at(200))));
    journal.extend(cut_off(9, 10, 210), vec![1]);
    assert_eq!(journal.current_at(), at(100));
    journal.extend(Extent::to_end(offset(10), at(220)), vec![1]);
    assert_eq!(journal.current_at(), at(220));
}

/// Guards against CONFIG: a response that was made before a change, and arrived late, counts as current at its arrival.
#[test]
fn early_response_without_records_is_current_at_its_request() {
    let read = |received| Extent::without_records(offset(7), at(100), at(50), at(received)).at;
    assert_eq!(read(149), at(100));
    assert_eq!(read(150), at(150));
    assert_eq!(read(400), at(150));
}

/// Guards against a node that rejects all keys because the topic grows as fast as it is read.
#[test]
fn topic_that_grows_while_it_is_read_becomes_current() {
    let mut journal = Journal::new();
    journal.reset(offset(0), at(0));
    for step in 1..20 {
        journal.extend(cut_off(step, step + 3, 10 * step), vec![1]);
        // A stated end is reached three reads later, and the next one is kept only then.
        let age = 10 * step - journal.current_at().as_millis() as u64;
        assert!(step < 4 || age <= 60, "{age} ms at read {step}");
    }
}

/// Guards against a node of an earlier build that takes a part of the records for all of them, and passes its age on.
#[test]
fn age_of_a_read_that_may_be_cut_off_is_checked_with_the_known_end() {
    let mut journal = Journal::new();
    journal.reset(offset(7), at(100));
    assert!(journal.is_credible(offset(7), false));
    journal.extend(cut_off(8, 10, 0), vec![1]);
    assert!(!journal.is_credible(offset(8), false));
    assert!(journal.is_credible(offset(8), true));
    assert!(journal.is_credible(offset(10), false));
}

/// Guards against offsets of a lost history that are taken for those of the current one.
#[test]
fn eras_do_not_mix() {
    let mut journal = Journal::new();
    journal.reset(Position { era: 1, offset: 4 }, at(0));
    journal.extend(Extent::to_end(Position { era: 1, offset: 6 }, at(1)), vec![1]);
    assert!(journal.since(offset(5), at(1)).is_none());
    let query = Query {
        from: Position { era: 2, offset: 3 },
        age: at(5),
        sent_at: at(100),
    };
    let reply = journal
        .since(query.from, at(100))
        .expect("the reader has nothing newer");
    let accepted = query
        .accept(reply, at(101), at(50))
        .expect("the own read is recent");
    assert_eq!((accepted.next, accepted.current_at), (query.from, at(95)));
    assert!(accepted.changes.is_empty());
}

#[test]
fn no_reply_after_dropped_changes() {
    let mut journal = Journal::new();
    journal.reset(offset(0), at(0));
    for next in 1..2000 {
        journal.extend(Extent::to_end(offset(next), at(next)), vec![next]);
    }
    assert!(journal.since(offset(1), at(2000)).is_none());
    let recent = journal
        .since(offset(1990), at(2000))
        .expect("recent changes are kept");
    assert_eq!(recent.changes, (1991..2000).collect::<Vec<_>>());
}

fn apply(state: &mut BTreeMap<u8, u8>, changes: &Changes) {
    for (key, value) in changes {
        match value {
            Some(value) => state.insert(*key, *value),
            None => state.remove(key),
        };
    }
}

proptest! {
    /// Guards against a wrong state when one node reads a log in parts of any size and another one queries it
    /// from any offset.
    #[test]
    fn replies_lead_to_the_state_of_the_reader(
        log in prop::collection::vec((0..4_u8, prop::option::of(0..3_u8)), 1..60),
        parts in prop::collection::vec(1..8_usize, 1..60),
        queries in prop::collection::vec(0..60_usize, 1..8),
    ) {
        let mut journal = Journal::new();
        journal.reset(offset(0), at(0));
        let mut read = 0;
        for part in parts {
            let end = log.len().min(read + part);
            journal.extend(Extent::to_end(offset(end as u64), at(read as u64)), log[read..end].to_vec());
            read = end;
        }
        let mut expected = BTreeMap::new();
        apply(&mut expected, &log[..read].to_vec());
        for from in queries.into_iter().filter(|it| *it <= read) {
            let mut state = BTreeMap::new();
            apply(&mut state, &log[..from].to_vec());
            let reply = journal.since(offset(from as u64), at(100)).expect("nothing was dropped");
            apply(&mut state, &reply.changes);
            prop_assert_eq!(&state, &expected);
            prop_assert_eq!(reply.next, offset(read as u64));
        }
    }
}
