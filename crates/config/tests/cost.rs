//! Guards against slow changes and large snapshots at 1,000 organisations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use config::record::{Change, Proposal, ProposalId, Record};
use config::state::{ApplyResult, RECENT_PROPOSALS, State};
use config::view::View;
use model::Object;
use serde_json::json;

/// At this duration, 26,000 changes a day take 1% of a core. Unoptimised builds on busy machines take up to 9
/// ms.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(33);

fn object(value: serde_json::Value) -> Object {
    serde_json::from_value(value).expect("a valid object")
}

/// 14 models with two versions each, and 1,000 organisations that may use all models.
fn objects() -> Vec<Object> {
    let mut list = vec![
        json!({"kind": "pool", "name": "gpu", "role": "engine", "fencing": "checked", "concurrency": 8}),
        json!({"kind": "pool", "name": "spare", "role": "engine", "fencing": "checked", "concurrency": 8}),
    ];
    let models: Vec<_> = (0..14).map(|it| format!("model-{it}")).collect();
    for model in &models {
        list.push(json!({"kind": "model", "name": model, "default_version": format!("{model}.1")}));
        list.extend((1..3).map(|it| {
            json!({"kind": "version", "name": format!("{model}.{it}"), "model": model, "pool": "gpu",
                "state": "live", "input_price": 10, "output_price": 30})
        }));
    }
    list.extend((0..1000).map(|it| {
        let hash = hex::encode(config::view::hash_key(&format!("key-{it}")));
        json!({"kind": "organisation", "name": format!("organisation-{it}"), "key_hashes": [hash],
            "models": models, "weight": 10, "quality_permille": 900})
    }));
    list.into_iter().map(object).collect()
}

fn proposal(state: &State, id: u128, objects: Vec<Object>) -> Vec<u8> {
    let base: BTreeMap<_, _> = objects
        .iter()
        .map(|it| (it.key(), state.revision_of(&it.key())))
        .collect();
    let proposal = Proposal {
        id: ProposalId::from_bits(id),
        author: "test".to_owned(),
        base,
        changes: objects.into_iter().map(Change::Put).collect(),
    };
    Record::Proposal(proposal).to_bytes()
}

#[test]
fn change_at_1000_organisations() {
    let mut state = State::new();
    let first = proposal(&state, 0, objects());
    assert_eq!(state.apply(0, &first), ApplyResult::Accepted);
    let mut applies = Vec::new();
    let mut views = Vec::new();
    for id in 1..=50_u64 {
        let spare = json!({"kind": "pool", "name": "spare", "role": "engine", "fencing": "checked",
            "concurrency": id});
        let payload = proposal(&state, id.into(), vec![object(spare)]);
        let start = Instant::now();
        assert_eq!(state.apply(id, &payload), ApplyResult::Accepted);
        applies.push(start.elapsed());
        let start = Instant::now();
        std::hint::black_box(View::new(&state));
        views.push(start.elapsed());
    }
    applies.sort_unstable();
    views.sort_unstable();
    println!(
        "1,000 organisations: applying a change {:?}, building the view {:?} (medians)",
        applies[25], views[25]
    );
    println!(
        "1,000 organisations: snapshot without ids {} bytes",
        state.to_snapshot().len()
    );
    assert!(applies[25] + views[25] < MAX_CHANGE_TIME);
}

#[test]
fn snapshot_with_all_proposal_ids() {
    let outcomes = (0..RECENT_PROPOSALS as u128).map(|it| format!("{}a", ProposalId::from_bits(it)));
    let outcomes: String = outcomes.collect();
    let state =
        json!({"snapshot": {"revision": 9, "state": {"objects": [], "proposals": outcomes}}}).to_string();
    let start = Instant::now();
    let state = State::from_snapshot(state.as_bytes()).unwrap();
    let read = start.elapsed();
    let start = Instant::now();
    let payload = state.to_snapshot();
    println!(
        "{RECENT_PROPOSALS} ids: {} bytes, read in {read:?}, written in {:?}",
        payload.len(),
        start.elapsed()
    );
    // Together with 0.4 MB for 1,000 organisations, this stays below the 4 MiB that gRPC accepts by default.
    assert!(payload.len() < 3_500_000);
}
