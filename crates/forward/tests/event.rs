//! Guards against streams with missing, repeated or joined events.

use forward::event::{Cursor, Splitter, Verdict};
use proptest::prelude::*;

fn encode(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    ids.flat_map(|it| format!("id: {it}\ndata: piece {it}\n\n").into_bytes())
        .collect()
}

#[test]
fn part_of_an_event_is_not_passed_on() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(splitter.next_event().and_then(|it| it.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert_eq!(splitter.rest(), b"id: 2\ndata: b\n");
}

#[test]
fn event_with_carriage_returns_is_whole() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.next_event().and_then(|it| it.id), Some(7));
}

#[test]
fn overlong_event_is_noticed() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; Splitter::MAX_EVENT_BYTES + 1]);
    assert!(splitter.is_overlong());
}

#[test]
fn missing_event_ends_the_use_of_an_engine() {
    let mut cursor = Cursor::after(Some(3));
    assert_eq!(cursor.judge(Some(5)), Verdict::Gap);
    assert_eq!(cursor.judge(Some(4)), Verdict::Deliver);
}

#[test]
fn stream_of_events_without_ids_is_not_resumed() {
    let mut cursor = Cursor::after(None);
    assert!(cursor.can_resume());
    assert_eq!(cursor.judge(None), Verdict::Deliver);
    assert!(!cursor.can_resume());
}

proptest! {
    /// Guards against loss or repetition when engines are lost at any byte and others go on before, at or behind the
    /// last event that was delivered.
    #[test]
    fn interrupted_streams_are_whole(
        length in 1_u64..30,
        cuts in prop::collection::vec((0.0..1.0_f64, 0_u64..3), 0..5),
        chunk in 1_usize..40,
    ) {
        let mut delivered = Vec::new();
        let mut cursor = Cursor::after(None);
        let engines = cuts.into_iter().map(Some).chain([None]);
        for cut in engines {
            let overlap = cut.map_or(0, |it| it.1);
            let first = cursor.last().map_or(1, |it| (it + 1).saturating_sub(overlap).max(1));
            let bytes = encode(first..=length);
            let end = cut.map_or(bytes.len(), |(part, _)| (bytes.len() as f64 * part) as usize);
            let mut splitter = Splitter::default();
            for piece in bytes[..end].chunks(chunk) {
                splitter.push(piece);
                while let Some(event) = splitter.next_event() {
                    match cursor.judge(event.id) {
                        Verdict::Deliver => delivered.extend(event.bytes),
                        Verdict::Duplicate => {}
                        Verdict::Gap => prop_assert!(false, "an engine went on too late"),
                    }
                }
            }
        }
        prop_assert_eq!(delivered, encode(1..=length));
    }
}
