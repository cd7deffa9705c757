//! Callers, three nodes and the stand-ins of the platform.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::{KEY, OTHER_KEY};
use model::Revision;
use node::StopOutcome;

mod common;

use common::{answer, bills, chat, read, send, wait, withdrawal};

/// Short times, so that a stop does not wait for the default lifetime of entry answers.
const STOP: &str = "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n\
                    [config]\npoll_ms = 100\n[upstream]\nprogress_timeout_ms = 500\n";

/// Revision of the objects that the cluster starts with.
const SAMPLE_REVISION: Revision = 1;

fn start() -> Cluster {
    start_with(Duration::from_millis(2))
}

fn start_with(token: Duration) -> Cluster {
    let mut options = Options {
        extra: STOP.to_owned(),
        ..Options::default()
    };
    options.engine.token_interval = token;
    Cluster::start(&options).unwrap()
}

/// Guards against a node that does not serve, and against requests billed never or twice.
#[test]
fn each_node_streams_a_whole_answer_and_bills_it_once() {
    let cluster = start();
    let mut expected = BTreeMap::new();
    for address in cluster.addresses() {
        let chat = chat(address, KEY, "small", &[]);
        assert_eq!(chat.status, 200);
        assert_eq!(chat.text, answer("small-1"));
        assert!(chat.complete);
        expected.insert(format!("demo/{}", chat.id), 1);
    }
    wait("bills", Duration::from_secs(5), || bills(&cluster).len() == 3);
    assert_eq!(bills(&cluster), expected);
    assert_eq!(cluster.stop(), [StopOutcome::Complete; 3]);
}

/// Guards against repeated or missing tokens when an engine breaks off in the middle of an answer.
#[test]
fn a_broken_stream_resumes_on_another_engine() {
    let cluster = start();
    cluster.engines[0].update(|it| it.break_after = 7);
    cluster.engines[1].update(|it| it.break_after = 5);
    for address in cluster.addresses() {
        let chat = chat(address, KEY, "large", &[]);
        assert_eq!(chat.text, answer("large-1"));
        assert!(chat.complete);
    }
}

/// Guards against callers that hang on an engine which accepts requests and sends nothing.
#[test]
fn a_silent_stream_resumes_on_another_engine() {
    let cluster = start_with(Duration::from_millis(20));
    let address = cluster.addresses()[0];
    let response = send(address, KEY, "small", &[]);
    for engine in &cluster.engines {
        engine.update(|it| it.stalls += 1);
    }
    let start = Instant::now();
    let chat = read(response);
    assert_eq!(chat.text, answer("small-1"));
    assert!(chat.complete);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// Guards against a version that gets requests after its withdrawal, by name, by model or by a session.
#[test]
fn all_nodes_obey_a_withdrawal() {
    let cluster = start();
    let session = chat(cluster.addresses()[0], KEY, "small", &[]).session;
    cluster.publish(&withdrawal(SAMPLE_REVISION)).unwrap();
    let refused = |model: &str, headers: &[(&str, &str)]| {
        cluster.addresses().into_iter().all(|it| {
            let chat = chat(it, KEY, model, headers);
            chat.error.as_deref() == Some("version_withdrawn") && chat.ran.as_deref() == Some("no")
        })
    };
    wait("withdrawal", Duration::from_secs(5), || refused("small-1", &[]));
    assert!(refused("small", &[("X-Session", &session)]));
    for address in cluster.addresses() {
        assert_eq!(chat(address, KEY, "small", &[]).text, answer("small-2"));
    }
}

/// Guards against a planned stop that cuts off streams, takes new work, or loses or repeats bills.
#[test]
fn a_drained_node_finishes_its_stream() {
    let mut cluster = start_with(Duration::from_millis(50));
    let addresses = cluster.addresses();
    let response = send(addresses[0], KEY, "small", &[]);
    let node = cluster.nodes.remove(0);
    let stopping = std::thread::spawn(move || node.stop());
    let chat_during = read(response);
    assert_eq!(chat_during.text, answer("small-1"));
    assert!(chat_during.complete);
    assert_eq!(stopping.join().unwrap(), StopOutcome::Complete);
    let chat_after = chat(addresses[1], KEY, "small", &[]);
    assert!(chat_after.complete);
    let expected = [&chat_during, &chat_after].map(|it| (format!("demo/{}", it.id), 1));
    wait("bills", Duration::from_secs(5), || bills(&cluster).len() == 2);
    assert_eq!(bills(&cluster), BTreeMap::from(expected));
}

/// Guards against bills that are lost or repeated when the log takes an append and its reply is lost, and against
/// refusals while the log is down.
#[test]
fn bills_survive_lost_replies_and_an_outage_of_the_log() {
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
    wait("bills", Duration::from_secs(10), || bills(&cluster).len() == 6);
    assert_eq!(bills(&cluster), expected);
}

/// Guards against engines that go on generating for callers that have gone.
#[test]
fn a_disconnected_caller_cancels_and_is_billed_once() {
    let cluster = start_with(Duration::from_millis(100));
    let response = send(cluster.addresses()[0], KEY, "small", &[]);
    let id = response.headers()["X-Request-Id"].to_str().unwrap().to_owned();
    drop(response);
    let cancelled = || {
        cluster
            .engines
            .iter()
            .map(|it| it.counts().cancelled)
            .sum::<u64>()
    };
    wait("cancel", Duration::from_secs(5), || cancelled() == 1);
    wait("bill", Duration::from_secs(5), || bills(&cluster).len() == 1);
    assert_eq!(bills(&cluster), BTreeMap::from([(format!("demo/{id}"), 1)]));
}

/// Guards against answers to callers without permission, and against stolen or forged sessions.
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
    let elsewhere = cluster.addresses()[2];
    let chat = chat(elsewhere, KEY, "small", &[("X-Session", &session)]);
    assert_eq!(chat.text, answer("small-1"));
}
