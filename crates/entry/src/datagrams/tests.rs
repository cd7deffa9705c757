//! Guards against a first byte of datagrams that is given to another kind than in an earlier build.

use super::Kind;

/// Kinds of all builds so far; lines are only added.
const RECORDED: &str = include_str!("../../../wire/proto/recorded.txt");

#[test]
fn kinds_keep_their_bytes() {
    let recorded: Vec<_> = RECORDED
        .lines()
        .filter_map(|it| it.strip_prefix("kind "))
        .collect();
    let kinds: Vec<_> = Kind::ALL
        .iter()
        .map(|it| format!("{} {}", char::from(it.byte()), it.name()))
        .collect();
    for kind in &kinds {
        assert!(recorded.contains(&&**kind), "{kind} is not recorded");
    }
    for line in recorded {
        let byte = line.as_bytes()[0];
        let kind = Kind::of_byte(byte).map(|it| format!("{} {}", char::from(byte), it.name()));
        assert!(
            kind.is_none_or(|it| it == line),
            "the byte of {line} was given out again"
        );
    }
}
