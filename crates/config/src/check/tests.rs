//! Guards against accepting an invalid configuration, and against reporting an error for the wrong object.

use serde_json::{Value, json};

use super::check;
use crate::tests::{edited, key_hash, valid};

macro_rules! cases {
    ($($name:ident: [$(($key:literal, $edit:tt)),*] => [$($error:literal),*];)*) => {
        $(#[test]
        fn $name() {
            let edits: &[(&str, Value)] = &[$(($key, json!($edit))),*];
            let errors: Vec<_> = check(&edited(edits)).iter().map(ToString::to_string).collect();
            let expected: &[&str] = &[$($error),*];
            assert_eq!(errors, expected);
        })*
    };
}

cases! {
    valid_configuration: [] => [];
    dangling_default: [("model/small", {"default_version": "gone"}), ("rollout/next", {"state": "halted"})]
        => ["model/small: version/gone does not exist"];
    deleted_model: [("model/large", null)] => ["version/large-1: model/large does not exist"];
    deleted_version: [("version/large-1", null)] => [
        "organisation/acme: version/large-1 does not exist",
        "model/large: version/large-1 does not exist",
        "cascade/both: version/large-1 does not exist"];
    deleted_cascade: [("cascade/both", null)] => ["organisation/acme: cascade/both does not exist"];
    deleted_pool: [("pool/shop", null)] => ["service/stock: pool/shop does not exist"];
    deleted_service: [("service/stock", null)] => ["organisation/acme: service/stock does not exist"];
    default_of_other_model: [("model/large", {"default_version": "small-2"})]
        => ["model/large: version small-2 belongs to another model"];
    withdrawn_default: [("version/large-1", {"state": "withdrawn"})]
        => ["model/large: version large-1 is withdrawn"];
    cycle_of_two: [("cascade/a", {"steps": [{"cascade": "b"}]}), ("cascade/b", {"steps": [{"cascade": "a"}]})]
        => ["cascade/a: the cascade contains itself", "cascade/b: the cascade contains itself"];
    cycle_of_one: [("cascade/both", {"steps": [{"cascade": "both"}]})]
        => ["cascade/both: the cascade contains itself"];
    nested_twice_without_cycle: [("cascade/a", {"steps": [{"cascade": "both"}, {"cascade": "b"}]}),
        ("cascade/b", {"steps": [{"cascade": "both"}]})] => [];
    cascade_without_steps: [("cascade/both", {"steps": []})]
        => ["cascade/both: a cascade must have at least one step"];
    rollout_to_withdrawn: [("version/small-2", {"state": "withdrawn"})]
        => ["rollout/next: version small-2 is withdrawn"];
    halted_rollout_to_withdrawn: [("version/small-2", {"state": "withdrawn"}),
        ("rollout/next", {"state": "halted"})] => [];
    rollout_across_models: [("rollout/next", {"to": "large-1"})]
        => ["rollout/next: version large-1 belongs to another model"];
    rollout_from_other_than_default: [("model/small", {"default_version": "small-2"})]
        => ["rollout/next: version small-1 is not the default version of the model"];
    rollout_to_itself: [("rollout/next", {"to": "small-1"})]
        => ["rollout/next: a roll-out must name two different versions"];
    stages_descend: [("rollout/next", {"stages": [200, 10, 1000]})]
        => ["rollout/next: stages must increase strictly, from at least 1 to exactly 1000"];
    stages_repeat: [("rollout/next", {"stages": [10, 10, 1000]})]
        => ["rollout/next: stages must increase strictly, from at least 1 to exactly 1000"];
    stages_end_early: [("rollout/next", {"stages": [10, 999]})]
        => ["rollout/next: stages must increase strictly, from at least 1 to exactly 1000"];
    stages_start_at_zero: [("rollout/next", {"stages": [0, 1000]})]
        => ["rollout/next: stages must increase strictly, from at least 1 to exactly 1000"];
    no_stages: [("rollout/next", {"stages": []})] => [
        "rollout/next: stages must increase strictly, from at least 1 to exactly 1000",
        "rollout/next: stage 0 does not exist"];
    stage_out_of_range: [("rollout/next", {"stage": 3})] => ["rollout/next: stage 3 does not exist"];
    zero_exposure_budget: [("rollout/next", {"exposure_budget": 0})]
        => ["rollout/next: exposure_budget must be at least 1"];
    two_running_rollouts: [("rollout/other", {"model": "small", "from": "small-1", "to": "small-2",
        "stages": [1000], "stage": 0, "state": "running", "exposure_budget": 1})]
        => ["rollout/other: roll-out next of the same model is already running"];
    weight_zero: [("organisation/acme", {"weight": 0})]
        => ["organisation/acme: weight 0 is not between 1 and 1000"];
    weight_high: [("organisation/acme", {"weight": 1001})]
        => ["organisation/acme: weight 1001 is not between 1 and 1000"];
    quality_high: [("organisation/acme", {"quality_permille": 1001})]
        => ["organisation/acme: quality_permille 1001 is greater than 1000"];
    concurrency_zero: [("pool/gpu", {"concurrency": 0})]
        => ["pool/gpu: concurrency 0 is not between 1 and 10000"];
    key_hash_short: [("organisation/acme", {"key_hashes": ["abc"]})]
        => ["organisation/acme: key hash \"abc\" is not 64 hexadecimal digits"];
    wrong_role_for_version: [("version/large-1", {"pool": "shop"})]
        => ["version/large-1: pool shop has the wrong role"];
    wrong_role_for_service: [("service/stock", {"pool": "gpu"})]
        => ["service/stock: pool gpu has the wrong role"];
    lower_case_method: [("service/stock",
        {"calls": [{"method": "get", "path": "/", "repeat": "idempotent"}]})]
        => ["service/stock: method \"get\" must consist of upper-case letters"];
    relative_path: [("service/stock", {"calls": [{"method": "GET", "path": "x", "repeat": "idempotent"}]})]
        => ["service/stock: path \"x\" must start with '/'"];
    name_with_space: [("organisation/a b", {"weight": 1, "quality_permille": 0})] => [
        "organisation/a b: a name must have 1 to 64 letters, digits, '.', '_' or '-' and start with a letter \
            or digit"];
    ambiguous_name: [("cascade/small", {"steps": [{"model": "small"}]})]
        => ["cascade/small: a model has the same name, so requests for it would be ambiguous"];
    all_errors_are_reported: [("organisation/acme", {"weight": 0, "quality_permille": 2000}),
        ("pool/gpu", {"concurrency": 0})] => [
        "organisation/acme: weight 0 is not between 1 and 1000",
        "organisation/acme: quality_permille 2000 is greater than 1000",
        "pool/gpu: concurrency 0 is not between 1 and 10000"];
}

