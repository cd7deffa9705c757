//! Guards against an engine that drains but is in no line of the log, because many others change at once.

use std::time::Duration;

use forward::directory::Engine;

use super::{Changes, ENGINES_PER_LINE, State};

fn engine(id: &str, draining: bool) -> Engine {
    Engine {
        id: id.into(),
        started_ms: 1,
        service: "chat".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 64,
        draining,
        cold_left: Duration::ZERO,
    }
}

#[test]
fn draining_engine_is_in_the_first_line_of_many() {
    let mut changes = Changes::default();
    for index in 0..200 {
        let id = format!("i-{index}");
        changes.record(&id.as_str().into(), Some(&engine(&id, false)));
        changes.record(&format!("gone-{index}").as_str().into(), None);
    }
    changes.record(&"last".into(), Some(&engine("last", true)));
    let lines: Vec<_> = changes.lines().collect();
    assert_eq!(lines[0], (State::Draining, &"v1".into(), "last".to_owned()));
    let per_state = 200_usize.div_ceil(ENGINES_PER_LINE);
    assert_eq!(lines.len(), 1 + 2 * per_state);
    assert!(lines[1..=per_state].iter().all(|it| it.0 == State::Removed));
}
