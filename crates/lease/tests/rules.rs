//! Guards against leases that are granted twice, end too late, or are granted after truncation of the log
//! although an unknown lease may be live.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use lease::planner::{Reservation, Settings, Step};
use lease::record::MAX_DURATION;
use lease::{Holder, Intent, Outcome, Planner, Record, Table, holder, placement};
use model::{Incarnation, Name, Upstream};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn record(holder: u128, attempt: u64, seconds: u32) -> Vec<u8> {
    let record = Record {
        pool: "gpu".into(),
        holder: Incarnation::from_bits(holder),
        host: format!("host-{holder}").into(),
        attempt,
        duration: SECOND * seconds,
    };
    record.to_bytes()
}

/// Applies records `(time, holder, attempt, duration)`, with times in seconds, and returns the names of the
/// outcomes.
fn outcomes(first: u64, records: &[(u64, u128, u64, u32)]) -> String {
    let mut table = Table::new(first);
    let mut names = Vec::new();
    for (offset, (time, holder, attempt, seconds)) in (first..).zip(records) {
        let time = SystemTime::UNIX_EPOCH + Duration::from_secs(*time);
        names.push(
            match table.apply(offset, time, &record(*holder, *attempt, *seconds), Duration::ZERO) {
                Outcome::Granted(_, grant) => format!("granted {}", grant.token),
                Outcome::Released(..) => "released".to_owned(),
                other => format!("{other:?}").to_lowercase(),
            },
        );
    }
    names.join(", ")
}

macro_rules! outcomes {
    ($($name:ident: $first:literal, $records:expr => $expected:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(outcomes($first, &$records), $expected);
        })*
    };
}

outcomes! {
    second_process_is_refused_during_the_lease: 0, [(100, 1, 1, 10), (100, 2, 1, 10)] => "granted 0, refused";
    renewal_gets_a_newer_token: 0, [(100, 1, 1, 10), (105, 1, 2, 10), (112, 2, 1, 10)]
        => "granted 0, granted 1, refused";
    successor_is_granted_after_the_end: 0, [(100, 1, 1, 10), (110, 2, 1, 10), (111, 1, 2, 10)]
        => "granted 0, granted 1, refused";
    lease_survives_a_backward_step_of_the_log_clock: 0, [(100, 1, 1, 10), (50, 2, 1, 10), (110, 2, 2, 10)]
        => "granted 0, refused, granted 2";
    release_frees_the_pool: 0, [(100, 1, 1, 10), (101, 1, 2, 0), (101, 2, 1, 10)]
        => "granted 0, released, granted 2";
    release_by_another_process_is_refused: 0, [(100, 1, 1, 10), (101, 2, 1, 0)] => "granted 0, refused";
    delayed_release_is_refused: 0, [(100, 1, 1, 10), (101, 1, 3, 10), (102, 1, 2, 0)]
        => "granted 0, granted 1, refused";
    repeated_request_is_refused: 0, [(100, 1, 1, 10), (101, 1, 1, 10)] => "granted 0, refused";
    too_long_duration_is_malformed: 0, [(100, 1, 1, 61)] => "malformed";
    truncated_log_is_uncertain: 7, [(100, 1, 1, 10), (130, 1, 2, 10), (160, 1, 3, 10)]
        => "uncertain, uncertain, granted 9";
    truncated_log_with_two_requesters_is_uncertain: 7,
        [(100, 1, 1, 10), (155, 1, 2, 10), (161, 2, 1, 10), (170, 1, 3, 10), (172, 1, 4, 10)]
        => "uncertain, uncertain, uncertain, uncertain, granted 11";
}

#[test]
fn payload_format() {
    let expected = r#"{"pool":"gpu","holder":"0000000000000000000000000000000a","host":"host-10","attempt":3,"duration_ms":9000}"#;
    assert_eq!(String::from_utf8(record(10, 3, 9)).unwrap(), expected);
}

fn holder(id: u128) -> Holder {
    let host = format!("host-{id}").into();
    Holder::new(
        holder::Settings::default(),
        "gpu".into(),
        Incarnation::from_bits(id),
        host,
    )
}

fn append(table: &mut Table, at: u64, payload: &[u8], now: Duration) -> Outcome {
    table.apply(
        table.next_offset(),
        SystemTime::UNIX_EPOCH + Duration::from_secs(at),
        payload,
        now,
    )
}

#[test]
fn holder_stops_early_measured_from_before_the_append() {
    let mut table = Table::new(0);
    let mut holder = holder(1);
    let payload = holder.tick(SECOND * 100, Intent::Hold, &table).unwrap();
    // The log accepts the record late, and the holder reads it even later.
    let outcome = append(&mut table, 1003, &payload, SECOND * 104);
    holder.record_applied(&outcome);
    assert_eq!(holder.token(SECOND * 111), Some(0));
    assert_eq!(holder.token(SECOND * 112), None);
}

