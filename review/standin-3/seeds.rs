//! Machines that start again while their seeds are gone, and an engine that names its limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Attempt, Attempts, send};
use crate::node::Node;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Verdict, address, configuration, is_troubled, ports};

const NODES: usize = 8;
const SEEDS: usize = 3;
/// `seedLagS`: for so long the seeds in the settings may be stale.
const SEED_LAG: Duration = Duration::from_secs(3);
/// Time from the restart to the statement of the limit.
const CALM: Duration = Duration::from_secs(66);
/// Requests a second that the engine takes from all machines together.
const LIMIT: f64 = 20.0;
/// `stabilityWindowMs`.
const STABILITY: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const PRESSURE: Duration = Duration::from_secs(14);
const CLIENTS: usize = 60;

pub fn play(folder: &str) -> Verdict {
    let record = Record::create(folder);
    let (ports, port) = ports();
    let temporary = std::env::temp_dir().join(format!("review-3-seeds-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start(address(1, port));
    store.put(
        "keyed.op",
        "config",
        &configuration(&[("/look/", "safe", "desk", 2)], &["desk"]),
    );
    let is_limited = Arc::new(AtomicBool::new(false));
    let stated = is_limited.clone();
    let server = Server::start(
        &store,
        "i-1",
        "desk",
        "v1",
        address(11, port),
        move |_| match stated.load(Ordering::SeqCst) {
            true => (200, format!("Server-Limit: {LIMIT:.1}\r\n")),
            false => (200, String::new()),
        },
    );
    let mut nodes: Vec<_> = (1..=NODES)
        .map(|it| Node::new(it, ports, address(1, port), &temporary))
        .collect();
    let seeds: Vec<_> = nodes[..SEEDS].iter().map(Node::control).collect();
    for node in &mut nodes {
        node.write_settings(&seeds, true);
        node.start();
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.say("a node did not become ready");
        return Verdict::Void;
    }
    record.say(&format!(
        "{NODES} machines ready, the seeds are those of edge-1 to edge-{SEEDS}"
    ));
    thread::sleep(Duration::from_secs(2));
    if is_troubled() {
        nodes.iter_mut().for_each(Node::kill);
        record.say(&format!(
            "all machines lost power; edge-1 to edge-{SEEDS} are gone for good"
        ));
        thread::sleep(Duration::from_millis(500));
        for node in &mut nodes[SEEDS..] {
            node.write_settings(&seeds, false);
            node.start();
        }
        record.say("the others start again, with the settings as they were");
    } else {
        record.say("nothing happens to the machines");
    }
    let restarted_at = Instant::now();
    let live: Vec<_> = match is_troubled() {
        true => nodes.drain(SEEDS..).collect(),
        false => nodes.drain(..).collect(),
    };
    if !live.iter().all(Node::wait_ready) {
        record.say("a node did not become ready again");
        return Verdict::Void;
    }
    if is_troubled() {
        thread::sleep(SEED_LAG.saturating_sub(restarted_at.elapsed()));
        let seeds: Vec<_> = live[..SEEDS].iter().map(Node::control).collect();
        for node in &live {
            node.write_settings(&seeds, false);
            node.signal("HUP");
        }
        record.say("the settings name machines that run as seeds, SIGHUP to all");
    }
    thread::sleep(CALM.saturating_sub(restarted_at.elapsed()));
    for node in &live {
        let named = node.resolve();
        record.say(&format!("the directory of {} names {named:?}", node.name));
    }
    let attempts = press(&record, &live, &is_limited);
    let verdict = judge(&record, &server, &attempts);
    drop(live);
    let _ = std::fs::remove_dir_all(&temporary);
    verdict
}

/// Clients ask the directory of a machine each second, and send to what it names.
fn press(record: &Record, live: &[Node], is_limited: &AtomicBool) -> Vec<Attempt> {
    let attempts = Attempts::default();
    let end = Instant::now() + PRESSURE;
    is_limited.store(true, Ordering::SeqCst);
    record.say(&format!(
        "the engine names its limit of {LIMIT} requests a second in all answers; {CLIENTS} clients"
    ));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let attempts = &attempts;
            let home = &live[client % live.len()];
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(5 * client as u64));
                let mut named = vec![];
                let mut asked_at = None::<Instant>;
                for number in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    if asked_at.is_none_or(|it| it.elapsed() >= Duration::from_secs(1)) {
                        let answer = home.resolve();
                        if !answer.is_empty() {
                            named = answer;
                        }
                        asked_at = Some(Instant::now());
                    }
                    if !named.is_empty() {
                        let front = named[(number * 7 + client) % named.len()];
                        attempts.push(send(front, "GET", "/look/1", Duration::from_secs(1)));
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    });
    attempts.0.into_inner().unwrap()
}

fn judge(record: &Record, server: &Server, attempts: &[Attempt]) -> Verdict {
    let mut passed_on: HashMap<SocketAddr, Instant> = HashMap::new();
    let mut fronts = HashMap::new();
    let mut named_at = None::<Instant>;
    for it in attempts {
        fronts.insert(it.id.clone(), it.front);
        let status = it.response.as_ref().map(|it| it.status);
        record.line_at(
            it.sent_at,
            &format!("client {} to {} got {status:?}", it.id, it.front),
        );
        let limit = it.response.as_ref().and_then(|it| it.header("Server-Limit"));
        if limit.is_some() {
            let at = it.answered_at;
            let first = passed_on.entry(it.front).or_insert(at);
            *first = at.min(*first);
            named_at = Some(named_at.map_or(at, |it| it.min(at)));
        }
    }
    let Some(named_at) = named_at else {
        record.say("no client got an answer with the limit");
        return Verdict::Void;
    };
    let from = named_at + STABILITY;
    let mut counted = vec![];
    for it in server.arrivals.lock().unwrap().iter() {
        let Some(front) = fronts.get(&it.id) else { continue };
        record.line_at(
            it.at,
            &format!("engine {} got {} from the machine at {front}", server.id, it.id),
        );
        let passed = passed_on
            .get(front)
            .is_some_and(|at| *at + Duration::from_millis(500) <= it.at);
        if passed && it.at >= from {
            counted.push(it.at);
        }
    }
    counted.sort();
    let most = counted
        .iter()
        .map(|begin| {
            counted
                .iter()
                .filter(|it| *begin <= **it && **it < *begin + WINDOW)
                .count()
        })
        .max()
        .unwrap_or_default();
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    record.say(&format!(
        "the engine got {most} requests in some 4 s; allowed {allowed}"
    ));
    match most as f64 > allowed {
        true => {
            record.say("LIMIT is broken");
            Verdict::Broken
        }
        false => Verdict::Held,
    }
}
