//! Single cases of the ledger, and regressions of faults that the property tests found.

use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Refusal, Usage};

use crate::bill::Reader;
use crate::billing::{
    Action, Append, Basis, Batch, Held, Hold, Id, Key, Limits, Malformed, Member, Origin, Record,
    append_interval, encode,
};
use crate::once::{Answer, Call, Key as CallKey, Outcome, ParseError, Response, Table};

const NOW: Duration = Duration::from_secs(100);

fn member(number: u128, domain: &str) -> Member {
    Member {
        incarnation: Incarnation::from_bits(number),
        domain: domain.into(),
    }
}

fn record(number: u64) -> Record {
    Record {
        organisation: "org".into(),
        key: Key::Request {
            incarnation: Incarnation::from_bits(1),
            number,
        },
        version: "v".into(),
        usage: Usage::default(),
        cost: 5,
        rejected: 0,
    }
}

fn origin(peers: &[Member]) -> Origin {
    let mut origin = Origin::new(member(1, "d1"), Limits::default(), NOW);
    origin.set_peers(peers, peers.len() + 1, NOW);
    origin
}

fn bill(origin: &mut Origin) -> u64 {
    let permit = origin.admit().unwrap();
    origin.record(permit, record(0), NOW)
}

/// Peers to which a batch goes.
fn targets(actions: &[Action]) -> Vec<u128> {
    let peers = actions.iter().filter_map(|it| match it {
        Action::Hold { peer, .. } => Some(peer.bits()),
        _ => None,
    });
    peers.collect()
}

fn id(sequence: u64) -> Id {
    Id {
        incarnation: Incarnation::from_bits(1),
        sequence,
    }
}

/// Guards against appends beyond the budget of the log, or later than the page states.
#[test]
fn append_interval_grows_with_the_nodes() {
    let millis: Vec<_> = [1, 8, 37, 38, 340]
        .map(|it| append_interval(it).as_millis())
        .into();
    assert_eq!(millis, [250, 250, 250, 253, 2266]);
}

/// Guards against both copies in one failure domain while another is available.
#[test]
fn copies_go_to_two_other_domains() {
    let mut origin = origin(&[member(2, "d1"), member(3, "d2"), member(4, "d2"), member(5, "d3")]);
    bill(&mut origin);
    let mut peers = targets(&origin.poll(NOW + Duration::from_millis(1)));
    peers.sort_unstable();
    assert_eq!(peers.len(), 2);
    assert!([3, 4].contains(&peers[0]) && peers[1] == 5, "{peers:?}");
}

/// Found by `each_request_is_billed_once` with seed 1: one failed call moved a copy into the domain of the origin,
/// where it stayed.
#[test]
fn failed_peer_is_not_replaced_by_one_of_the_own_domain() {
    let mut origin = origin(&[member(2, "d1"), member(3, "d2"), member(4, "d3")]);
    bill(&mut origin);
    let time = NOW + Duration::from_millis(1);
    assert_eq!(targets(&origin.poll(time)).len(), 2);
    origin.hold_failed(Incarnation::from_bits(3), id(0), time);
    assert!(
        targets(&origin.poll(time)).is_empty(),
        "the peer is asked again without a pause"
    );
    origin.held(Incarnation::from_bits(4), id(0), time);
    assert_eq!(targets(&origin.poll(time + Duration::from_millis(60))), [3]);
}

/// Found by `each_request_is_billed_once` with seed 1 and 100,000 schedules: the reply to an earlier settle call hid
/// that the peer took a late copy of the batch after that call, and the peer kept it.
#[test]
fn late_copy_is_settled_although_an_earlier_call_is_confirmed() {
    let mut origin = origin(&[member(3, "d2"), member(4, "d3")]);
    bill(&mut origin);
    let time = NOW + Duration::from_millis(1);
    let actions = origin.poll(time);
    let append = actions.iter().find_map(|it| match it {
        Action::Append { number, .. } => Some(*number),
        _ => None,
    });
    let peer = Incarnation::from_bits(3);
    let settle_number = |actions: &[Action]| {
        actions.iter().find_map(|it| match it {
            Action::Settle { peer: to, number, .. } if *to == peer => Some(*number),
            _ => None,
        })
    };
    let first = settle_number(&origin.appended(append.unwrap(), Append::Confirmed, time)).unwrap();
    origin.held(peer, id(0), time);
    origin.settled(peer, first);
    let later = time + Duration::from_secs(1);
    let second = settle_number(&origin.poll(later)).expect("the late copy is not settled");
    origin.settled(peer, second);
    assert_eq!(settle_number(&origin.poll(later + Duration::from_secs(1))), None);
}

/// Guards against an answer that waits for ever, or a release that is not counted.
#[test]
fn answer_without_peers_is_released_in_time() {
    let mut origin = origin(&[]);
    let sequence = bill(&mut origin);
    let early = origin.poll(NOW + Duration::from_millis(249));
    assert!(!early.iter().any(|it| matches!(it, Action::Release { .. })));
    let late = origin.poll(NOW + Duration::from_millis(500));
    let basis = Basis::Underreplicated;
    assert!(late.contains(&Action::Release { sequence, basis }));
    assert_eq!(origin.stats().underreplicated, 1);
}

