//! A daemon of an earlier build in a fleet of this one, and each build on data that the other one wrote.
//!
//! `BRONZEVALE_PREVIOUS` names the earlier `bronzevaled`. Without it, the daemon of this build takes its place, so that
//! the same steps run in CI.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

#[path = "../../demo/tests/common/mod.rs"]
mod cluster;
#[path = "../../../platform/tests/common/mod.rs"]
mod common;

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::{self, KEY, OTHER_KEY};
use node::Handle;
use ports::http::log::Client;
use ports::log::Log as _;
use serde_json::Value;
use standin::{Hosts, Log};

use cluster::{
    billed_requests, chat, entries, expected_answer, metric, start_rollout, start_with_all_entries,
    wait_until,
};
use common::brittle::{BrittleEngine, Model};
use common::engine::{Action, Engine};
use common::fleet::config;
use common::free_address;
use common::http::call;
use common::node::{Node, request};
use common::store::Store;

/// Longest wait for something that all nodes must see.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Keys of [`demo::Cluster`].
const SESSION_KEY: &str = "demo session key";
const CLUSTER_KEY: &str = "demo cluster key";

const CURRENT: &str = env!("CARGO_BIN_EXE_bronzevaled");

fn previous() -> String {
    std::env::var("BRONZEVALE_PREVIOUS").unwrap_or_else(|_| CURRENT.to_owned())
}

