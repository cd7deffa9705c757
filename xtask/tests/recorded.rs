//! Guards against messages that nodes of an earlier build take for something else.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::fs;

use xtask::codegen::workspace_root;
use xtask::recorded::{Definitions, RECORD};

fn record() -> String {
    fs::read_to_string(workspace_root().join(RECORD)).unwrap()
}

#[test]
fn definitions_keep_their_numbers() {
    let faults = Definitions::read().unwrap().faults(&record());
    assert!(
        faults.is_empty(),
        "{faults:#?}\nadd new lines to {RECORD}, and never change one"
    );
}

/// Guards against a check that finds nothing: each of these changes has to be found, or is allowed.
macro_rules! changes {
    ($($name:ident: $from:literal => $to:literal, reserved $reserved:expr => $count:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut definitions = Definitions::read().unwrap();
            assert!(definitions.lines.remove($from));
            definitions.lines.extend(Some($to.to_owned()).filter(|it| !it.is_empty()));
            let reserved: &[&str] = &$reserved;
            definitions.reserved.extend(reserved.iter().map(|it| (*it).to_owned()));
            assert_eq!(definitions.faults(&record()).len(), $count);
        })*
    };
}

changes! {
    number_that_is_used_again_is_found:
        "field Ping 1 sequence optional uint64" => "field Ping 1 nonce optional uint64", reserved [] => 2;
    another_type_is_found: "field Member 9 revision optional uint64" => "field Member 9 revision optional bytes", reserved [] => 2;
    removed_field_is_found: "field Member 11 load_permille optional uint32" => "", reserved [] => 1;
    removed_field_that_is_reserved_is_allowed:
        "field Member 11 load_permille optional uint32" => "", reserved ["field Member 11 "] => 0;
    value_that_is_used_again_is_found:
        "value MemberState 3 MEMBER_STATE_DEAD" => "value MemberState 3 MEMBER_STATE_GONE", reserved [] => 2;
}
