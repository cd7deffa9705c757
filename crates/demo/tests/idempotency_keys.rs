//! At-most-once execution of non-idempotent service calls when nodes are slow, crash or stop.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;
use node::StopOutcome;
use serde_json::Value;

mod common;

use common::{entries, start_with_all_entries};

const KEY_HEADER: &str = "Idempotency-Key";

/// Response to a service call, as received by the caller.
#[derive(Debug, PartialEq)]
struct ServiceResponse {
    status: u16,
    /// Code and `ran` value of the error, if any.
    error: Option<(String, String)>,
    /// Idempotency key in the response headers, if any.
    key: Option<String>,
    body: String,
}

fn start() -> Cluster {
    let options = Options {
        extra_settings:
            "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n[config]\npoll_ms = 100\n\
                [deadlines]\ntransaction_ms = 4000\n"
                .to_owned(),
        ..Options::default()
    };
    start_with_all_entries(&options)
}

/// Prefix of the idempotency keys that the node at `address` issues.
fn issued_prefix(address: SocketAddr) -> String {
    let entries = entries(address, "");
    let own = entries
        .iter()
        .find(|it| it["address"].as_str() == Some(&address.to_string()));
    own.unwrap()["key_prefix"].as_str().unwrap().to_owned()
}

fn call_service(address: SocketAddr, bearer: &str, key: Option<&str>, body: &str) -> ServiceResponse {
    let mut request = attohttpc::post(format!("http://{address}/v1/services/stock/holds"))
        .read_timeout(Duration::from_secs(10))
        .bearer_auth(bearer);
    if let Some(key) = key {
        request = request.header(KEY_HEADER, key);
    }
    let response = request.text(body).send().unwrap();
    let status = response.status().as_u16();
    let key = response.headers().get(KEY_HEADER);
    let key = key.map(|it| it.to_str().unwrap().to_owned());
    let body = response.text().unwrap();
    let value: Value = serde_json::from_str(&body).unwrap();
    let error = value["error"]["code"].as_str().map(|code| {
        let ran = value["error"]["ran"].as_str().unwrap();
        (code.to_owned(), ran.to_owned())
    });
    ServiceResponse {
        status,
        error,
        key,
        body,
    }
}

/// Code and `ran` value of the error; panics if the call succeeded.
fn error_and_ran(response: &ServiceResponse) -> (&str, &str) {
    let (code, ran) = response.error.as_ref().unwrap();
    (code, ran)
}

/// Guards against a second execution when a caller sends the same call to other nodes while the first attempt
/// is still running.
#[test]
fn concurrent_attempts_on_all_nodes_execute_once() {
    let cluster = start();
    cluster.services[0].update(|it| it.delay_ms = 800);
    let addresses = cluster.addresses();
    for issuer in &addresses {
        let key = format!("{}.slow", issued_prefix(*issuer));
        let attempts: Vec<_> = addresses
            .iter()
            .map(|it| {
                let (address, key) = (*it, key.clone());
                std::thread::spawn(move || call_service(address, KEY, Some(&key), "{}"))
            })
            .collect();
        let answers: Vec<_> = attempts.into_iter().map(|it| it.join().unwrap()).collect();
        assert_eq!(answers[0].status, 200, "{answers:?}");
        assert!(answers.iter().all(|it| *it == answers[0]), "{answers:?}");
        assert_eq!(cluster.services[0].executions(&key), 1);
    }
}

