//! Guards against membership traffic that grows with the fleet, and prints bytes and CPU time per node and
//! second.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Traffic};
use membership::{Datagram, Event, State};
use prost::Message;

const SECOND: Duration = Duration::from_secs(1);

/// Bytes of the IPv4 and UDP headers and of the authentication tag.
const OVERHEAD_BYTES: u64 = 28 + 32;

/// Limit of the bytes sent and received per second and node. All control traffic together may use 3 KB/s.
const MAX_BYTES_PER_SECOND: f64 = 2000.0;

/// Datagrams above this size may be fragmented.
const MAX_DATAGRAM_BYTES: u64 = 1400;

macro_rules! sizes {
    ($($name:ident: $count:literal;)*) => {
        $(#[test]
        fn $name() {
            measure($count);
        })*
    };
}

sizes! {
    cost_at_8_nodes: 8;
    cost_at_40_nodes: 40;
    cost_at_120_nodes: 120;
    cost_at_340_nodes: 340;
}

#[test]
fn failure_is_detected_at_the_target_size() {
    let mut fleet = formed_fleet(340);
    // At the first death, the introductions of all members still fill the datagrams.
    for index in [7, 100, 333] {
        fleet.nodes[index].running = false;
        let start = fleet.now;
        let first = fleet.run_until(SECOND * 60, |it| {
            (0..7).any(|node| it.state(node, index) == Some(State::Dead))
        });
        let all = fleet.run_until(SECOND * 60, |it| {
            let running = |node: &usize| it.nodes[*node].running;
            (0..340)
                .filter(running)
                .all(|node| it.state(node, index) == Some(State::Dead))
        });
        println!(
            "340 nodes: death of {index} known to a first node after {first:?}, to all after {:?}",
            fleet.now - start
        );
        assert!(all.is_some());
    }
}

#[test]
fn planned_stop_is_known_at_the_target_size() {
    let mut fleet = formed_fleet(340);
    fleet.run(SECOND * 5);
    for index in [7, 100, 333] {
        fleet.event(index, Event::Leave);
        let others = move |it: &usize| *it != index;
        let known = fleet.run_until(SECOND * 30, |it| {
            (0..340)
                .filter(others)
                .all(|node| it.state(node, index) == Some(State::Leaving))
        });
        println!("340 nodes: planned stop of {index} known to all after {known:?}");
        // Callers use an entry list for 30 s, so the stopping node serves for longer than this bound.
        assert!(known.is_some_and(|it| it <= SECOND * 10));
    }
}

fn formed_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::with_seeds(count, if count > 100 { 13 } else { 3 }, count as u32, 1);
    fleet.size = size;
    let time = fleet.run_until(SECOND * 300, Fleet::agrees);
    println!("{count} nodes started at the same time know each other after {time:?}");
    assert!(time.is_some(), "the fleet did not form");
    fleet
}

fn measure(count: usize) {
    let mut fleet = formed_fleet(count);
    // Introductions from the start are disseminated for some minutes.
    fleet.run(SECOND * 180);
    let max_bytes = fleet
        .nodes
        .iter()
        .map(|it| it.sent.max_bytes)
        .max()
        .unwrap_or_default();
    fleet.cpu_time = Duration::ZERO;
    for node in &mut fleet.nodes {
        (node.sent, node.received) = (Traffic::default(), Traffic::default());
    }
    let seconds = 60_u32;
    fleet.run(SECOND * seconds);
    let per_node = count as f64 * f64::from(seconds);
    let sum =
        |traffic: fn(&fleet::Node) -> u64| fleet.nodes.iter().map(traffic).sum::<u64>() as f64 / per_node;
    let sent = sum(|it| it.sent.bytes);
    let both = sent + sum(|it| it.received.bytes);
    let datagrams = sum(|it| it.sent.datagrams);
    let cpu_percent = 100.0 * fleet.cpu_time.as_secs_f64() / per_node;
    println!(
        "{count} nodes: {datagrams:.2} datagrams/s and {sent:.0} bytes/s sent, {both:.0} bytes/s both ways, \
         {cpu_percent:.4}% of a core per node, largest datagram {max_bytes} bytes"
    );
    assert!(both <= MAX_BYTES_PER_SECOND, "{both} bytes/s");
    assert!(max_bytes <= MAX_DATAGRAM_BYTES, "{max_bytes} bytes");
}

fn size(datagram: &Datagram) -> u64 {
    // The maximum epoch has the longest encoding.
    gossip::datagram_message(datagram, u32::MAX).encoded_len() as u64 + OVERHEAD_BYTES
}
