//! Billing when nodes crash and the log service is unavailable.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use demo::Cluster;
use demo::cluster::Options;
use demo::log_link::LinkState;
use demo::sample::KEY;

mod common;

use common::{bill_counts, billed_requests, chat, metric, start_with_all_entries, wait_until};

/// Maximum time until a holder has appended the records of a crashed node. Failure detection takes up to 6 s,
/// then the first holder waits 2 s and the second one 10 s.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);

fn start() -> Cluster {
    let options = Options {
        extra_settings:
            "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n[config]\npoll_ms = 100\n"
                .to_owned(),
        ..Options::default()
    };
    start_with_all_entries(&options)
}

/// Sends `count` chat requests to each node and returns their total number.
fn send_chats(cluster: &Cluster, count: usize) -> u64 {
    let mut sent = 0;
    for address in cluster.addresses() {
        for _ in 0..count {
            assert!(chat(address, KEY, "small", &[]).complete);
            sent += 1;
        }
    }
    sent
}

/// Guards against the loss of billing records when a node crashes after it has completed the response and
/// before it has appended the records to the log.
#[test]
fn bills_of_a_killed_node_reach_the_log_once() {
    let mut cluster = start();
    cluster.set_log_link(0, LinkState::Down);
    let requests = send_chats(&cluster, 5);
    let of_connected_nodes = requests / 3 * 2;
    wait_until("bills of the connected nodes", Duration::from_secs(5), || {
        billed_requests(&cluster, "demo") == of_connected_nodes
    });
    let disconnected = cluster.addresses()[0];
    assert_eq!(metric(disconnected, "billing_underreplicated_total"), 0.0);
    cluster.kill(0);
    wait_until("all bills", TAKEOVER_TIMEOUT, || {
        billed_requests(&cluster, "demo") >= requests
    });
    // The second holder takes over 8 s after the first one, and must not bill the requests again.
    std::thread::sleep(Duration::from_secs(10));
    assert_eq!(billed_requests(&cluster, "demo"), requests);
    assert_eq!(bill_counts(&cluster).len() as u64, requests);
}

/// Guards against the loss of billing records when a node crashes while no node can reach the log.
#[test]
fn no_bill_is_lost_if_a_node_crashes_during_a_log_outage() {
    let mut cluster = start();
    cluster.log.update(|it| it.outage = true);
    let mut requests = send_chats(&cluster, 4);
    cluster.kill(1);
    requests += send_chats(&cluster, 2);
    std::thread::sleep(Duration::from_secs(8));
    cluster.log.update(|it| *it = standin::log::Faults::default());
    wait_until("all bills", TAKEOVER_TIMEOUT, || {
        billed_requests(&cluster, "demo") >= requests
    });
    assert_eq!(billed_requests(&cluster, "demo"), requests);
}

/// Guards against a planned stop that does not complete, or loses billing records, while the log is
/// unavailable.
#[test]
fn planned_stop_completes_during_a_log_outage() {
    let mut cluster = start();
    cluster.log.update(|it| it.outage = true);
    let requests = send_chats(&cluster, 3);
    assert_eq!(cluster.nodes.remove(0).stop(), node::StopOutcome::Complete);
    cluster.log.update(|it| *it = standin::log::Faults::default());
    wait_until("all bills", TAKEOVER_TIMEOUT, || {
        billed_requests(&cluster, "demo") >= requests
    });
    assert_eq!(billed_requests(&cluster, "demo"), requests);
}

/// Guards against different requests with the same idempotency key being billed only once, and against a
/// repeated request being billed twice.
#[test]
fn each_body_with_an_idempotency_key_is_billed_once() {
    let cluster = start();
    let headers = [("Idempotency-Key", "one-key")];
    for address in cluster.addresses() {
        assert!(chat(address, KEY, "small", &headers).complete);
        assert!(chat(address, KEY, "large", &headers).complete);
    }
    wait_until("bills", Duration::from_secs(5), || {
        bill_counts(&cluster).values().sum::<usize>() == 6
    });
    assert_eq!(billed_requests(&cluster, "demo"), 2);
}