/// A daemon as a process.
#[derive(Debug)]
struct Daemon {
    child: Child,
    /// For callers.
    entry: SocketAddr,
    /// For operators, if the daemon serves a platform.
    control: SocketAddr,
    /// For membership.
    gossip: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn start(program: &str, name: &str, text: &str, addresses: [SocketAddr; 3]) -> Daemon {
    let child = Command::new(program)
        .arg("--config")
        .arg(file(&format!("{name}.ini"), text))
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let [entry, control, gossip] = addresses;
    Daemon {
        child,
        entry,
        control,
        gossip,
    }
}

/// Starts a daemon that serves the project's own interface.
fn node(program: &str, name: &str, seeds: &[SocketAddr], platform: &str) -> Daemon {
    let [entry, peer, gossip] = [free_address(), free_address(), free_address()];
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[node]\nhost = {name}\nfailure_domain = domain-9\nentry = {entry}\npeer = {peer}\ngossip = {gossip}\n\
         seeds = {}\n[keys]\nsession_file = {}\ncluster_file = {}\n{platform}\
         [config]\npoll_ms = 100\n[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n",
        seeds.join(", "),
        file(&format!("{name}-session.key"), SESSION_KEY).display(),
        file(&format!("{name}-cluster.key"), CLUSTER_KEY).display(),
    );
    start(program, name, &text, [entry, entry, gossip])
}

/// Starts a daemon that serves the users' platform. It has no seeds: it takes their ports for its own, and on loopback
/// that is itself.
fn platform_node(program: &str, name: &str, store: &Store) -> Daemon {
    let [entry, control, gossip] = [free_address(), free_address(), free_address()];
    let text = format!(
        "[node]\nhost = {name}\nfailure_domain = a\nregion = r\n\
         [listen]\nentry = {entry}\nready = {}\ndirectory = {}\ncontrol = {control}\ngossip = {gossip}\n\
         [store]\naddress = {}\nengine_poll_ms = 100\nconfig_wait_ms = 200\nheartbeat_ms = 500\n\
         [bounds]\nrevocation_ms = 1200\nstrict_revocation = true\nretry_ratio = 0.9\nretry_slack = 56\n",
        free_address(),
        free_address(),
        store.address
    );
    let daemon = start(program, name, &text, [entry, control, gossip]);
    wait_until("control address", TIMEOUT, || TcpStream::connect(control).is_ok());
    daemon
}

/// What a node of the users' platform believes.
fn state(control: SocketAddr) -> Value {
    let request = "GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    serde_json::from_str(&call(control, request).text()).unwrap()
}

/// A cluster of this build, and a daemon of the earlier one that all of its nodes know.
fn mixed(name: &str) -> (Cluster, Daemon) {
    let cluster = start_with_all_entries(&Options {
        extra_settings:
            "[config]\npoll_ms = 100\n[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n"
                .to_owned(),
        ..Options::default()
    });
    let seeds: Vec<_> = cluster.nodes.iter().map(Handle::gossip_address).collect();
    let platform = format!(
        "[platform]\nlog = {}\nhosts = {}\nrating = {}\nweights = {}\n",
        cluster.log.address(),
        cluster.hosts.address(),
        cluster.rating.address(),
        cluster.weights.address()
    );
    let daemon = node(&previous(), name, &seeds, &platform);
    wait_until("port", TIMEOUT, || TcpStream::connect(daemon.entry).is_ok());
    let known = cluster.addresses().len() + 1;
    let all = [cluster.addresses(), vec![daemon.entry]].concat();
    wait_until("entries", TIMEOUT, || {
        all.iter().all(|it| entries(*it, "").len() == known)
    });
    (cluster, daemon)
}

/// Guards against membership, sessions and keyed calls that nodes of two builds do not understand from each other.
#[test]
fn nodes_of_both_builds_serve_together() {
    let (cluster, daemon) = mixed("together");
    let all = [cluster.addresses(), vec![daemon.entry]].concat();
    for from in &all {
        let first = chat(*from, KEY, "small", &[]);
        assert!(first.complete, "{first:?}");
        let prefix = entries(*from, "")
            .iter()
            .find(|it| it["address"] == from.to_string())
            .and_then(|it| it["key_prefix"].as_str().map(ToOwned::to_owned))
            .unwrap();
        let key = format!("{prefix}.{}", from.port());
        for to in &all {
            let later = chat(*to, KEY, "small", &[("X-Session", &first.session)]);
            assert!(later.complete, "session of {from} at {to}: {later:?}");
            assert_eq!(later.text, first.text);
            let booked = attohttpc::post(format!("http://{to}/v1/services/stock/holds"))
                .bearer_auth(KEY)
                .header("Idempotency-Key", &key)
                .text("{}")
                .send()
                .unwrap();
            assert_eq!(booked.status(), 200, "key of {from} at {to}");
        }
        assert_eq!(cluster.services[0].executions(&key), 1);
    }
    for address in all {
        for name in [
            "gossip_rejected_total",
            "peer_calls_rejected_total",
            "keyed_forward_failures_total",
        ] {
            assert_eq!(metric(address, name), 0.0, "{name} of {address}");
        }
    }
}

/// Guards against bills that are lost since a node of the other build does not hold or settle them.
#[test]
fn bills_of_a_dead_node_are_written_by_the_other_build() {
    let (cluster, mut daemon) = mixed("bills");
    let requests = 3;
    for _ in 0..requests {
        assert!(chat(daemon.entry, OTHER_KEY, "small", &[]).complete);
    }
    wait_until("bills", TIMEOUT, || {
        billed_requests(&cluster, "other") == requests
    });
    cluster.log.update(|it| it.outage = true);
    for _ in 0..requests {
        assert!(chat(daemon.entry, OTHER_KEY, "small", &[]).complete);
    }
    daemon.child.kill().unwrap();
    std::thread::sleep(Duration::from_secs(8));
    cluster.log.update(|it| *it = standin::log::Faults::default());
    wait_until("bills of the dead node", TIMEOUT, || {
        billed_requests(&cluster, "other") >= 2 * requests
    });
    assert_eq!(billed_requests(&cluster, "other"), 2 * requests);
}

/// Guards against counters of a roll-out, or its records, that one build does not take over from the other.
#[test]
fn rollout_is_evaluated_by_both_builds() {
    let (cluster, daemon) = mixed("rollout");
    cluster.rating.update(|it| {
        it.adequacy.insert("small-2".to_owned(), 0);
    });
    start_rollout(&cluster);
    let all = [cluster.addresses(), vec![daemon.entry]].concat();
    let revision = |it: &SocketAddr| metric(*it, "config_revision");
    wait_until("halt", Duration::from_secs(60), || {
        for address in &all {
            assert!(chat(*address, KEY, "small", &[]).complete);
        }
        // The sample, the roll-out and its halt.
        all.iter().all(|it| revision(it) >= 3.0)
    });
    for address in &all {
        assert_eq!(chat(*address, KEY, "small", &[]).text, expected_answer("small-1"));
        assert!(metric(*address, "evidence_received_total") > 0.0, "{address}");
        assert_eq!(metric(*address, "evidence_failures_total"), 0.0, "{address}");
    }
}

fn reads_the_log_of(writer: &str, reader: &str, name: &str) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = Log::bind(any, standin::log::Options::default()).unwrap();
    let hosts = Hosts::bind(any, standin::hosts::Options::default()).unwrap();
    let platform = format!(
        "[platform]\nlog = {}\nhosts = {}\n",
        log.address(),
        hosts.address()
    );
    let client = Client::new(log.address(), TIMEOUT, TIMEOUT);
    let append = |payloads: &[Vec<u8>]| {
        client.append(config::STREAM, payloads).unwrap();
    };
    append(&[sample::initial_payload()]);
    let old = node(writer, &format!("{name}-writer"), &[], &platform);
    let serves = |it: &Daemon| {
        let models = attohttpc::get(format!("http://{}/v1/models", it.entry)).bearer_auth(KEY);
        models.send().is_ok_and(|it| it.status() == 200)
    };
    wait_until("configuration", TIMEOUT, || serves(&old));
    // A snapshot is due after 1,000 records; repeated proposals are records that change nothing.
    append(&vec![sample::initial_payload(); 1100]);
    wait_until("snapshot", Duration::from_secs(90), || {
        metric(old.entry, "config_snapshots_total") >= 1.0
    });
    drop(old);
    // The record with the objects is dropped, but all records since the state of the snapshot are kept.
    log.update(|it| it.retention = 500);
    append(&[b"a record that does not decode".to_vec()]);
    let new = node(reader, &format!("{name}-reader"), &[], &platform);
    wait_until("configuration from the snapshot", TIMEOUT, || serves(&new));
}

