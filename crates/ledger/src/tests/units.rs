//! Unit tests, including regression tests for faults found by the property tests.

use std::sync::Arc;
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Refusal, Usage};

use crate::bill::Reader;
use crate::billing::{
    Action, AppendOutcome, Batch, BatchId, HoldOutcome, Holder, Key, Limits, Malformed, Member, Origin,
    Record, ReleaseReason, append_interval, encode,
};
use crate::idempotency::{Call, Decision, Key as IdempotencyKey, Outcome, ParseError, Response, Table};

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

/// Peers to which batches are sent.
fn targets(actions: &[Action]) -> Vec<u128> {
    let peers = actions.iter().filter_map(|it| match it {
        Action::Hold { peer, .. } => Some(peer.bits()),
        _ => None,
    });
    peers.collect()
}

fn id(sequence: u64) -> BatchId {
    BatchId {
        incarnation: Incarnation::from_bits(1),
        sequence,
    }
}

/// Guards against appends that exceed the log's budget or are later than documented.
#[test]
fn append_interval_grows_with_cluster_size() {
    let millis: Vec<_> = [1, 8, 37, 38, 340]
        .map(|it| append_interval(it).as_millis())
        .into();
    assert_eq!(millis, [250, 250, 250, 253, 2266]);
}

/// Guards against both replicas in one failure domain although another domain is available.
#[test]
fn replicas_go_to_two_other_domains() {
    let mut origin = origin(&[member(2, "d1"), member(3, "d2"), member(4, "d2"), member(5, "d3")]);
    bill(&mut origin);
    let mut peers = targets(&origin.poll(NOW + Duration::from_millis(1)));
    peers.sort_unstable();
    assert_eq!(peers.len(), 2);
    assert!([3, 4].contains(&peers[0]) && peers[1] == 5, "{peers:?}");
}

/// Guards against a replica that moves into the origin's failure domain after one failed hold call and stays
/// there.
#[test]
fn failed_peer_is_not_replaced_by_one_in_the_origin_domain() {
    let mut origin = origin(&[member(2, "d1"), member(3, "d2"), member(4, "d3")]);
    bill(&mut origin);
    let time = NOW + Duration::from_millis(1);
    assert_eq!(targets(&origin.poll(time)).len(), 2);
    origin.hold_failed(Incarnation::from_bits(3), id(0), time);
    assert!(
        targets(&origin.poll(time)).is_empty(),
        "the peer is asked again before the hold timeout"
    );
    origin.hold_confirmed(Incarnation::from_bits(4), id(0), time);
    assert_eq!(targets(&origin.poll(time + Duration::from_millis(60))), [3]);
}

/// Guards against a peer that holds a logged batch for ever: it accepts a late copy of the batch after a
/// settle call, and the reply to that call must not count for the late copy.
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
    let first =
        settle_number(&origin.append_finished(append.unwrap(), AppendOutcome::Confirmed, time)).unwrap();
    origin.hold_confirmed(peer, id(0), time);
    origin.settle_confirmed(peer, first);
    let later = time + Duration::from_secs(1);
    let second = settle_number(&origin.poll(later)).expect("no settle call for the late copy");
    origin.settle_confirmed(peer, second);
    assert_eq!(settle_number(&origin.poll(later + Duration::from_secs(1))), None);
}

/// Guards against a response that waits for ever, or a release that is not counted.
#[test]
fn response_without_peers_is_released_after_the_timeout() {
    let mut origin = origin(&[]);
    let sequence = bill(&mut origin);
    let early = origin.poll(NOW + Duration::from_millis(249));
    assert!(!early.iter().any(|it| matches!(it, Action::Release { .. })));
    let late = origin.poll(NOW + Duration::from_millis(500));
    let reason = ReleaseReason::Underreplicated;
    assert!(late.contains(&Action::Release { sequence, reason }));
    assert_eq!(origin.stats().underreplicated, 1);
}

/// Guards against records that are dropped silently when the limit is reached.
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

