use super::{Keys, Session};

fn session() -> Session {
    Session {
        organisation: "lume".into(),
        requested: "draft".into(),
        version: "draft-2".into(),
        revision: 17,
    }
}

fn keys(keys: &[&[u8]]) -> Keys {
    Keys::new(keys.iter().map(|it| it.to_vec()).collect())
}

/// Guards against sessions that become invalid when the cluster key is rotated.
#[test]
fn accepts_previous_key() {
    let token = keys(&[b"old"]).sign(&session()).unwrap();
    assert_eq!(keys(&[b"new", b"old"]).verify(&token), Some(session()));
    assert_eq!(keys(&[b"new"]).verify(&token), None);
}

/// Guards against forged tokens: a token with any changed byte must be rejected.
#[test]
fn rejects_changed_tokens() {
    let keys = keys(&[b"key"]);
    let token = keys.sign(&session()).unwrap();
    for position in 0..token.len() {
        for replacement in [b'A', b'B', b'.'] {
            let mut changed = token.clone().into_bytes();
            if changed[position] == replacement {
                continue;
            }
            changed[position] = replacement;
            let changed = String::from_utf8(changed).unwrap();
            assert_eq!(keys.verify(&changed), None, "{changed}");
        }
    }
}
