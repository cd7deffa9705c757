//! End-to-end tests of callers, three nodes and the fakes of the external services.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::{KEY, OTHER_KEY};
use model::Revision;
use node::StopOutcome;

mod common;

use common::{bill_counts, chat, expected_answer, read_chat, send_chat, wait_until, withdrawal_payload};

/// Settings with short times, so that a stop does not wait for the default lifetime of entry answers.
const SETTINGS: &str = "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n\
                    [config]\npoll_ms = 100\n[upstream]\nprogress_timeout_ms = 500\n";

/// Revision of the objects in the initial configuration.
const SAMPLE_REVISION: Revision = 1;

fn start() -> Cluster {
    start_with_token_interval(Duration::from_millis(2))
}

fn start_with_token_interval(token_interval: Duration) -> Cluster {
    let mut options = Options {
        extra_settings: SETTINGS.to_owned(),
        ..Options::default()
    };
    options.engine.token_interval = token_interval;
    Cluster::start(&options).unwrap()
}

/// Guards against a node that does not serve callers, and against requests that are not billed or billed
/// twice.
#[test]
fn each_node_streams_a_complete_answer_and_bills_it_once() {
    let cluster = start();
    let mut expected = BTreeMap::new();
    for address in cluster.addresses() {
        let chat = chat(address, KEY, "small", &[]);
        assert_eq!(chat.status, 200);
        assert_eq!(chat.text, expected_answer("small-1"));
        assert!(chat.complete);
        expected.insert(format!("demo/{}", chat.id), 1);
    }
    wait_until("bills", Duration::from_secs(5), || {
        bill_counts(&cluster).len() == 3
    });
    assert_eq!(bill_counts(&cluster), expected);
    assert_eq!(cluster.stop(), [StopOutcome::Complete; 3]);
}

/// Guards against repeated or missing tokens when an engine closes the connection in the middle of an answer.
#[test]
fn a_broken_stream_resumes_on_another_engine() {
    let cluster = start();
    cluster.engines[0].update(|it| it.break_after = 7);
    cluster.engines[1].update(|it| it.break_after = 5);
    for address in cluster.addresses() {
        let chat = chat(address, KEY, "large", &[]);
        assert_eq!(chat.text, expected_answer("large-1"));
        assert!(chat.complete);
    }
}