/// Guards against an execution under a key whose issuer has crashed, since nobody knows whether the call was
/// already executed.
#[test]
fn key_of_a_crashed_issuer_is_not_executed() {
    let mut cluster = start();
    let issuer = cluster.addresses()[0];
    let [used, unused] = ["used", "unused"].map(|it| format!("{}.{it}", issued_prefix(issuer)));
    assert_eq!(call_service(issuer, KEY, Some(&used), "{}").status, 200);
    cluster.kill(0);
    // Immediately after the crash, and after the other nodes have detected it.
    for pause in [0, 8] {
        std::thread::sleep(Duration::from_secs(pause));
        for address in cluster.addresses() {
            for key in [&used, &unused] {
                let response = call_service(address, KEY, Some(key), "{}");
                assert_eq!(error_and_ran(&response), ("outcome_unknown", "unknown"));
            }
        }
    }
    assert_eq!(cluster.services[0].executions(&used), 1);
    assert_eq!(cluster.services[0].executions(&unused), 0);
}

/// Guards against a second execution, or a false statement that nothing ran, when the issuer crashes during a
/// call.
#[test]
fn crash_of_the_issuer_during_a_call_makes_its_outcome_unknown() {
    let mut cluster = start();
    cluster.services[0].update(|it| it.delay_ms = 1_000);
    let addresses = cluster.addresses();
    let key = format!("{}.crash", issued_prefix(addresses[0]));
    let first = {
        let (address, key) = (addresses[1], key.clone());
        std::thread::spawn(move || call_service(address, KEY, Some(&key), "{}"))
    };
    std::thread::sleep(Duration::from_millis(300));
    cluster.kill(0);
    assert_eq!(
        error_and_ran(&first.join().unwrap()),
        ("outcome_unknown", "unknown")
    );
    let second = call_service(addresses[2], KEY, Some(&key), "{}");
    assert_eq!(error_and_ran(&second), ("outcome_unknown", "unknown"));
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(cluster.services[0].executions(&key) <= 1);
}

/// Guards against lost outcomes, second executions and false statements about the execution after a planned
/// stop of the issuer.
#[test]
fn stopped_issuer_hands_its_outcomes_over_to_its_peers() {
    let mut cluster = start();
    let issuer = cluster.addresses()[0];
    let [done, broken, unused] =
        ["done", "broken", "unused"].map(|it| format!("{}.{it}", issued_prefix(issuer)));
    let first = call_service(issuer, KEY, Some(&done), "{}");
    assert_eq!(first.status, 200);
    cluster.services[0].update(|it| it.break_replies = 1);
    let lost = call_service(issuer, KEY, Some(&broken), "{}");
    assert_eq!(error_and_ran(&lost), ("outcome_unknown", "unknown"));
    assert_eq!(cluster.nodes.remove(0).stop(), StopOutcome::Complete);
    for address in cluster.addresses() {
        assert_eq!(call_service(address, KEY, Some(&done), "{}"), first);
        let other_body = call_service(address, KEY, Some(&done), "{\"other\":1}");
        assert_eq!(error_and_ran(&other_body), ("key_reused", "unknown"));
        let response = call_service(address, KEY, Some(&broken), "{}");
        assert_eq!(error_and_ran(&response), ("outcome_unknown", "unknown"));
        let response = call_service(address, KEY, Some(&unused), "{}");
        assert_eq!(error_and_ran(&response), ("leaving", "no"));
    }
    assert_eq!(cluster.services[0].executions(&done), 1);
    assert_eq!(cluster.services[0].executions(&broken), 1);
    assert_eq!(cluster.services[0].executions(&unused), 0);
}

/// Guards against a service's own status that looks like a refusal of the node, after which a caller may call again: only
/// `ran` says that nothing ran.
#[test]
fn failure_with_the_status_of_a_refusal_is_kept_and_states_nothing() {
    let cluster = start();
    let addresses = cluster.addresses();
    for status in [408, 429, 503] {
        cluster.services[0].update(|it| it.fail_with = Some(status));
        let key = format!("{}.{status}", issued_prefix(addresses[0]));
        let first = call_service(addresses[0], KEY, Some(&key), "{}");
        assert_eq!((first.status, &first.error), (status, &None), "{first:?}");
        cluster.services[0].update(|it| it.fail_with = None);
        for address in &addresses {
            assert_eq!(call_service(*address, KEY, Some(&key), "{}"), first);
        }
        assert_eq!(cluster.services[0].executions(&key), 1);
    }
}

