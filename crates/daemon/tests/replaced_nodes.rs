//! Nodes of two builds on the users' platform that are replaced one after the other under load, and put back.
//!
//! `BRONZEVALE_PREVIOUS` names the earlier `bronzevaled`, as for `previous_build`; `cargo run -p xtask -- mixed COMMIT` builds
//! it and runs both. Without it all nodes are of this build.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

use std::collections::HashMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::engine::{Action, EVENTS, Engine, events, runs, stream};
use common::http::{Message, call, read};
use common::node::request;
use common::store::Store;
use common::two_services::{BOOKING, CONFIG, LOOKUP, TALK};
use common::wait_until;

const CURRENT: &str = env!("CARGO_BIN_EXE_bronzevaled");

const HOSTS: usize = 4;

const CALLERS: usize = 3;

/// Addresses that a caller tries for one request.
const MAX_TRIES: usize = 3;

/// Time that a process needs at most for a planned stop, with the grace period of the settings.
const STOP_TIME: Duration = Duration::from_secs(9);

/// Requests a second that the engine with a limit takes from all nodes together.
const LIMIT: usize = 20;

/// Permits that a node may have kept from before, in addition to [`LIMIT`] in a second.
const KEPT_PERMITS: usize = HOSTS + 1;

/// Build of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Build {
    Previous,
    Current,
}

impl Build {
    fn program(self) -> String {
        let previous = std::env::var("BRONZEVALE_PREVIOUS").ok();
        previous
            .filter(|_| self == Self::Previous)
            .unwrap_or_else(|| CURRENT.to_owned())
    }
}

/// A daemon as a process, on an address of its own.
#[derive(Debug)]
struct Node {
    child: Child,
    entry: SocketAddr,
    control: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports of the nodes, the same on each host, and the hosts' addresses.
#[derive(Debug, Clone)]
struct Places {
    /// Third byte of the addresses, by which tests of one process don't meet.
    network: u8,
    ports: [u16; 5],
}

impl Places {
    fn new(network: u8) -> Self {
        let ports = (0..).map(|it| 21_000 + u16::from(network) * 200 + it * 5);
        let is_free = |host: usize, port: u16| {
            let address = SocketAddr::from(([127, 0, network, host as u8 + 1], port));
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        let all_free = |first: &u16| (0..HOSTS).all(|host| (0..5).all(|it| is_free(host, first + it)));
        let first = ports.take(30).find(all_free).unwrap();
        Self {
            network,
            ports: [0, 1, 2, 3, 4].map(|it| first + it),
        }
    }

    fn address(&self, host: usize, port: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, self.network, host as u8 + 1], self.ports[port]))
    }

    fn start(&self, host: usize, build: Build, store: &Store) -> Node {
        let address = |port| self.address(host, port);
        let seeds: Vec<_> = (0..HOSTS).map(|it| self.address(it, 4).to_string()).collect();
        let text = format!(
            "[node]\nhost = n{host}\nfailure_domain = a\nregion = r\n\
             [listen]\nentry = {}\nready = {}\ndirectory = {}\ncontrol = {}\ngossip = {}\nseeds = {}\n\
             [store]\naddress = {}\nengine_poll_ms = 200\nconfig_wait_ms = 300\nheartbeat_ms = 500\n\
             [bounds]\nrevocation_ms = 3000\nstrict_revocation = true\nretry_ratio = 0.9\nretry_slack = 56\n",
            address(0),
            address(1),
            address(2),
            address(3),
            address(4),
            seeds.join(", "),
            store.address
        );
        let name = format!("replaced-{}-{host}.ini", self.network);
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).unwrap();
        let child = Command::new(build.program())
            .arg("--config")
            .arg(path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let ready = address(1);
        wait_until("the node to be ready", || {
            let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            TcpStream::connect(ready).is_ok() && call(ready, request).status() == 200
        });
        Node {
            child,
            entry: address(0),
            control: address(3),
        }
    }
}

