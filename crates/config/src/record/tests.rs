//! Guards against changes of the payload format, and against panics on malformed payloads.

use proptest::prelude::*;
use serde_json::json;

use super::{ProposalId, Record, parse_key};
use crate::state::State;
use crate::tests::{proposal, puts, state_of, valid};

#[test]
fn payload_format() {
    let text = json!({"proposal": {
        "id": "0000000000000000000000000000002a",
        "author": "ana",
        "base": {"model/small": 7, "pool/old": 3},
        "changes": [
            {"put": {"kind": "model", "name": "small", "default_version": "small-2"}},
            {"delete": {"kind": "pool", "name": "old"}}]}});
    let record = Record::parse(text.to_string().as_bytes()).unwrap();
    assert_eq!(serde_json::to_value(&record).unwrap(), text);
    let Record::Proposal(proposal) = record else {
        panic!("a proposal")
    };
    assert_eq!(proposal.id, ProposalId::from_bits(42));
    assert_eq!(proposal.base_of(&parse_key("model/small").unwrap()), 7);
}

macro_rules! malformed {
    ($($name:ident: $text:expr;)*) => {
        $(#[test]
        fn $name() {
            assert!(Record::parse($text.as_bytes()).is_err());
        })*
    };
}

malformed! {
    empty: "";
    unknown_record: r#"{"note": 1}"#;
    misspelt_field: r#"{"proposal": {"id": "0000000000000000000000000000002a", "autor": "a", "base": {},
        "changes": []}}"#;
    short_id: r#"{"proposal": {"id": "2a", "author": "a", "base": {}, "changes": []}}"#;
    base_without_kind: r#"{"proposal": {"id": "0000000000000000000000000000002a", "author": "a",
        "base": {"small": 1}, "changes": []}}"#;
    deep_nesting: "[".repeat(100_000);
    too_long: " ".repeat(super::MAX_LEN + 1);
}

/// Payloads of valid records in which some bytes are replaced, removed or inserted.
fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let record = Record::Proposal(proposal(&State::new(), 1, puts(valid()))).to_bytes();
    let seeds = prop::sample::select(vec![record, state_of(valid()).to_snapshot()]);
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 1..8);
    (seeds, edits).prop_map(|(mut bytes, edits)| {
        for (position, byte, action) in edits {
            let index = position.index(bytes.len());
            match action {
                0 => bytes[index] = byte,
                1 => bytes.insert(index, byte),
                _ => drop(bytes.remove(index)),
            }
        }
        bytes
    })
}

fn parse_and_use(bytes: &[u8]) {
    let mut state = State::new();
    state.apply(0, bytes);
    crate::view::View::new(&state);
    if let Ok(state) = State::from_snapshot(bytes) {
        let copy = State::from_snapshot(&state.to_snapshot()).unwrap();
        assert_eq!(copy, state);
        crate::view::View::new(&state);
        crate::check::check(state.objects().values().map(|it| &*it.object));
    }
    let _ = serde_json::from_slice::<model::Object>(bytes);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Default::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        parse_and_use(&bytes);
    }

    #[test]
    fn mutated_records_do_not_panic(bytes in mutated()) {
        parse_and_use(&bytes);
    }
}