/// Guards against service calls that depend on the log.
#[test]
fn service_calls_succeed_during_a_log_outage() {
    let cluster = start();
    cluster.log.update(|it| it.outage = true);
    let addresses = cluster.addresses();
    let key = format!("{}.outage", issued_prefix(addresses[0]));
    for address in &addresses {
        assert_eq!(call_service(*address, KEY, Some(&key), "{}").status, 200);
        assert_eq!(call_service(*address, KEY, None, "{}").status, 200);
    }
    assert_eq!(cluster.services[0].executions(&key), 1);
    assert_eq!(cluster.services[0].executions_by_key().values().sum::<u64>(), 4);
}

/// Guards against a call without a key that is executed twice, or whose outcome the caller cannot query.
#[test]
fn call_without_a_key_is_assigned_one() {
    let cluster = start();
    let addresses = cluster.addresses();
    cluster.services[0].update(|it| it.break_replies = 1);
    let lost = call_service(addresses[0], KEY, None, "{}");
    assert_eq!(error_and_ran(&lost), ("outcome_unknown", "unknown"));
    let first = call_service(addresses[0], KEY, None, "{}");
    assert_eq!(first.status, 200);
    for address in addresses {
        let key = lost.key.as_deref();
        assert_eq!(
            error_and_ran(&call_service(address, KEY, key, "{}")),
            ("outcome_unknown", "unknown")
        );
        assert_eq!(
            call_service(address, KEY, first.key.as_deref(), "{}").body,
            first.body
        );
    }
    for key in [lost.key, first.key] {
        assert_eq!(cluster.services[0].executions(&key.unwrap()), 1);
    }
}

/// Guards against a node stating that nothing ran without having asked the issuer, which may be executing the
/// call.
#[test]
fn node_that_did_not_ask_the_issuer_reports_unknown() {
    let cluster = start();
    cluster.services[0].update(|it| it.delay_ms = 1_000);
    let addresses = cluster.addresses();
    let key = format!("{}.running", issued_prefix(addresses[0]));
    let first = {
        let (address, key) = (addresses[0], key.clone());
        std::thread::spawn(move || call_service(address, KEY, Some(&key), "{}"))
    };
    std::thread::sleep(Duration::from_millis(200));
    for address in addresses {
        let response = call_service(address, "unknown-bearer", Some(&key), "{}");
        assert_eq!(error_and_ran(&response), ("unauthorised", "unknown"));
        let large = "x".repeat(5 << 20);
        let response = call_service(address, KEY, Some(&key), &large);
        assert_eq!(error_and_ran(&response), ("body_too_large", "unknown"));
        // No node can have issued a key without a valid prefix, so it cannot have run.
        let response = call_service(address, KEY, Some("no-prefix"), "{}");
        assert_eq!(error_and_ran(&response), ("key_invalid", "no"));
    }
    assert_eq!(first.join().unwrap().status, 200);
    assert_eq!(cluster.services[0].executions_by_key().values().sum::<u64>(), 1);
}

/// Guards against the execution of a key after its issuer has stated that the call did not run and will not
/// run.
#[test]
fn refused_key_is_not_executed_later() {
    let cluster = start();
    let addresses = cluster.addresses();
    let key = format!("{}.refused", issued_prefix(addresses[0]));
    cluster.services[0].update(|it| it.refusing = true);
    let response = call_service(addresses[1], KEY, Some(&key), "{}");
    assert_eq!(response.error.as_ref().unwrap().1, "no", "{response:?}");
    cluster.services[0].update(|it| it.refusing = false);
    for address in addresses {
        let response = call_service(address, KEY, Some(&key), "{}");
        assert_eq!(error_and_ran(&response), ("key_closed", "no"));
    }
    assert_eq!(cluster.services[0].executions(&key), 0);
}
