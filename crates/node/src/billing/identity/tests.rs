use ledger::billing::Key;
use model::Incarnation;

use super::identity;

fn of(caller: Option<&str>, body: &str, number: u64) -> Key {
    identity(caller, body.as_bytes(), Incarnation::from_bits(7), number)
}

/// Guards against callers who use one key for different requests and pay once, and against repetitions that are
/// billed twice.
#[test]
fn a_key_counts_with_its_body_only() {
    assert_eq!(of(Some("k"), "body", 1), of(Some("k"), "body", 2));
    assert_ne!(of(Some("k"), "body", 1), of(Some("k"), "other", 1));
    assert_ne!(of(Some("k"), "body", 1), of(Some("l"), "body", 1));
    assert_ne!(of(Some("kb"), "ody", 1), of(Some("k"), "body", 1));
    assert_ne!(of(None, "body", 1), of(None, "body", 2));
}
