//! Guards against nodes that diverge after repeated, conflicting or invalid proposals, gaps, or snapshots
//! that lose state.

use serde_json::json;

use super::{ApplyResult, RECENT_PROPOSALS, State};
use crate::record::{Change, Outcome, ProposalId, Record};
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
    assert_eq!(append(&mut state, first), ApplyResult::Accepted);
    assert_eq!(
        append(&mut state, second),
        ApplyResult::Conflict(vec![key("pool/gpu")])
    );
    assert_eq!(state.revision_of(&key("pool/gpu")), 2);
    assert_eq!(state.revision(), 3);
}

#[test]
fn repeated_append_takes_effect_once() {
    let mut state = state_of(valid());
    let first = pool(&state, 2, 5);
    assert_eq!(append(&mut state, first.clone()), ApplyResult::Accepted);
    assert_eq!(
        append(&mut state, first),
        ApplyResult::Repeated(Outcome::Accepted)
    );
    assert_eq!(state.revision_of(&key("pool/gpu")), 2);
}

#[test]
fn rejected_proposal_stays_rejected_when_repeated() {
    // Guards against a rejected proposal that takes effect when it is appended again, after its publisher was
    // told that it failed. The ids of rejected proposals must therefore be kept too.
    let mut state = state_of(valid());
    let broken = proposal(&state, 2, vec![Change::Delete(key("pool/gpu"))]);
    assert!(matches!(append(&mut state, broken.clone()), ApplyResult::Invalid(errors) if errors.len() == 3));
    assert_eq!(
        append(&mut state, broken),
        ApplyResult::Repeated(Outcome::Invalid)
    );
}

#[test]
fn change_of_an_unchanged_object_in_the_base_conflicts() {
    let mut state = state_of(valid());
    let mut late = pool(&state, 3, 6);
    late.base.insert(key("model/small"), 1);
    let model = edited(&[])
        .into_iter()
        .find(|it| it.key() == key("model/small"))
        .unwrap();
    let other = proposal(&state, 2, vec![Change::Put(model)]);
    assert_eq!(append(&mut state, other), ApplyResult::Accepted);
    assert_eq!(
        append(&mut state, late),
        ApplyResult::Conflict(vec![key("model/small")])
    );
}

#[test]
fn missing_base_means_absent() {
    let mut state = state_of(valid());
    let mut without_base = pool(&state, 2, 5);
    without_base.base.clear();
    assert_eq!(
        append(&mut state, without_base),
        ApplyResult::Conflict(vec![key("pool/gpu")])
    );
}

#[test]
fn old_records_are_skipped_and_gaps_refused() {
    let mut state = state_of(valid());
    let before = state.clone();
    assert_eq!(state.apply(0, b"{}"), ApplyResult::Skipped);
    assert_eq!(state.apply(2, b"{}"), ApplyResult::Gap);
    assert_eq!(state, before);
}

#[test]
fn malformed_record_only_advances_the_revision() {
    let mut state = state_of(valid());
    let objects = state.objects().clone();
    assert_eq!(state.apply(1, b"{\"proposal\":{}}"), ApplyResult::Malformed);
    assert_eq!((state.revision(), state.objects()), (2, &objects));
    assert_eq!(state.apply(2, &state.to_snapshot()), ApplyResult::Snapshot);
    assert_eq!((state.revision(), state.objects()), (3, &objects));
}

#[test]
fn snapshot_round_trip_preserves_the_state() {
    let mut state = state_of(valid());
    let change = pool(&state, 2, 5);
    append(&mut state, change);
    let broken = proposal(&state, 3, vec![Change::Delete(key("pool/gpu"))]);
    append(&mut state, broken);
    let copy = State::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(copy, state);
    assert_eq!(copy.outcome(ProposalId::from_bits(3)), Some(Outcome::Invalid));
}

macro_rules! invalid_snapshots {
    ($($name:ident: $json:tt => $error:literal;)*) => {
        $(#[test]
        fn $name() {
            let error = State::from_snapshot(json!($json).to_string().as_bytes()).unwrap_err();
            assert_eq!(error.to_string(), $error);
        })*
    };
}

invalid_snapshots! {
    snapshot_with_duplicate_key: {"snapshot": {"revision": 9, "state": {"proposals": "", "objects": [
        {"revision": 1, "object": {"kind": "model", "name": "m", "default_version": "v"}},
        {"revision": 2, "object": {"kind": "model", "name": "m", "default_version": "v"}}]}}}
        => "model/m appears twice in the snapshot";
    object_revision_above_that_of_the_snapshot: {"snapshot": {"revision": 9, "state": {"proposals": "",
        "objects": [
        {"revision": 10, "object": {"kind": "model", "name": "m", "default_version": "v"}}]}}}
        => "model/m has a revision of zero or above that of the snapshot";
    snapshot_with_malformed_id: {"snapshot": {"revision": 9, "state": {"proposals": "2aa", "objects": []}}}
        => "malformed record: a proposal outcome must be 32 hexadecimal digits followed by 'a', 'c' or 'i' \
            at line 1 column 66";
    proposal_as_snapshot: {"proposal": {"id": "000000000000000000000000000000ff", "author": "a", "base": {},
        "changes": []}} => "the record is not a snapshot";
}

#[test]
fn only_recent_proposals_are_kept() {
    // Guards against memory use that grows with the log. The ids are loaded from a snapshot to keep the test
    // fast.
    let outcomes = (1..=RECENT_PROPOSALS as u128 + 1).map(|it| format!("{}a", ProposalId::from_bits(it)));
    let outcomes: String = outcomes.collect();
    let state = json!({"snapshot": {"revision": 9, "state": {"objects": [], "proposals": outcomes}}});
    let state = State::from_snapshot(state.to_string().as_bytes()).unwrap();
    assert_eq!(state.outcome(ProposalId::from_bits(1)), None);
    assert_eq!(state.outcome(ProposalId::from_bits(2)), Some(Outcome::Accepted));
    assert_eq!(state.recent_proposals.iter().count(), RECENT_PROPOSALS);
    assert!(Record::parse(&state.to_snapshot()).is_ok());
}

#[test]
fn preview_agrees_with_apply() {
    let mut state = state_of(valid());
    let good = pool(&state, 2, 5);
    assert_eq!(state.preview(&good), ApplyResult::Accepted);
    append(&mut state, good.clone());
    assert_eq!(state.preview(&good), ApplyResult::Repeated(Outcome::Accepted));
    let conflict = pool(&State::new(), 3, 5);
    assert_eq!(state.preview(&conflict), append(&mut state, conflict));
}
