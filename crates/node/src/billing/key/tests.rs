use ledger::billing::Key;
use model::Incarnation;

use super::billing_key;

fn key(caller: Option<&str>, body: &str, number: u64) -> Key {
    billing_key(caller, body.as_bytes(), Incarnation::from_bits(7), number)
}

/// Guards against different requests with the same caller key being billed once, and against a repeated
/// request being billed twice.
#[test]
fn billing_key_depends_on_caller_key_and_body() {
    assert_eq!(key(Some("k"), "body", 1), key(Some("k"), "body", 2));
    assert_ne!(key(Some("k"), "body", 1), key(Some("k"), "other", 1));
    assert_ne!(key(Some("k"), "body", 1), key(Some("l"), "body", 1));
    assert_ne!(key(Some("kb"), "ody", 1), key(Some("k"), "body", 1));
    assert_ne!(key(None, "body", 1), key(None, "body", 2));
}