/// Guards against a snapshot of the configuration that the next build cannot read.
#[test]
fn snapshot_of_the_earlier_build_is_read() {
    reads_the_log_of(&previous(), CURRENT, "upgrade");
}

/// Guards against a snapshot that makes it impossible to return to the earlier build.
#[test]
fn snapshot_is_read_by_the_earlier_build() {
    reads_the_log_of(CURRENT, &previous(), "return");
}

/// Guards against settings that only one of the builds accepts.
#[test]
fn examples_pass_the_check_of_both_builds() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for entry in fs::read_dir(examples).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|it| it == "ini") {
            for program in [&previous(), CURRENT] {
                let check = Command::new(program)
                    .arg("--config")
                    .arg(&path)
                    .arg("--check")
                    .output();
                assert_eq!(check.unwrap().status.code(), Some(0), "{program} {path:?}");
            }
        }
    }
}

/// Guards against readings and notices that nodes of two builds on the users' platform do not understand.
#[test]
fn platform_nodes_of_both_builds_serve_together() {
    let store = Store::spawn();
    store.put("keyed.op", "config", &config(1, "\"secret\""));
    Engine::spawn("old", "desk", &[Action::Answer]).register(&store, "ready");
    let daemon = platform_node(&previous(), "previous", &store);
    let nodes = ["n0", "n1", "n2"].map(|it| Node::spawn(&store, it, &[daemon.gossip]));
    let mut entries: Vec<_> = nodes.iter().map(|it| it.settings.listen.entry).collect();
    let mut controls: Vec<_> = nodes.iter().map(|it| it.settings.listen.control).collect();
    entries.push(daemon.entry);
    controls.push(daemon.control);
    wait_until("the other members", TIMEOUT, || {
        controls
            .iter()
            .all(|it| state(*it)["members"].as_array().is_some_and(|it| it.len() == 4))
    });
    wait_until("entry answers with all nodes", TIMEOUT, || {
        let answers = nodes.iter().map(Node::entries);
        answers
            .into_iter()
            .all(|answer| entries.iter().all(|it| answer.contains(&it.to_string())))
    });
    for entry in &entries {
        wait_until("an answer", TIMEOUT, || {
            call(*entry, &request("/look/1", "a1", "")).status() == 200
        });
    }
    // Builds without this state spend their budgets by another rule.
    let is_older = state(daemon.control)["retry_budgets"].is_null();
    wait_until("room for what the earlier build may repeat", TIMEOUT, || {
        let part = |it: &Node| it.state()["retry_budgets"]["ratio_part"].as_f64().unwrap();
        nodes.iter().all(|it| (part(it) < 1.0) == is_older)
    });
    let new = Engine::spawn("new", "desk", &[Action::Fail]);
    new.register_version(&store, "ready", "v2");
    let order = r#"{"service":"desk","target":"v2","durationS":60}"#;
    store.put("keyed.op", "rollout/desk", order);
    wait_until(
        "the end of the release on all nodes",
        Duration::from_secs(60),
        || {
            for (index, entry) in entries.iter().enumerate() {
                let id = format!("r{index}");
                call(
                    *entry,
                    &request("/look/1", &id, &format!("Session: {id}-{}\r\n", unique())),
                );
            }
            let ended = |it: &SocketAddr| state(*it)["releases"][0]["stage"] == "Reverted";
            controls.iter().all(ended)
        },
    );
    store.put("keyed.op", "config", &config(2, ""));
    for entry in &entries {
        wait_until("the refusal of the key", TIMEOUT, || {
            call(*entry, &request("/look/1", "a2", "")).status() == 401
        });
    }
    drop(daemon);
    let later = platform_node(CURRENT, "later", &store);
    wait_until("what the store holds", TIMEOUT, || {
        let state = state(later.control);
        state["configuration"]["version"] == 2 && state["releases"][0]["stage"] == "Reverted"
    });
}

