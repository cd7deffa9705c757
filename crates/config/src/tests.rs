//! Shared test fixtures: a small valid configuration in the JSON form that operators write.

use std::collections::BTreeMap;

use model::Object;
use model::object::Key;
use serde_json::{Value, json};

use crate::record::{Change, Proposal, ProposalId, Record, parse_key};
use crate::state::{ApplyResult, State};

/// Bearer key of organisation `acme`.
pub const BEARER: &str = "secret-of-acme";

pub fn object(value: Value) -> Object {
    serde_json::from_value(value).unwrap()
}

pub fn key(text: &str) -> Key {
    parse_key(text).unwrap()
}

pub fn key_hash(bearer: &str) -> String {
    hex::encode(crate::view::hash_key(bearer))
}

/// Two models of which `small` has two versions and `large` one, a cascade, a pool of each role and a
/// service.
pub fn valid() -> Vec<Object> {
    let version = |name: &str, model: &str| {
        json!({"kind": "version", "name": name, "model": model, "pool": "gpu", "state": "live",
            "input_price": 10, "output_price": 30})
    };
    let list = [
        json!({"kind": "organisation", "name": "acme", "key_hashes": [key_hash(BEARER)], "models": ["small"],
            "versions": ["large-1"], "cascades": ["both"], "services": ["stock"], "weight": 10,
            "quality_permille": 900}),
        json!({"kind": "organisation", "name": "other", "weight": 1, "quality_permille": 0}),
        json!({"kind": "model", "name": "small", "default_version": "small-1"}),
        json!({"kind": "model", "name": "large", "default_version": "large-1"}),
        version("small-1", "small"),
        version("small-2", "small"),
        version("large-1", "large"),
        json!({"kind": "cascade", "name": "both", "steps": [{"model": "small"}, {"version": "large-1"}]}),
        json!({"kind": "rollout", "name": "next", "model": "small", "from": "small-1", "to": "small-2",
            "stages": [10, 200, 1000], "stage": 0, "state": "running", "exposure_budget": 50}),
        json!({"kind": "pool", "name": "gpu", "role": "engine", "fencing": "checked", "concurrency": 8}),
        json!({"kind": "pool", "name": "shop", "role": "service", "fencing": "ignored", "concurrency": 8}),
        json!({"kind": "service", "name": "stock", "pool": "shop", "calls": [
            {"method": "GET", "path": "/items", "repeat": "idempotent"},
            {"method": "POST", "path": "/holds", "repeat": "non-idempotent"}]}),
    ];
    list.into_iter().map(object).collect()
}

/// The configuration of [`valid`] with some fields replaced; `null` removes the object.
pub fn edited(edits: &[(&str, Value)]) -> Vec<Object> {
    let mut objects: BTreeMap<Key, Value> = valid()
        .iter()
        .map(|it| (it.key(), serde_json::to_value(it).unwrap()))
        .collect();
    for (name, edit) in edits {
        let key = key(name);
        if edit.is_null() {
            objects.remove(&key);
            continue;
        }
        let empty = json!({"kind": key.kind, "name": key.name});
        let target = objects.entry(key).or_insert(empty);
        for (field, value) in edit.as_object().unwrap() {
            target[field] = value.clone();
        }
    }
    objects.into_values().map(object).collect()
}

pub fn puts(objects: Vec<Object>) -> Vec<Change> {
    objects.into_iter().map(Change::Put).collect()
}

/// A proposal whose base revisions are those of `state`.
pub fn proposal(state: &State, id: u128, changes: Vec<Change>) -> Proposal {
    let base = changes
        .iter()
        .map(Change::key)
        .map(|it| (it.clone(), state.revision_of(&it)));
    Proposal {
        id: ProposalId::from_bits(id),
        author: "test".to_owned(),
        base: base.collect(),
        changes,
    }
}

pub fn append(state: &mut State, proposal: Proposal) -> ApplyResult {
    state.apply(state.revision(), &Record::Proposal(proposal).to_bytes())
}

pub fn state_of(objects: Vec<Object>) -> State {
    let mut state = State::new();
    let first = proposal(&state, 1, puts(objects));
    assert_eq!(append(&mut state, first), ApplyResult::Accepted);
    state
}
