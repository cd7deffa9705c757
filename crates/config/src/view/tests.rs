//! Guards against routing a request to a version that is withdrawn or not allowed.

use std::time::Instant;

use model::object::Kind;
use model::refusal::Reason;
use serde_json::{Value, json};

use super::{View, hash_key};
use crate::state::State;
use crate::tests::{BEARER, edited, key_hash, state_of, valid};

fn view(edits: &[(&str, Value)]) -> View {
    View::new(&state_of(edited(edits)))
}

/// Names of the candidates, with `*` after those that a roll-out may replace, or the reason of the refusal.
fn candidates(view: &View, requested: &str) -> Result<Vec<String>, Reason> {
    let organisation = view.organisation_by_key(&hash_key(BEARER)).unwrap();
    let list = view
        .candidates(organisation, requested)
        .map_err(|it| it.reason)?
        .list;
    let text = |it: super::Candidate| {
        format!(
            "{}{}",
            it.version.name,
            if it.rollout.is_some() { "*" } else { "" }
        )
    };
    Ok(list.into_iter().map(text).collect())
}

macro_rules! cases {
    ($($name:ident: $requested:literal, [$(($key:literal, $edit:tt)),*] => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let view = view(&[$(($key, json!($edit))),*]);
            let expected: Result<Vec<&str>, Reason> = $expected;
            let expected = expected.map(|it| it.into_iter().map(str::to_owned).collect());
            assert_eq!(candidates(&view, $requested), expected);
        })*
    };
}

cases! {
    model_with_rollout: "small", [] => Ok(vec!["small-1*"]);
    model_without_rollout: "small", [("rollout/next", {"state": "halted"})] => Ok(vec!["small-1"]);
    version_ignores_rollout: "small-1", [] => Ok(vec!["small-1"]);
    cascade: "both", [] => Ok(vec!["small-1*", "large-1"]);
    nested_cascade: "outer", [("cascade/outer", {"steps": [{"version": "small-2"}, {"cascade": "both"},
        {"version": "large-1"}]}), ("organisation/acme", {"cascades": ["outer"]})]
        => Ok(vec!["small-2", "small-1*", "large-1"]);
    single_version_of_model: "large", [] => Ok(vec!["large-1"]);
    unknown: "none", [] => Err(Reason::UnknownName);
    version_not_allowed: "large-1", [("organisation/acme", {"versions": []})] => Err(Reason::NotAllowed);
    cascade_not_allowed: "both", [("organisation/acme", {"cascades": []})] => Err(Reason::NotAllowed);
    cascade_omits_versions_not_allowed: "both", [("organisation/acme", {"versions": []})]
        => Ok(vec!["small-1*"]);
    withdrawn_version: "small-2", [("version/small-2", {"state": "withdrawn"}),
        ("rollout/next", {"state": "halted"})] => Err(Reason::VersionWithdrawn);
    cascade_omits_withdrawn_versions: "both", [
        ("cascade/both", {"steps": [{"version": "small-2"}, {"model": "large"}]}),
        ("version/small-2", {"state": "withdrawn"}), ("rollout/next", {"state": "halted"})]
        => Ok(vec!["large-1"]);
    rollout_to_version_not_allowed: "small", [("organisation/acme", {"models": [], "versions": ["small-1"]})]
        => Ok(vec!["small-1"]);
}

#[test]
fn pinned_session_ends_with_the_withdrawal_of_its_version() {
    let withdrawn = [
        ("version/small-2", json!({"state": "withdrawn"})),
        ("rollout/next", json!({"state": "halted"})),
    ];
    for (edits, expected) in [(&[][..], None), (&withdrawn, Some(Reason::VersionWithdrawn))] {
        let view = view(edits);
        let organisation = view.organisation_by_key(&hash_key(BEARER)).unwrap();
        assert_eq!(
            view.pinned(organisation, "small-2").err().map(|it| it.reason),
            expected
        );
        assert_eq!(view.is_withdrawn("small-2"), expected.is_some());
    }
}

#[test]
fn unknown_key_is_unauthorised() {
    let view = view(&[]);
    assert_eq!(
        view.organisation_by_key(&hash_key("guess")).unwrap_err().reason,
        Reason::Unauthorised
    );
}

#[test]
fn service_calls() {
    let view = view(&[]);
    let acme = view.organisation_by_name("acme").unwrap();
    let other = view.organisation_by_name("other").unwrap();
    let call = |organisation, service, method, path| {
        view.service_call(organisation, service, method, path)
            .map(|it| it.call.path.clone())
            .map_err(|it| it.reason)
    };
    assert_eq!(call(acme, "stock", "GET", "/items/7"), Ok("/items".to_owned()));
    assert_eq!(
        call(acme, "stock", "DELETE", "/items/7"),
        Err(Reason::UnknownName)
    );
    assert_eq!(call(acme, "none", "GET", "/items"), Err(Reason::UnknownName));
    assert_eq!(call(other, "stock", "GET", "/items"), Err(Reason::NotAllowed));
}

#[test]
fn requestable_names() {
    let view = view(&[]);
    let acme = view.organisation_by_name("acme").unwrap();
    let names: Vec<_> = view
        .requestable(acme)
        .into_iter()
        .map(|(name, _)| name.to_string())
        .collect();
    assert_eq!(names, ["both", "large", "large-1", "small", "small-1", "small-2"]);
    assert_eq!(view.requestable(view.organisation_by_name("other").unwrap()), []);
    assert_eq!(view.candidates(acme, "both").unwrap().kind, Kind::Cascade);
}

#[test]
fn lookup_time_does_not_grow_with_organisations() {
    // Guards against a lookup that scans all organisations. The factor allows for cache misses and noise.
    let small = lookup_time(10);
    let large = lookup_time(1000);
    println!("lookup: {small:.0} ns at 10 organisations, {large:.0} ns at 1,000");
    assert!(
        large < 5.0 * small + 300.0,
        "{small} ns at 10 organisations, {large} ns at 1,000"
    );
}

fn lookup_time(organisations: usize) -> f64 {
    let mut objects = valid();
    for index in 0..organisations {
        let extra = json!({"kind": "organisation", "name": format!("o{index}"), "weight": 1,
            "quality_permille": 0, "key_hashes": [key_hash(&format!("k{index}"))],
            "models": ["small", "large"], "cascades": ["both"]});
        objects.push(crate::tests::object(extra));
    }
    let state: State = state_of(objects);
    let start = Instant::now();
    let view = View::new(&state);
    println!(
        "view of {organisations} organisations built in {:?}",
        start.elapsed()
    );
    let keys: Vec<_> = (0..organisations).map(|it| hash_key(&format!("k{it}"))).collect();
    let best = (0..5).map(|_| {
        let start = Instant::now();
        for key in keys.iter().cycle().take(10_000) {
            let organisation = view.organisation_by_key(key).unwrap();
            std::hint::black_box(view.candidates(organisation, "both").unwrap());
        }
        start.elapsed().as_nanos() as f64 / 10_000.0
    });
    best.fold(f64::MAX, f64::min)
}