/// Guards against confirming a batch that cannot be billed or that exceeds the limit.
#[test]
fn holder_refuses_malformed_and_excess_batches() {
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
    let mut holder = Holder::new(first.len(), NOW);
    assert_eq!(holder.hold(id(1), first.clone(), 0, None, NOW), Err(Malformed));
    assert_eq!(
        holder.hold(id(0), Box::from(&first[1..]), 0, None, NOW),
        Err(Malformed)
    );
    assert_eq!(
        holder.hold(id(0), first.clone(), 0, None, NOW),
        Ok(HoldOutcome::Held)
    );
    assert_eq!(holder.hold(id(0), first, 1, None, NOW), Ok(HoldOutcome::Held));
    assert_eq!(
        holder.hold(id(1), payload(1), 0, None, NOW),
        Ok(HoldOutcome::Full)
    );
    holder.settle(&[id(0)]);
    assert_eq!((holder.bytes(), holder.is_empty()), (0, true));
}

/// Guards against undetected loss of batches.
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
    assert_eq!(reader.missing_batches(), 3);
    let counts = reader.counts();
    assert_eq!(
        (counts.batches, counts.duplicate_batches, counts.duplicate_records),
        (3, 1, 1)
    );
    assert_eq!(reader.bills()["org"].cost, 10);
}

/// Guards against two text forms of one key, which would get two entries.
#[test]
fn only_the_canonical_text_is_a_key() {
    let issuer = "000000000000000000000000000000ab";
    let text = format!("{issuer}.7.a.b");
    assert_eq!(text.parse::<IdempotencyKey>().unwrap().to_string(), text);
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
        assert_eq!(text.parse::<IdempotencyKey>(), Err(ParseError), "{text}");
    }
    assert_eq!(
        format!("{}.7.a", issuer.to_uppercase()).parse::<IdempotencyKey>(),
        Err(ParseError)
    );
}

fn table() -> (Table, Name, IdempotencyKey) {
    let mut table = Table::new(
        Incarnation::from_bits(1),
        crate::idempotency::Limits::default(),
        NOW,
    );
    let key = format!("{}.a", table.prefix(NOW)).parse().unwrap();
    (table, "org".into(), key)
}

/// Guards against a repeated call that runs again or gets the response to another request.
#[test]
fn repeated_call_gets_the_first_response() {
    let (mut table, organisation, key) = table();
    let call = |digest| Call {
        organisation: &organisation,
        key: &key,
        digest,
    };
    assert_eq!(table.begin(call(1), NOW), Decision::Execute);
    assert_eq!(table.begin(call(1), NOW), Decision::Running);
    let response = Response {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"held".to_vec(),
    };
    let replay = Decision::Replay(Arc::new(response.clone()));
    assert_eq!(table.finish(&organisation, &key, Outcome::Done(response)), replay);
    assert_eq!(table.finish(&organisation, &key, Outcome::Unknown), replay);
    assert_eq!(table.begin(call(1), NOW), replay);
    let reused = Decision::Refused(Refusal::unknown(Reason::KeyReused));
    assert_eq!(table.begin(call(2), NOW), reused);
    let late = NOW + Duration::from_secs(62 * 60);
    let expired = Decision::Refused(Refusal::unknown(Reason::KeyExpired));
    assert_eq!(table.begin(call(1), late), expired);
    assert!(table.is_empty());
}

/// Guards against a sealed table that still executes calls, a hand-over before sealing, and an archive that
/// decides without the table or after its retention period.
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
    let leaving = Decision::Refused(Refusal::not_run(Reason::Leaving));
    assert_eq!(table.begin(call, NOW), leaving);
    let mut archive = crate::idempotency::Archive::default();
    assert_eq!(archive.decide(call, NOW), None);
    archive.insert(table.hand_over(NOW).unwrap(), NOW);
    assert_eq!(archive.decide(call, NOW), Some(leaving));
    assert_eq!(archive.decide(call, NOW + Duration::from_secs(63 * 60)), None);
}