#[test]
fn shared_bearer_key() {
    let hash = key_hash("shared");
    let edits = [
        ("organisation/acme", json!({"key_hashes": [hash]})),
        ("organisation/other", json!({"key_hashes": [hash.to_uppercase()]})),
    ];
    let errors: Vec<_> = check(&edited(&edits)).iter().map(ToString::to_string).collect();
    assert_eq!(
        errors,
        ["organisation/other: organisation acme has the same bearer key"]
    );
}

#[test]
fn object_defined_twice() {
    let mut objects = valid();
    objects.push(objects[0].clone());
    let errors: Vec<_> = check(&objects).iter().map(ToString::to_string).collect();
    assert_eq!(
        errors,
        ["organisation/acme: the object is defined more than once"]
    );
}

#[test]
fn long_chain_of_cascades() {
    // Guards against a stack overflow by recursion whose depth depends on the input.
    let mut edits = vec![("cascade/c0".to_owned(), json!({"steps": [{"model": "small"}]}))];
    for index in 1..20_000 {
        let step = json!({"steps": [{"cascade": format!("c{}", index - 1)}]});
        edits.push((format!("cascade/c{index}"), step));
    }
    let edits: Vec<_> = edits
        .iter()
        .map(|(key, edit)| (key.as_str(), edit.clone()))
        .collect();
    assert_eq!(check(&edited(&edits)), []);
}
