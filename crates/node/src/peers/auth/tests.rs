//! Guards against datagrams and calls that are not authenticated.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use model::Incarnation;

use super::Key;

fn key() -> Key {
    Key::new(b"a cluster key of a test".to_vec())
}

/// Guards against altered, truncated and foreign datagrams that are taken for those of a node.
#[test]
fn only_intact_datagrams_open() {
    let sealed = key().seal(b"hello".to_vec());
    assert_eq!(key().open(&sealed), Some(&b"hello"[..]));
    assert_eq!(Key::new(b"another key".to_vec()).open(&sealed), None);
    for len in 0..sealed.len() {
        assert_eq!(key().open(&sealed[..len]), None, "{len}");
    }
    for index in 0..sealed.len() {
        let mut altered = sealed.clone();
        altered[index] ^= 1;
        assert_eq!(key().open(&altered), None, "{index}");
    }
}

/// Guards against a call that is copied to another method, receiver or message.
#[test]
fn a_tag_is_valid_for_its_call_only() {
    let [receiver, other] = [1, 2].map(Incarnation::from_bits);
    let tag = key().sign("Execute", receiver, b"m");
    let verify = |key: Key, method, to, message: &[u8]| key.verify(method, to, message, tag.as_bytes());
    assert!(verify(key(), "Execute", receiver, b"m"));
    assert!(!verify(key(), "HandOver", receiver, b"m"));
    assert!(!verify(key(), "Execute", other, b"m"));
    assert!(!verify(key(), "Execute", receiver, b"n"));
    assert!(!verify(
        Key::new(b"another key".to_vec()),
        "Execute",
        receiver,
        b"m"
    ));
    assert!(!key().verify("Execute", receiver, b"m", b"no hexadecimal"));
}

/// Guards against nodes that no longer understand each other while the key is changed on one after the other.
#[test]
fn the_replaced_key_is_still_accepted() {
    let (changed, other) = (key(), key());
    changed.replace(b"the next cluster key".to_vec());
    let next = Key::new(b"the next cluster key".to_vec());
    assert!(changed.open(&other.seal(b"m".to_vec())).is_some());
    assert!(next.open(&changed.seal(b"m".to_vec())).is_some());
    changed.replace(b"a third cluster key".to_vec());
    assert!(changed.open(&other.seal(b"m".to_vec())).is_none());
}