#[test]
fn successor_waits_for_the_delivery_of_old_orders() {
    let mut table = Table::new(0);
    let mut first = holder(1);
    let payload = first.tick(SECOND, Intent::Hold, &table).unwrap();
    append(&mut table, 1000, &payload, SECOND * 50);
    let old = table.grant("gpu").unwrap().clone();
    let mut second = holder(2);
    second.record_applied(&Outcome::Granted("gpu".into(), old));
    // The second node read the record of the first at 50 s, so the lease may last until 65 s.
    assert_eq!(second.tick(SECOND * 64, Intent::Hold, &table), None);
    let payload = second.tick(SECOND * 65, Intent::Hold, &table).unwrap();
    let outcome = append(&mut table, 1015, &payload, SECOND * 65);
    second.record_applied(&outcome);
    assert_eq!(second.token(SECOND * 66), None);
    assert_eq!(second.token(SECOND * 67), Some(1));
}

#[test]
fn release_ends_the_lease_at_once() {
    let mut table = Table::new(0);
    let mut holder = holder(1);
    let payload = holder.tick(SECOND, Intent::Hold, &table).unwrap();
    let outcome = append(&mut table, 1000, &payload, SECOND);
    holder.record_applied(&outcome);
    let release = holder.tick(SECOND * 2, Intent::Release, &table).unwrap();
    assert_eq!(holder.token(SECOND * 2), None);
    assert!(matches!(
        append(&mut table, 1001, &release, SECOND * 2),
        Outcome::Released(..)
    ));
}

#[test]
fn holder_stops_after_its_token_is_rejected() {
    let mut table = Table::new(0);
    let mut holder = holder(1);
    let payload = holder.tick(SECOND, Intent::Hold, &table).unwrap();
    let outcome = append(&mut table, 1000, &payload, SECOND);
    holder.record_applied(&outcome);
    holder.fenced(0);
    assert_eq!(holder.token(SECOND * 2), None);
}

fn versions(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|it| Name::from(*it)).collect()
}

#[test]
fn planner_reserves_and_orders_and_corrects_later_changes() {
    let mut planner = Planner::new(Settings::default());
    planner.set_wanted([(Upstream::from("e"), versions(&["a", "b"]))].into());
    // No order is sent before the engine has reported its state.
    assert_eq!(planner.steps(SECOND), []);
    planner.observe("e", versions(&["a"]), SECOND);
    let reserve = Step::Reserve {
        engine: "e".into(),
        version: "b".into(),
    };
    let order = Step::Order {
        engine: "e".into(),
        versions: versions(&["a", "b"]),
    };
    assert_eq!(planner.steps(SECOND), std::slice::from_ref(&reserve));
    planner.reservation_finished("e", &"b".into(), Reservation::Busy(SECOND * 9), SECOND);
    assert_eq!(planner.steps(SECOND * 9), []);
    assert_eq!(planner.steps(SECOND * 10), [reserve]);
    planner.reservation_finished("e", &"b".into(), Reservation::Granted, SECOND * 10);
    assert_eq!(planner.steps(SECOND * 11), std::slice::from_ref(&order));
    assert_eq!(planner.steps(SECOND * 12), []);
    assert_eq!(planner.differing_engines().len(), 1);
    planner.observe("e", versions(&["a", "b"]), SECOND * 13);
    assert!(planner.differing_engines().is_empty());
    // A late order of an earlier holder loads an old version.
    planner.observe("e", versions(&["a", "b", "old"]), SECOND * 14);
    assert_eq!(planner.steps(SECOND * 14), [order]);
}

#[test]
fn reservations_respect_the_rate_limit_of_the_weight_store() {
    let mut planner = Planner::new(Settings::default());
    let engines: Vec<Upstream> = (0..20).map(|it| format!("e{it}").into()).collect();
    planner.set_wanted(engines.iter().map(|it| (it.clone(), versions(&["a"]))).collect());
    for engine in &engines {
        planner.observe(engine, versions(&[]), SECOND);
    }
    let mut reservations = 0;
    for tenth in 0..100 {
        let steps = planner.steps(SECOND * 2 + SECOND / 10 * tenth);
        reservations += steps
            .iter()
            .filter(|it| matches!(it, Step::Reserve { .. }))
            .count();
    }
    assert_eq!(reservations, 10);
}

#[test]
fn placement_is_stable_and_respects_the_slots() {
    let engines: BTreeSet<Upstream> = (0..20).map(|it| format!("e{it}").into()).collect();
    let demand = |version: &str, replicas| placement::Demand {
        version: version.into(),
        replicas,
    };
    let demands: Vec<_> = (0..8).map(|it| demand(&format!("v{it}"), 4)).collect();
    let before = placement::place(&engines, &demands, 2);
    assert!(before.values().all(|it| it.len() <= 2));
    assert_eq!(before.values().map(BTreeSet::len).sum::<usize>(), 32);
    let fewer: BTreeSet<_> = engines.iter().skip(1).cloned().collect();
    let after = placement::place(&fewer, &demands, 2);
    let moved = fewer.iter().filter(|it| before[*it] != after[*it]).count();
    assert!(moved <= 6, "{moved} engines changed");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn arbitrary_payloads_do_not_panic(
        mut bytes in prop::sample::select(vec![record(1, 1, 10), b"{}".to_vec()]),
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        offset in any::<u64>(),
        seconds in 0..u64::from(u32::MAX),
    ) {
        for (index, byte) in edits {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let time = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
        Table::new(offset).apply(offset, time, &bytes, MAX_DURATION);
    }
}
