//! Fleets in which all nodes lack the same changes at once.
//!
//! Guards against replies that fill the links of the nodes that have the changes, and against a fleet of which most nodes
//! have to read the store although others have the changes.

use std::collections::VecDeque;
use std::time::Duration;

use forward::relay::Position;
use forward::uplink::{Source, Uplink};

/// What a link of 10 Mbit/s carries.
const BYTES_PER_SECOND: f64 = 1_250_000.0;

const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Nodes that a node asks one after the other, as others name them.
const MAX_SOURCES: usize = 4;

const READERS: usize = 2;

const NEXT: Position = Position { era: 0, offset: 108 };

/// Bytes that the node with most of them passes on within a reply's timeout, and the nodes that get the changes from none,
/// if the others ask within `time`.
fn spread(nodes: usize, size: usize, time: Duration) -> (usize, usize) {
    let mut uplinks: Vec<_> = (0..nodes)
        .map(|_| Uplink::new(BYTES_PER_SECOND, Duration::ZERO))
        .collect();
    let mut sent: Vec<VecDeque<Duration>> = vec![VecDeque::new(); nodes];
    let (mut most, mut left) = (0, 0);
    for node in READERS..nodes {
        let now = time.mul_f64(node as f64 / nodes as f64);
        let mut source = node % READERS;
        let mut has_changes = false;
        for _ in 0..MAX_SOURCES {
            match uplinks[source].assign((), &node, NEXT, size, now) {
                Source::Own => {
                    has_changes = true;
                    break;
                }
                Source::Other(other) => source = other,
                Source::None => break,
            }
        }
        if has_changes {
            sent[source].push_back(now);
            sent[source].retain(|it| now - *it < REPLY_TIMEOUT);
            most = most.max(sent[source].len() * size);
        } else {
            left += 1;
        }
    }
    (most, left)
}

fn check(nodes: usize, size: usize) {
    let (most, left) = spread(nodes, size, Duration::from_millis(600));
    let carried = BYTES_PER_SECOND * REPLY_TIMEOUT.as_secs_f64();
    // The last changes are passed on as a whole.
    assert!(most as f64 <= carried + size as f64, "{most} bytes of {carried}");
    assert!(left * 10 <= nodes, "{left} of {nodes} nodes read the store");
}

macro_rules! fleets {
    ($($name:ident: $nodes:expr, $size:expr;)*) => {
        $(#[test]
        fn $name() {
            check($nodes, $size);
        })*
    };
}

fleets! {
    one_change_to_8_nodes: 8, 300;
    one_change_to_195_nodes: 195, 300;
    long_list_to_8_nodes: 8, 18_000;
    long_list_to_88_nodes: 88, 18_000;
    long_list_to_195_nodes: 195, 18_000;
    long_list_to_2000_nodes: 2_000, 18_000;
    configuration_to_88_nodes: 88, 60_000;
    configuration_to_195_nodes: 195, 60_000;
}

/// Guards against changes that are never passed on because they are larger than what may be passed on at once.
#[test]
fn large_changes_are_passed_on_as_a_whole() {
    let mut uplink = Uplink::new(BYTES_PER_SECOND, Duration::ZERO);
    assert_eq!(uplink.assign((), &1, NEXT, 1 << 20, Duration::ZERO), Source::Own);
    assert_eq!(uplink.assign((), &2, NEXT, 100, Duration::ZERO), Source::Other(1));
    // The node that has asked last has them from this one.
    assert_eq!(uplink.assign((), &1, NEXT, 100, Duration::ZERO), Source::None);
    let later = Duration::from_secs(4);
    assert_eq!(uplink.assign((), &2, NEXT, 100, later), Source::Own);
}

/// Guards against nodes that are named for changes which they have not got.
#[test]
fn holders_of_earlier_changes_are_not_named() {
    let mut uplink = Uplink::new(BYTES_PER_SECOND, Duration::ZERO);
    assert_eq!(uplink.assign((), &1, NEXT, 1 << 20, Duration::ZERO), Source::Own);
    let later = Position { era: 0, offset: 109 };
    assert_eq!(uplink.assign((), &2, later, 100, Duration::ZERO), Source::None);
}
