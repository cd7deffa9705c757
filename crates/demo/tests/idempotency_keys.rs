//! Non-idempotent calls when hosts are slow, die or stop.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::SocketAddr;
use std::time::Duration;

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;
use node::StopOutcome;
use serde_json::Value;

mod common;

use common::{entries, start_whole};

const HEADER: &str = "Idempotency-Key";

/// A caller's view of a booking.
#[derive(Debug, PartialEq)]
struct Booking {
    status: u16,
    /// Code of the error and value of `ran`, if any.
    error: Option<(String, String)>,
    key: Option<String>,
    body: String,
}

fn start() -> Cluster {
    let options = Options {
        extra: "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n[config]\npoll_ms = 100\n\
                [deadlines]\ntransaction_ms = 4000\n"
            .to_owned(),
        ..Options::default()
    };
    start_whole(&options)
}

/// Prefix of the keys that the node at `address` issues.
fn prefix(address: SocketAddr) -> String {
    let entries = entries(address, "");
    let own = entries
        .iter()
        .find(|it| it["address"].as_str() == Some(&address.to_string()));
    own.unwrap()["key_prefix"].as_str().unwrap().to_owned()
}

fn book(address: SocketAddr, bearer: &str, key: Option<&str>, body: &str) -> Booking {
    let mut request = attohttpc::post(format!("http://{address}/v1/services/stock/holds"))
        .read_timeout(Duration::from_secs(10))
        .bearer_auth(bearer);
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let response = request.text(body).send().unwrap();
    let status = response.status().as_u16();
    let key = response.headers().get(HEADER);
    let key = key.map(|it| it.to_str().unwrap().to_owned());
    let body = response.text().unwrap();
    let value: Value = serde_json::from_str(&body).unwrap();
    let error = value["error"]["code"].as_str().map(|code| {
        let ran = value["error"]["ran"].as_str().unwrap();
        (code.to_owned(), ran.to_owned())
    });
    Booking {
        status,
        error,
        key,
        body,
    }
}

fn refusal(booking: &Booking) -> (&str, &str) {
    let (code, ran) = booking.error.as_ref().unwrap();
    (code, ran)
}

/// Guards against a second execution when a caller retries through the other hosts while the first attempt is slow.
#[test]
fn a_retry_through_every_other_host_runs_once() {
    let cluster = start();
    cluster.services[0].update(|it| it.delay_ms = 800);
    let addresses = cluster.addresses();
    for issuer in &addresses {
        let key = format!("{}.slow", prefix(*issuer));
        let attempts: Vec<_> = addresses
            .iter()
            .map(|it| {
                let (address, key) = (*it, key.clone());
                std::thread::spawn(move || book(address, KEY, Some(&key), "{}"))
            })
            .collect();
        let answers: Vec<_> = attempts.into_iter().map(|it| it.join().unwrap()).collect();
        assert_eq!(answers[0].status, 200, "{answers:?}");
        assert!(answers.iter().all(|it| *it == answers[0]), "{answers:?}");
        assert_eq!(cluster.services[0].executions(&key), 1);
    }
}

/// Guards against an execution whose issuer is dead and can no longer tell whether the call ran.
#[test]
fn a_key_of_a_dead_issuer_is_never_executed() {
    let mut cluster = start();
    let issuer = cluster.addresses()[0];
    let [used, unused] = ["used", "unused"].map(|it| format!("{}.{it}", prefix(issuer)));
    assert_eq!(book(issuer, KEY, Some(&used), "{}").status, 200);
    cluster.kill(0);
    // Right after the death, and after the nodes know of it.
    for pause in [0, 8] {
        std::thread::sleep(Duration::from_secs(pause));
        for address in cluster.addresses() {
            for key in [&used, &unused] {
                let booking = book(address, KEY, Some(key), "{}");
                assert_eq!(refusal(&booking), ("outcome_unknown", "unknown"));
            }
        }
    }
    assert_eq!(cluster.services[0].executions(&used), 1);
    assert_eq!(cluster.services[0].executions(&unused), 0);
}

/// Guards against a second execution, or a false "did not run", if the issuer dies in the middle of a call.
#[test]
fn an_issuer_that_dies_during_a_call_leaves_it_unknown() {
    let mut cluster = start();
    cluster.services[0].update(|it| it.delay_ms = 1_000);
    let addresses = cluster.addresses();
    let key = format!("{}.dying", prefix(addresses[0]));
    let first = {
        let (address, key) = (addresses[1], key.clone());
        std::thread::spawn(move || book(address, KEY, Some(&key), "{}"))
    };
    std::thread::sleep(Duration::from_millis(300));
    cluster.kill(0);
    assert_eq!(refusal(&first.join().unwrap()), ("outcome_unknown", "unknown"));
    let second = book(addresses[2], KEY, Some(&key), "{}");
    assert_eq!(refusal(&second), ("outcome_unknown", "unknown"));
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(cluster.services[0].executions(&key) <= 1);
}

