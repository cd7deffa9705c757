//! Guards against requests to engines that are gone, and against losing all engines after an outage of the
//! registry.

use std::time::Duration;

use forward::directory::{Directory, Engine, RENEWAL_GRACE};
use model::Upstream;

const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);

const SECOND: Duration = Duration::from_secs(1);

fn engine(id: &str, started_ms: u64) -> Engine {
    Engine {
        id: id.into(),
        started_ms,
        service: "pool".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_left: Duration::ZERO,
    }
}

fn draining(id: &str) -> Engine {
    Engine {
        draining: true,
        ..engine(id, 1)
    }
}

/// A directory that was read at time zero.
fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::new(OUTAGE_THRESHOLD);
    directory.record_read(Duration::ZERO);
    directory.replace(ids.iter().map(|it| engine(it, 1)).collect(), Duration::ZERO);
    directory
}

fn available(directory: &Directory, now: Duration) -> Vec<Upstream> {
    let available: Vec<_> = directory.available("pool", now).map(|it| it.id.clone()).collect();
    for engine in directory.engines() {
        let is_available = directory.is_available(engine, now);
        assert_eq!(is_available, available.contains(&engine.id), "{}", engine.id);
    }
    available
}

#[test]
fn draining_engine_is_not_available() {
    let mut directory = directory(&["x", "y"]);
    directory.apply(&"x".into(), Some(draining("x")), SECOND);
    assert_eq!(available(&directory, SECOND), ["y".into()]);
}

/// Guards against a request that chose a run of an engine which has ended since.
#[test]
fn earlier_run_is_not_available() {
    let mut directory = directory(&["x"]);
    let earlier = engine("x", 1);
    directory.apply(&"x".into(), Some(engine("x", 2)), SECOND);
    assert!(!directory.is_available(&earlier, SECOND));
    directory.apply(&"x".into(), None, SECOND);
    assert!(!directory.is_available(&engine("x", 2), SECOND));
}

/// Guards against other nodes that keep an engine which the reader of the registry has evicted before it read the whole
/// registry.
#[test]
fn replacement_reports_what_others_may_have() {
    let mut directory = directory(&["a", "b", "c", "evicted"]);
    directory.evict("evicted", 1, SECOND);
    let engines = vec![engine("a", 1), engine("b", 2), engine("new", 1)];
    let changed = directory.replace(engines, SECOND);
    assert_eq!(changed, ["b", "c", "evicted", "new"].map(Upstream::from));
}

#[test]
fn removed_engine_is_not_available() {
    let mut directory = directory(&["x", "y"]);
    directory.record_read(SECOND);
    directory.apply(&"x".into(), None, SECOND);
    assert_eq!(available(&directory, SECOND), ["y".into()]);
}

#[test]
fn engine_with_an_unreadable_entry_is_not_available() {
    let mut directory = directory(&["x"]);
    directory.apply(&"x".into(), None, SECOND);
    assert!(available(&directory, SECOND).is_empty());
}

#[test]
fn entry_that_expired_in_an_outage_may_be_renewed() {
    let mut directory = directory(&["x"]);
    let recovery = SECOND * 9;
    directory.record_read(recovery);
    directory.apply(&"x".into(), None, recovery);
    assert_eq!(available(&directory, recovery + SECOND), ["x".into()]);
    directory.apply(&"x".into(), Some(engine("x", 1)), recovery + SECOND);
    assert_eq!(available(&directory, recovery + RENEWAL_GRACE), ["x".into()]);
}

#[test]
fn entry_that_is_not_renewed_after_an_outage_is_removed() {
    let mut directory = directory(&["x"]);
    let recovery = SECOND * 9;
    directory.record_read(recovery);
    directory.replace(vec![], recovery);
    assert!(available(&directory, recovery + RENEWAL_GRACE).is_empty());
    directory.record_read(recovery + RENEWAL_GRACE);
    assert_eq!(directory.engines().count(), 0);
}

#[test]
fn drained_engine_is_not_available_after_an_outage() {
    let mut directory = directory(&["x"]);
    directory.apply(&"x".into(), Some(draining("x")), SECOND);
    directory.record_read(SECOND * 9);
    directory.apply(&"x".into(), None, SECOND * 9);
    assert!(available(&directory, SECOND * 9).is_empty());
}

#[test]
fn late_record_of_an_earlier_run_has_no_effect() {
    let mut directory = directory(&[]);
    directory.apply(&"x".into(), Some(engine("x", 2)), SECOND);
    assert!(!directory.apply(&"x".into(), Some(engine("x", 1)), SECOND));
    assert_eq!(directory.engine("x").map(|it| it.started_ms), Some(2));
}

#[test]
fn eviction_of_an_earlier_run_does_not_remove_the_current_one() {
    let mut directory = directory(&[]);
    directory.apply(&"x".into(), Some(engine("x", 2)), SECOND);
    directory.evict("x", 1, SECOND);
    assert_eq!(available(&directory, SECOND).len(), 1);
    directory.evict("x", 2, SECOND);
    assert!(available(&directory, SECOND).is_empty());
}

/// Guards against an engine that stays unused because it was evicted by mistake and no other node lists it
/// again.
#[test]
fn recent_eviction_is_reported() {
    let mut directory = directory(&[]);
    directory.apply(&"x".into(), Some(engine("x", 1)), SECOND);
    assert!(!directory.has_evicted_within(SECOND, SECOND));
    directory.evict("x", 1, SECOND);
    assert!(directory.has_evicted_within(SECOND, SECOND));
    assert!(!directory.has_evicted_within(SECOND * 2, SECOND));
}

/// Guards against an outage that is assumed because a relayed read was older than the last read of this node.
#[test]
fn older_relayed_read_is_no_outage() {
    let mut directory = directory(&[]);
    directory.apply(&"x".into(), Some(engine("x", 1)), SECOND);
    directory.record_read(SECOND * 2);
    directory.record_read(SECOND / 2);
    directory.record_read(SECOND * 3);
    directory.apply(&"x".into(), None, SECOND * 3);
    assert!(directory.engine("x").is_none());
}

/// Guards against engines that are given up because the copy of the registry is older than their entries.
#[test]
fn engine_that_a_restored_registry_lacks_may_renew_its_entry() {
    let mut directory = directory(&["a", "b"]);
    (1..=5).for_each(|it| directory.record_read(SECOND * it));
    directory.restore(vec![engine("a", 1)], SECOND * 5);
    directory.record_read(SECOND * 6);
    assert_eq!(available(&directory, SECOND * 6), ["a".into(), "b".into()]);
    directory.record_read(SECOND * 5 + RENEWAL_GRACE);
    assert_eq!(available(&directory, SECOND * 5 + RENEWAL_GRACE), ["a".into()]);
}

/// Guards against requests to an engine whose leaving the registry has forgotten.
#[test]
fn engines_that_left_do_not_return_with_a_restored_registry() {
    let mut directory = directory(&["a", "b", "c"]);
    directory.apply(&"a".into(), Some(draining("a")), SECOND * 3);
    directory.apply(&"b".into(), None, SECOND * 3);
    let copy = ["a", "b", "c"].map(|it| engine(it, 1));
    directory.restore(copy.to_vec(), SECOND * 5);
    assert_eq!(available(&directory, SECOND * 5), ["c".into()]);
    // An entry that is written again shows that the engine runs after all.
    directory.apply(&"b".into(), Some(engine("b", 1)), SECOND * 6);
    assert_eq!(available(&directory, SECOND * 6), ["b".into(), "c".into()]);
}
