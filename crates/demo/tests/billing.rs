//! Bills when nodes die and the log is away.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::time::Duration;

use demo::Cluster;
use demo::cluster::Options;
use demo::link::State;
use demo::sample::KEY;

mod common;

use common::{billed, bills, chat, metric, start_whole, wait};

/// Detection of a death takes up to 6 s and the first holder's delay 2 s; the second holder would take 10 s.
const TAKEOVER: Duration = Duration::from_secs(30);

fn start() -> Cluster {
    let options = Options {
        extra: "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n[config]\npoll_ms = 100\n"
            .to_owned(),
        ..Options::default()
    };
    start_whole(&options)
}

fn chats(cluster: &Cluster, count: usize) -> u64 {
    let mut complete = 0;
    for address in cluster.addresses() {
        for _ in 0..count {
            assert!(chat(address, KEY, "small", &[]).complete);
            complete += 1;
        }
    }
    complete
}

/// Guards against bills that die with their node although the caller has the whole answer.
#[test]
fn bills_of_a_killed_node_reach_the_log_once() {
    let mut cluster = start();
    cluster.link(0, State::Cut);
    let requests = chats(&cluster, 5);
    let others = requests / 3 * 2;
    wait("bills of the others", Duration::from_secs(5), || {
        billed(&cluster, "demo") == others
    });
    let victim = cluster.addresses()[0];
    assert_eq!(metric(victim, "billing_underreplicated_total"), 0.0);
    cluster.kill(0);
    wait("all bills", TAKEOVER, || billed(&cluster, "demo") >= requests);
    // The second holder waits for 8 s more, and must not bill them again.
    std::thread::sleep(Duration::from_secs(10));
    assert_eq!(billed(&cluster, "demo"), requests);
    assert_eq!(bills(&cluster).len() as u64, requests);
}

/// Guards against bills that are lost if their node dies while the log is down for all nodes.
#[test]
fn bills_survive_a_death_during_an_outage_of_the_log() {
    let mut cluster = start();
    cluster.log.update(|it| it.outage = true);
    let mut requests = chats(&cluster, 4);
    cluster.kill(1);
    requests += chats(&cluster, 2);
    std::thread::sleep(Duration::from_secs(8));
    cluster.log.update(|it| *it = standin::log::Faults::default());
    wait("all bills", TAKEOVER, || billed(&cluster, "demo") >= requests);
    assert_eq!(billed(&cluster, "demo"), requests);
}

/// Guards against a planned stop that waits for the log, or loses bills, while the log is down.
#[test]
fn a_node_stops_during_an_outage_of_the_log() {
    let mut cluster = start();
    cluster.log.update(|it| it.outage = true);
    let requests = chats(&cluster, 3);
    assert_eq!(cluster.nodes.remove(0).stop(), node::StopOutcome::Complete);
    cluster.log.update(|it| *it = standin::log::Faults::default());
    wait("all bills", TAKEOVER, || billed(&cluster, "demo") >= requests);
    assert_eq!(billed(&cluster, "demo"), requests);
}

/// Guards against callers who use one idempotency key for different requests and pay once, and against repetitions
/// that are billed twice.
#[test]
fn an_idempotency_key_pays_for_one_body_only() {
    let cluster = start();
    let headers = [("Idempotency-Key", "one-key")];
    for address in cluster.addresses() {
        assert!(chat(address, KEY, "small", &headers).complete);
        assert!(chat(address, KEY, "large", &headers).complete);
    }
    wait("bills", Duration::from_secs(5), || {
        bills(&cluster).values().sum::<usize>() == 6
    });
    assert_eq!(billed(&cluster, "demo"), 2);
}