/// Guards against a response that stalls because the engine stops sending events without closing the
/// connection.
#[test]
fn a_stalled_stream_resumes_on_another_engine() {
    let cluster = start_with_token_interval(Duration::from_millis(20));
    let address = cluster.addresses()[0];
    let response = send_chat(address, KEY, "small", &[]);
    for engine in &cluster.engines {
        engine.update(|it| it.stalls += 1);
    }
    let start = Instant::now();
    let chat = read_chat(response);
    assert_eq!(chat.text, expected_answer("small-1"));
    assert!(chat.complete);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// Guards against requests that are sent to a withdrawn version by its name, by its model or by a session.
#[test]
fn withdrawn_version_is_not_used_by_any_node() {
    let cluster = start();
    let session = chat(cluster.addresses()[0], KEY, "small", &[]).session;
    cluster.publish(&withdrawal_payload(SAMPLE_REVISION)).unwrap();
    let refused = |model: &str, headers: &[(&str, &str)]| {
        cluster.addresses().into_iter().all(|it| {
            let chat = chat(it, KEY, model, headers);
            chat.error.as_deref() == Some("version_withdrawn") && chat.ran.as_deref() == Some("no")
        })
    };
    wait_until("withdrawal", Duration::from_secs(5), || refused("small-1", &[]));
    assert!(refused("small", &[("X-Session", &session)]));
    for address in cluster.addresses() {
        assert_eq!(chat(address, KEY, "small", &[]).text, expected_answer("small-2"));
    }
}

/// Guards against a planned stop that aborts streams, accepts new requests, or loses or duplicates billing
/// records.
#[test]
fn planned_stop_completes_running_streams() {
    let mut cluster = start_with_token_interval(Duration::from_millis(50));
    let addresses = cluster.addresses();
    let response = send_chat(addresses[0], KEY, "small", &[]);
    let node = cluster.nodes.remove(0);
    let stopping = std::thread::spawn(move || node.stop());
    let chat_during = read_chat(response);
    assert_eq!(chat_during.text, expected_answer("small-1"));
    assert!(chat_during.complete);
    assert_eq!(stopping.join().unwrap(), StopOutcome::Complete);
    let chat_after = chat(addresses[1], KEY, "small", &[]);
    assert!(chat_after.complete);
    let expected = [&chat_during, &chat_after].map(|it| (format!("demo/{}", it.id), 1));
    wait_until("bills", Duration::from_secs(5), || {
        bill_counts(&cluster).len() == 2
    });
    assert_eq!(bill_counts(&cluster), BTreeMap::from(expected));
}

/// Guards against billing records that are lost or duplicated when the reply to a successful append is lost,
/// and against refused requests while the log is unavailable.
#[test]
fn each_request_is_billed_once_despite_lost_replies_and_a_log_outage() {
    let cluster = start();
    let mut expected = BTreeMap::new();
    cluster.log.update(|it| it.lose_replies = 3);
    for address in cluster.addresses() {
        let chat = chat(address, KEY, "small", &[]);
        assert!(chat.complete);
        expected.insert(format!("demo/{}", chat.id), 1);
    }
    cluster.log.update(|it| it.outage = true);
    for address in cluster.addresses() {
        let chat = chat(address, KEY, "small", &[]);
        assert!(chat.complete);
        expected.insert(format!("demo/{}", chat.id), 1);
    }
    cluster.log.update(|it| *it = standin::log::Faults::default());
    wait_until("bills", Duration::from_secs(10), || {
        bill_counts(&cluster).len() == 6
    });
    assert_eq!(bill_counts(&cluster), expected);
}

/// Guards against engines that continue to generate after the caller has disconnected.
#[test]
fn disconnect_cancels_the_request_and_bills_it_once() {
    let cluster = start_with_token_interval(Duration::from_millis(100));
    let response = send_chat(cluster.addresses()[0], KEY, "small", &[]);
    let id = response.headers()["X-Request-Id"].to_str().unwrap().to_owned();
    drop(response);
    let cancelled = || {
        cluster
            .engines
            .iter()
            .map(|it| it.counts().cancelled)
            .sum::<u64>()
    };
    wait_until("cancel", Duration::from_secs(5), || cancelled() == 1);
    wait_until("bill", Duration::from_secs(5), || {
        bill_counts(&cluster).len() == 1
    });
    assert_eq!(bill_counts(&cluster), BTreeMap::from([(format!("demo/{id}"), 1)]));
}

/// Guards against answers to callers without permission, and against sessions that are forged or belong to
/// another organisation or model.
#[test]
fn permissions_and_sessions_are_checked() {
    let cluster = start();
    let address = cluster.addresses()[0];
    let session = chat(address, KEY, "small", &[]).session;
    let cases = [
        ("unknown-key", "small", "", "unauthorised"),
        (OTHER_KEY, "large", "", "not_allowed"),
        (OTHER_KEY, "any", "", "not_allowed"),
        (KEY, "absent", "", "unknown_name"),
        (OTHER_KEY, "small", &session, "session_invalid"),
        (KEY, "large", &session, "session_invalid"),
        (KEY, "small", "forged", "session_invalid"),
    ];
    for (key, model, session, code) in cases {
        let headers: &[_] = if session.is_empty() {
            &[]
        } else {
            &[("X-Session", session)]
        };
        let chat = chat(address, key, model, headers);
        assert_eq!(chat.error.as_deref(), Some(code), "{key} {model} {session}");
        assert_eq!(chat.ran.as_deref(), Some("no"));
    }
    let other_node = cluster.addresses()[2];
    let chat = chat(other_node, KEY, "small", &[("X-Session", &session)]);
    assert_eq!(chat.text, expected_answer("small-1"));
}