/// Guards against brittle engines that get no requests as the node that gives out their places doesn't know the questions.
#[test]
fn brittle_engines_of_both_builds_are_used() {
    let store = Store::spawn();
    store.put("keyed.op", "config", &config(1, "\"secret\""));
    let model = Model {
        slots: 8,
        work: Duration::from_millis(50),
        tolerance: 3,
    };
    let engines =
        ["b0", "b1", "b2", "b3", "b4", "b5"].map(|it| BrittleEngine::spawn(&store, it, "desk", model));
    let daemon = platform_node(&previous(), "brittle", &store);
    let nodes = ["n0", "n1", "n2"].map(|it| Node::spawn(&store, it, &[daemon.gossip]));
    wait_until("the other members", TIMEOUT, || {
        let members = |it: &Node| it.state()["members"].as_array().map(Vec::len);
        nodes.iter().all(|it| members(it) == Some(4))
    });
    let send = |prefix: &str, count: usize| {
        let statuses = (0..count).map(|it| {
            let node = &nodes[it % nodes.len()];
            node.call(&request("/look/1", &format!("{prefix}{it}"), ""))
                .status()
        });
        statuses.filter(|it| *it == 200).count()
    };
    // Until all nodes know that the engines are brittle.
    send("early", 60);
    let before = engines.each_ref().map(BrittleEngine::served);
    let served = send("late", 150);
    let after = engines.each_ref().map(BrittleEngine::served);
    let by_engine: Vec<_> = after.iter().zip(before).map(|it| it.0 - it.1).collect();
    assert_eq!(served, 150, "{by_engine:?}");
    assert!(by_engine.iter().all(|it| *it > 0), "{by_engine:?}");
}

/// A number that no earlier call returned, for sessions that no node has seen.
fn unique() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
