//! Guards against nodes that disagree: repeated, conflicting and invalid proposals, gaps, and snapshots that lose
//! something.

use serde_json::json;

use super::{RECENT_PROPOSALS, State, Verdict};
use crate::record::{Change, Id, Outcome, Record};
use crate::tests::{append, edited, key, proposal, puts, state_of, valid};

fn pool(state: &State, id: u128, concurrency: u32) -> crate::record::Proposal {
    let mut objects = edited(&[("pool/gpu", json!({"concurrency": concurrency}))]);
    objects.retain(|it| it.key() == key("pool/gpu"));
    proposal(state, id, puts(objects))
}

#[test]
fn first_of_two_conflicting_proposals_wins() {
    let mut state = state_of(valid());
    let (first, second) = (pool(&state, 2, 5), pool(&state, 3, 6));
    assert_eq!(append(&mut state, first), Verdict::Accepted);
    assert_eq!(
        append(&mut state, second),
        Verdict::Conflict(vec![key("pool/gpu")])
    );
    assert_eq!(state.revision_of(&key("pool/gpu")), 2);
    assert_eq!(state.revision(), 3);
}

#[test]
fn repeated_append_counts_once() {
    let mut state = state_of(valid());
    let first = pool(&state, 2, 5);
    assert_eq!(append(&mut state, first.clone()), Verdict::Accepted);
    assert_eq!(append(&mut state, first), Verdict::Repeated(Outcome::Accepted));
    assert_eq!(state.revision_of(&key("pool/gpu")), 2);
}

#[test]
fn rejected_proposal_stays_rejected_when_repeated() {
    // The id of a rejected proposal must be remembered too: its repetition could otherwise succeed later, after
    // the publisher was told that it failed.
    let mut state = state_of(valid());
    let broken = proposal(&state, 2, vec![Change::Delete(key("pool/gpu"))]);
    assert!(matches!(append(&mut state, broken.clone()), Verdict::Invalid(faults) if faults.len() == 3));
    assert_eq!(append(&mut state, broken), Verdict::Repeated(Outcome::Invalid));
}

#[test]
fn base_of_unchanged_object_is_compared() {
    let mut state = state_of(valid());
    let mut late = pool(&state, 3, 6);
    late.base.insert(key("model/small"), 1);
    let model = edited(&[])
        .into_iter()
        .find(|it| it.key() == key("model/small"))
        .unwrap();
    let other = proposal(&state, 2, vec![Change::Put(model)]);
    assert_eq!(append(&mut state, other), Verdict::Accepted);
    assert_eq!(
        append(&mut state, late),
        Verdict::Conflict(vec![key("model/small")])
    );
}

#[test]
fn missing_base_means_absent() {
    let mut state = state_of(valid());
    let mut blind = pool(&state, 2, 5);
    blind.base.clear();
    assert_eq!(
        append(&mut state, blind),
        Verdict::Conflict(vec![key("pool/gpu")])
    );
}

#[test]
fn old_records_are_skipped_and_gaps_refused() {
    let mut state = state_of(valid());
    let before = state.clone();
    assert_eq!(state.apply(0, b"{}"), Verdict::Skipped);
    assert_eq!(state.apply(2, b"{}"), Verdict::Gap);
    assert_eq!(state, before);
}

#[test]
fn malformed_record_only_takes_an_offset() {
    let mut state = state_of(valid());
    let objects = state.objects().clone();
    assert_eq!(state.apply(1, b"{\"proposal\":{}}"), Verdict::Malformed);
    assert_eq!((state.revision(), state.objects()), (2, &objects));
    assert_eq!(state.apply(2, &state.to_snapshot()), Verdict::Snapshot);
    assert_eq!((state.revision(), state.objects()), (3, &objects));
}

#[test]
fn snapshot_holds_everything() {
    let mut state = state_of(valid());
    let change = pool(&state, 2, 5);
    append(&mut state, change);
    let broken = proposal(&state, 3, vec![Change::Delete(key("pool/gpu"))]);
    append(&mut state, broken);
    let copy = State::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(copy, state);
    assert_eq!(copy.outcome(Id::from_bits(3)), Some(Outcome::Invalid));
}

macro_rules! refused_snapshots {
    ($($name:ident: $json:tt => $error:literal;)*) => {
        $(#[test]
        fn $name() {
            let error = State::from_snapshot(json!($json).to_string().as_bytes()).unwrap_err();
            assert_eq!(error.to_string(), $error);
        })*
    };
}

refused_snapshots! {
    snapshot_with_duplicate: {"snapshot": {"revision": 9, "state": {"proposals": "", "objects": [
        {"revision": 1, "object": {"kind": "model", "name": "m", "default_version": "v"}},
        {"revision": 2, "object": {"kind": "model", "name": "m", "default_version": "v"}}]}}}
        => "model/m appears twice in the snapshot";
    snapshot_from_the_future: {"snapshot": {"revision": 9, "state": {"proposals": "", "objects": [
        {"revision": 10, "object": {"kind": "model", "name": "m", "default_version": "v"}}]}}}
        => "model/m has a revision outside of the snapshot";
    snapshot_with_broken_id: {"snapshot": {"revision": 9, "state": {"proposals": "2aa", "objects": []}}}
        => "the record is malformed: a folded proposal has 32 hexadecimal digits and 'a', 'c' or 'i' at line 1 column 66";
    proposal_as_snapshot: {"proposal": {"id": "000000000000000000000000000000ff", "author": "a", "base": {},
        "changes": []}} => "the record is no snapshot";
}

#[test]
fn only_recent_ids_are_remembered() {
    // Guards against memory that grows with the log. The ids come from a snapshot, since that is faster.
    let folded = (1..=RECENT_PROPOSALS as u128 + 1).map(|it| format!("{}a", Id::from_bits(it)));
    let folded: String = folded.collect();
    let state = json!({"snapshot": {"revision": 9, "state": {"objects": [], "proposals": folded}}});
    let state = State::from_snapshot(state.to_string().as_bytes()).unwrap();
    assert_eq!(state.outcome(Id::from_bits(1)), None);
    assert_eq!(state.outcome(Id::from_bits(2)), Some(Outcome::Accepted));
    assert_eq!(state.recent.iter().count(), RECENT_PROPOSALS);
    assert!(Record::parse(&state.to_snapshot()).is_ok());
}

#[test]
fn preview_agrees_with_apply() {
    let mut state = state_of(valid());
    let good = pool(&state, 2, 5);
    assert_eq!(state.preview(&good), Verdict::Accepted);
    append(&mut state, good.clone());
    assert_eq!(state.preview(&good), Verdict::Repeated(Outcome::Accepted));
    let conflict = pool(&State::new(), 3, 5);
    assert_eq!(state.preview(&conflict), append(&mut state, conflict));
}