/// A fleet of processes before the engines of two services.
#[derive(Debug)]
struct Fleet {
    store: Store,
    desk: Vec<Engine>,
    pool: Vec<Engine>,
    places: Places,
    nodes: Vec<Node>,
}

impl Fleet {
    fn spawn(network: u8, builds: [Build; HOSTS]) -> Self {
        let store = Store::spawn();
        store.put("keyed.op", "config", CONFIG);
        let spawn = |service: &str, action: &Action| -> Vec<Engine> {
            (0..2)
                .map(|it| Engine::spawn(&format!("{service}{it}"), service, std::slice::from_ref(action)))
                .collect()
        };
        let (desk, pool) = (spawn("desk", &Action::Answer), spawn("pool", &stream(90)));
        desk.iter()
            .chain(&pool)
            .for_each(|it| it.register(&store, "ready"));
        let places = Places::new(network);
        let nodes = builds.into_iter().enumerate();
        let nodes = nodes
            .map(|(host, build)| places.start(host, build, &store))
            .collect();
        let fleet = Self {
            store,
            desk,
            pool,
            places,
            nodes,
        };
        fleet.wait_for_members();
        fleet
    }

    fn wait_for_members(&self) {
        wait_until("all nodes to know each other", || {
            self.nodes.iter().all(|it| {
                let members = state(it.control)["members"]
                    .as_array()
                    .cloned()
                    .unwrap_or_default();
                members.iter().filter(|it| it["available"] == true).count() == HOSTS
            })
        });
    }

    /// Stops a node as planned and starts another build in its place.
    fn replace(&mut self, host: usize, build: Build) {
        let begin = Instant::now();
        let process = self.nodes[host].child.id().to_string();
        let signal = Command::new("kill").args(["-TERM", &process]).status().unwrap();
        assert!(signal.success());
        let status = self.nodes[host].child.wait().unwrap();
        assert!(status.success(), "{status}, after {:?}", begin.elapsed());
        assert!(begin.elapsed() < STOP_TIME, "{:?}", begin.elapsed());
        self.nodes[host] = self.places.start(host, build, &self.store);
        self.wait_for_members();
    }
}

fn state(control: SocketAddr) -> serde_json::Value {
    let request = "GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    serde_json::from_str(&call(control, request).text()).unwrap_or_default()
}

/// A request as its caller saw it.
#[derive(Debug)]
struct Outcome {
    path: &'static str,
    /// Ids and statuses of the attempts; 0 for one whose connection ended without a response.
    attempts: Vec<(String, u16)>,
    is_served: bool,
}

/// Sends requests to all hosts in turn, as a caller with addresses that may be old, until `stop`.
fn call_until(stop: &AtomicBool, entries: &[SocketAddr], caller: usize) -> Vec<Outcome> {
    let mut outcomes = vec![];
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let path = [LOOKUP, BOOKING, TALK][number % 3];
        let mut outcome = Outcome {
            path,
            attempts: vec![],
            is_served: false,
        };
        for attempt in 0..MAX_TRIES {
            let entry = entries[(number + caller + attempt) % entries.len()];
            // A host without a process takes no connection, so nothing was sent.
            let Ok(mut connection) = TcpStream::connect(entry) else {
                continue;
            };
            let id = format!("c{caller}n{number}a{attempt}");
            std::io::Write::write_all(&mut connection, request(path, &id, "").as_bytes()).unwrap();
            let response = read(&connection);
            let status = response.as_ref().map_or(0, Message::status);
            outcome.attempts.push((id, status));
            outcome.is_served = response.is_some_and(|it| is_whole(path, &it));
            // What may run only once is sent again after a promise only.
            if outcome.is_served || path == BOOKING && status != 503 {
                break;
            }
        }
        outcomes.push(outcome);
        thread::sleep(Duration::from_millis(20));
    }
    outcomes
}

fn is_whole(path: &str, response: &Message) -> bool {
    let is_expected = path != TALK || response.text() == events(1..=EVENTS);
    response.status() == 200 && response.complete && is_expected
}