/// Guards against lost outcomes, second executions and false statements after a planned stop of the issuer.
#[test]
fn a_stopped_issuer_leaves_its_outcomes_to_its_peers() {
    let mut cluster = start();
    let issuer = cluster.addresses()[0];
    let [done, broken, unused] = ["done", "broken", "unused"].map(|it| format!("{}.{it}", prefix(issuer)));
    let first = book(issuer, KEY, Some(&done), "{}");
    assert_eq!(first.status, 200);
    cluster.services[0].update(|it| it.break_replies = 1);
    let lost = book(issuer, KEY, Some(&broken), "{}");
    assert_eq!(refusal(&lost), ("outcome_unknown", "unknown"));
    assert_eq!(cluster.nodes.remove(0).stop(), StopOutcome::Complete);
    for address in cluster.addresses() {
        assert_eq!(book(address, KEY, Some(&done), "{}"), first);
        let other_body = book(address, KEY, Some(&done), "{\"other\":1}");
        assert_eq!(refusal(&other_body), ("key_reused", "unknown"));
        let booking = book(address, KEY, Some(&broken), "{}");
        assert_eq!(refusal(&booking), ("outcome_unknown", "unknown"));
        let booking = book(address, KEY, Some(&unused), "{}");
        assert_eq!(refusal(&booking), ("leaving", "no"));
    }
    assert_eq!(cluster.services[0].executions(&done), 1);
    assert_eq!(cluster.services[0].executions(&broken), 1);
    assert_eq!(cluster.services[0].executions(&unused), 0);
}

/// Guards against bookings that depend on the log.
#[test]
fn bookings_go_on_during_an_outage_of_the_log() {
    let cluster = start();
    cluster.log.update(|it| it.outage = true);
    let addresses = cluster.addresses();
    let key = format!("{}.outage", prefix(addresses[0]));
    for address in &addresses {
        assert_eq!(book(*address, KEY, Some(&key), "{}").status, 200);
        assert_eq!(book(*address, KEY, None, "{}").status, 200);
    }
    assert_eq!(cluster.services[0].executions(&key), 1);
    assert_eq!(cluster.services[0].executions_by_key().values().sum::<u64>(), 4);
}

/// Guards against a call without key that is executed twice or whose outcome cannot be asked for.
#[test]
fn a_call_without_key_gets_one() {
    let cluster = start();
    let addresses = cluster.addresses();
    cluster.services[0].update(|it| it.break_replies = 1);
    let lost = book(addresses[0], KEY, None, "{}");
    assert_eq!(refusal(&lost), ("outcome_unknown", "unknown"));
    let first = book(addresses[0], KEY, None, "{}");
    assert_eq!(first.status, 200);
    for address in addresses {
        let key = lost.key.as_deref();
        assert_eq!(
            refusal(&book(address, KEY, key, "{}")),
            ("outcome_unknown", "unknown")
        );
        assert_eq!(book(address, KEY, first.key.as_deref(), "{}").body, first.body);
    }
    for key in [lost.key, first.key] {
        assert_eq!(cluster.services[0].executions(&key.unwrap()), 1);
    }
}

/// Guards against "nothing ran" from a host that did not ask the issuer, which may be executing the call.
#[test]
fn a_host_without_proof_does_not_deny_an_execution() {
    let cluster = start();
    cluster.services[0].update(|it| it.delay_ms = 1_000);
    let addresses = cluster.addresses();
    let key = format!("{}.running", prefix(addresses[0]));
    let first = {
        let (address, key) = (addresses[0], key.clone());
        std::thread::spawn(move || book(address, KEY, Some(&key), "{}"))
    };
    std::thread::sleep(Duration::from_millis(200));
    for address in addresses {
        let booking = book(address, "unknown-bearer", Some(&key), "{}");
        assert_eq!(refusal(&booking), ("unauthorised", "unknown"));
        let large = "x".repeat(5 << 20);
        let booking = book(address, KEY, Some(&key), &large);
        assert_eq!(refusal(&booking), ("body_too_large", "unknown"));
        // No node can have issued this key.
        let booking = book(address, KEY, Some("no-prefix"), "{}");
        assert_eq!(refusal(&booking), ("key_invalid", "no"));
    }
    assert_eq!(first.join().unwrap().status, 200);
    assert_eq!(cluster.services[0].executions_by_key().values().sum::<u64>(), 1);
}

/// Guards against a key that runs after its issuer said that it did not and will not run.
#[test]
fn a_refused_key_stays_closed() {
    let cluster = start();
    let addresses = cluster.addresses();
    let key = format!("{}.refused", prefix(addresses[0]));
    cluster.services[0].update(|it| it.refusing = true);
    let booking = book(addresses[1], KEY, Some(&key), "{}");
    assert_eq!(booking.error.as_ref().unwrap().1, "no", "{booking:?}");
    cluster.services[0].update(|it| it.refusing = false);
    for address in addresses {
        let booking = book(address, KEY, Some(&key), "{}");
        assert_eq!(refusal(&booking), ("key_closed", "no"));
    }
    assert_eq!(cluster.services[0].executions(&key), 0);
}