/// Guards against records dropped silently at the bound.
#[test]
fn full_origin_refuses_new_requests_and_keeps_its_records() {
    let limits = Limits {
        records: 2,
        ..Limits::default()
    };
    let mut origin = Origin::new(member(1, "d1"), limits, NOW);
    let first = origin.admit().unwrap();
    let second = origin.admit().unwrap();
    assert_eq!(origin.admit().unwrap_err(), Refusal::not_run(Reason::BillingFull));
    origin.record(first, record(0), NOW);
    assert!(origin.admit().is_err());
    origin.release(second);
    assert!(origin.admit().is_ok());
    assert_eq!(origin.unsettled(), 1);
}

/// Guards against a batch that is confirmed but could not be billed, or that exceeds the bound.
#[test]
fn holder_refuses_what_it_cannot_keep() {
    let own = Incarnation::from_bits(1);
    let payload = |sequence| -> Box<[u8]> {
        let records = vec![record(sequence)];
        encode(
            own,
            &[Batch {
                id: id(sequence),
                records,
            }],
        )
        .unwrap()
        .into()
    };
    let first = payload(0);
    let mut held = Held::new(first.len(), NOW);
    assert_eq!(held.hold(id(1), first.clone(), 0, None, NOW), Err(Malformed));
    assert_eq!(
        held.hold(id(0), Box::from(&first[1..]), 0, None, NOW),
        Err(Malformed)
    );
    assert_eq!(held.hold(id(0), first.clone(), 0, None, NOW), Ok(Hold::Held));
    assert_eq!(held.hold(id(0), first, 1, None, NOW), Ok(Hold::Held));
    assert_eq!(held.hold(id(1), payload(1), 0, None, NOW), Ok(Hold::Full));
    held.settle(&[id(0)]);
    assert_eq!((held.bytes(), held.is_empty()), (0, true));
}

/// Guards against lost batches that nobody notices.
#[test]
fn reader_counts_gaps_and_duplicates() {
    let mut reader = Reader::default();
    for (sequence, number) in [(5, 1), (2, 2), (2, 2), (3, 2)] {
        let records = vec![record(number)];
        let batch = Batch {
            id: id(sequence),
            records,
        };
        reader
            .read(&encode(Incarnation::from_bits(1), &[batch]).unwrap())
            .unwrap();
    }
    assert_eq!(reader.missing(), 3);
    let counts = reader.counts();
    assert_eq!(
        (counts.batches, counts.duplicate_batches, counts.duplicate_records),
        (3, 1, 1)
    );
    assert_eq!(reader.bills()["org"].cost, 10);
}

/// Guards against two texts of one key, which would be two entries.
#[test]
fn only_the_canonical_text_is_a_key() {
    let issuer = "000000000000000000000000000000ab";
    let text = format!("{issuer}.7.a.b");
    assert_eq!(text.parse::<CallKey>().unwrap().to_string(), text);
    let long = "x".repeat(129);
    for (epoch, part) in [
        ("07", "a"),
        ("+7", "a"),
        ("-1", "a"),
        ("", "a"),
        ("7", ""),
        ("7", "a b"),
        ("7", &long),
    ] {
        let text = format!("{issuer}.{epoch}.{part}");
        assert_eq!(text.parse::<CallKey>(), Err(ParseError), "{text}");
    }
    assert_eq!(
        format!("{}.7.a", issuer.to_uppercase()).parse::<CallKey>(),
        Err(ParseError)
    );
}

fn table() -> (Table, Name, CallKey) {
    let mut table = Table::new(Incarnation::from_bits(1), crate::once::Limits::default(), NOW);
    let key = format!("{}.a", table.prefix(NOW)).parse().unwrap();
    (table, "org".into(), key)
}

/// Guards against a repeated call that runs again or gets the response of another request.
#[test]
fn repeated_call_gets_the_first_response() {
    let (mut table, organisation, key) = table();
    let call = |digest| Call {
        organisation: &organisation,
        key: &key,
        digest,
    };
    assert_eq!(table.begin(call(1), NOW), Answer::Execute);
    assert_eq!(table.begin(call(1), NOW), Answer::Running);
    let response = Response {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"held".to_vec(),
    };
    let replay = Answer::Replay(Arc::new(response.clone()));
    assert_eq!(table.finish(&organisation, &key, Outcome::Done(response)), replay);
    assert_eq!(table.finish(&organisation, &key, Outcome::Unknown), replay);
    assert_eq!(table.begin(call(1), NOW), replay);
    let reused = Answer::Refused(Refusal::unknown(Reason::KeyReused));
    assert_eq!(table.begin(call(2), NOW), reused);
    let late = NOW + Duration::from_secs(62 * 60);
    let expired = Answer::Refused(Refusal::unknown(Reason::KeyExpired));
    assert_eq!(table.begin(call(1), late), expired);
    assert!(table.is_empty());
}

/// Guards against a sealed table that still executes, and against a hand-over that proves too much.
#[test]
fn sealed_table_executes_nothing() {
    let (mut table, organisation, key) = table();
    let call = Call {
        organisation: &organisation,
        key: &key,
        digest: 1,
    };
    assert_eq!(table.hand_over(NOW), None);
    table.seal();
    let leaving = Answer::Refused(Refusal::not_run(Reason::Leaving));
    assert_eq!(table.begin(call, NOW), leaving);
    let mut archive = crate::once::Archive::default();
    assert_eq!(archive.answer(call, NOW), None);
    archive.insert(table.hand_over(NOW).unwrap(), NOW);
    assert_eq!(archive.answer(call, NOW), Some(leaving));
    assert_eq!(archive.answer(call, NOW + Duration::from_secs(63 * 60)), None);
}
