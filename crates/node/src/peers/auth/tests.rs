//! Guards against accepting datagrams and calls that are not authenticated.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use model::Incarnation;

use super::ClusterKey;

fn key() -> ClusterKey {
    ClusterKey::new(b"a cluster key of a test".to_vec())
}

/// Guards against accepting altered or truncated datagrams, and datagrams signed with another key.
#[test]
fn only_intact_datagrams_are_verified() {
    let signed = key().sign_datagram(b"hello".to_vec());
    assert_eq!(key().verify_datagram(&signed), Some(&b"hello"[..]));
    assert_eq!(
        ClusterKey::new(b"another key".to_vec()).verify_datagram(&signed),
        None
    );
    for len in 0..signed.len() {
        assert_eq!(key().verify_datagram(&signed[..len]), None, "{len}");
    }
    for index in 0..signed.len() {
        let mut altered = signed.clone();
        altered[index] ^= 1;
        assert_eq!(key().verify_datagram(&altered), None, "{index}");
    }
}

/// Guards against reuse of a call's tag for another method, receiver or message.
#[test]
fn tag_is_valid_only_for_its_call() {
    let [receiver, other] = [1, 2].map(Incarnation::from_bits);
    let tag = key().sign_call("Execute", receiver, b"m");
    let verify =
        |key: ClusterKey, method, to, message: &[u8]| key.verify_call(method, to, message, tag.as_bytes());
    assert!(verify(key(), "Execute", receiver, b"m"));
    assert!(!verify(key(), "HandOver", receiver, b"m"));
    assert!(!verify(key(), "Execute", other, b"m"));
    assert!(!verify(key(), "Execute", receiver, b"n"));
    assert!(!verify(
        ClusterKey::new(b"another key".to_vec()),
        "Execute",
        receiver,
        b"m"
    ));
    assert!(!key().verify_call("Execute", receiver, b"m", b"not hexadecimal"));
}

/// Guards against nodes rejecting each other's messages while the key is changed on one node after another.
#[test]
fn replaced_key_is_still_accepted() {
    let (changed, other) = (key(), key());
    changed.replace(b"the next cluster key".to_vec());
    let next = ClusterKey::new(b"the next cluster key".to_vec());
    assert!(
        changed
            .verify_datagram(&other.sign_datagram(b"m".to_vec()))
            .is_some()
    );
    assert!(
        next.verify_datagram(&changed.sign_datagram(b"m".to_vec()))
            .is_some()
    );
    changed.replace(b"a third cluster key".to_vec());
    assert!(
        changed
            .verify_datagram(&other.sign_datagram(b"m".to_vec()))
            .is_none()
    );
}