/// Guards against requests that run twice, are lost or are told a lie, limits that are exceeded and configurations that go
/// back, while nodes are replaced by another build one after the other.
fn check(network: u8, builds: [Build; HOSTS], replacements: &[(usize, Build)]) {
    let mut fleet = Fleet::spawn(network, builds);
    fleet.desk[0].state_limit(Some(&LIMIT.to_string()));
    let entries: Vec<_> = fleet.nodes.iter().map(|it| it.entry).collect();
    let stop = AtomicBool::new(false);
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|it| {
                scope.spawn({
                    let (stop, entries) = (&stop, &entries);
                    move || call_until(stop, entries, it)
                })
            })
            .collect();
        let replaced = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            thread::sleep(Duration::from_secs(1));
            for (host, build) in replacements {
                fleet.replace(*host, *build);
            }
            thread::sleep(Duration::from_secs(1));
        }));
        // The callers would never end otherwise.
        stop.store(true, Ordering::Relaxed);
        let outcomes = callers.into_iter().flat_map(|it| it.join().unwrap()).collect();
        replaced.unwrap();
        outcomes
    });
    check_outcomes(&outcomes, &runs(fleet.desk.iter().chain(&fleet.pool)));
    let mut arrivals = fleet.desk[0].arrivals();
    arrivals.sort_unstable();
    for (index, begin) in arrivals.iter().enumerate() {
        let end = *begin + Duration::from_secs(1);
        let count = arrivals[index..].iter().take_while(|it| **it < end).count();
        assert!(
            count <= LIMIT + KEPT_PERMITS,
            "{count} requests in a second, {LIMIT} allowed"
        );
    }
    check_configuration(&fleet);
}

fn check_outcomes(outcomes: &[Outcome], runs: &HashMap<String, usize>) {
    assert!(outcomes.len() > 100, "{} requests", outcomes.len());
    for outcome in outcomes {
        for (id, status) in &outcome.attempts {
            let runs = runs.get(id).copied().unwrap_or_default();
            assert_ne!(
                (*status, runs.min(1)),
                (0, 1),
                "{id} ran and got no response: {outcome:?}"
            );
            if *status == 503 {
                assert_eq!(runs, 0, "{id} ran and was refused: {outcome:?}");
            }
            if outcome.path == BOOKING {
                assert!(runs <= 1, "{id} ran {runs} times: {outcome:?}");
            }
        }
        assert!(outcome.is_served, "{outcome:?}");
    }
}

/// Checks that all nodes follow a configuration which takes the key away.
fn check_configuration(fleet: &Fleet) {
    let config = CONFIG
        .replace(r#""version":1"#, r#""version":2"#)
        .replace(r#"["secret"]"#, "[]");
    fleet.store.put("keyed.op", "config", &config);
    for node in &fleet.nodes {
        wait_until("the refusal of the key", || {
            call(node.entry, &request(LOOKUP, "late", "")).status() == 401
        });
    }
    for node in &fleet.nodes {
        assert_eq!(state(node.control)["configuration"]["version"], 2);
        assert_eq!(call(node.entry, &request(LOOKUP, "late", "")).status(), 401);
    }
}

use Build::{Current, Previous};

macro_rules! fleets {
    ($($name:ident: $network:literal, $builds:expr => $replacements:expr;)*) => {
        $(#[test]
        fn $name() {
            check($network, $builds, &$replacements);
        })*
    };
}

fleets! {
    half_old: 41, [Previous, Previous, Current, Current] => [];
    one_old: 42, [Previous, Current, Current, Current] => [];
    one_new: 43, [Previous, Previous, Previous, Current] => [];
    replaced_one_after_the_other:
        44, [Previous; HOSTS] => [(0, Current), (1, Current), (2, Current), (3, Current)];
    put_back_one_after_the_other:
        45, [Current; HOSTS] => [(0, Previous), (1, Previous), (2, Previous), (3, Previous)];
}
