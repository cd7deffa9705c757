//! A key that is taken away while a machine is cut off, among many other changes of the configuration.

#[path = "../standin/common.rs"]
mod common;

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;

const SERVICE: &str = "desk";

/// Routes besides the one that is called: two changes by 350 routes.
const OTHER_ROUTES: usize = 700;

/// Time for which the machine is cut off, and the time after its begin at which the key is taken away.
const CUT_TIME: Duration = Duration::from_millis(12_000);
const REVOKED_AFTER: Duration = Duration::from_millis(6_000);

/// Changes in quick succession after the begin of the cut, and the time between two.
const CHANGES: u32 = 14;
const CHANGE_GAP: Duration = Duration::from_millis(330);

/// Bound of the rule.
const REVOKE: Duration = Duration::from_millis(5_000);

const CALLERS: usize = 60;

fn config(version: u32, keys: &str) -> String {
    let route = |name: &str, host: &str, prefix: &str, timeout: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"type\":\"unsafe\",\
             \"timeoutMs\":{timeout},\"goalMs\":300,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":1,\
             \"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("hold", "shop.example", "/hold/", 1200)];
    // Each version changes the timeout of a route that nobody calls.
    routes.extend((0..OTHER_ROUTES).map(|it| {
        let timeout = if it == version as usize { 1300 } else { 1200 };
        route(
            &format!("r-{it:07}"),
            "shop.example",
            &format!("/idle{it:04}/season/"),
            timeout,
        )
    }));
    format!(
        "{{\"version\":{version},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}},\"services\":[{{\"name\":\"{SERVICE}\",\"maxConns\":230}}],\
         \"routes\":[{}],\"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[{keys}]}}]}}",
        routes.join(",")
    )
}

/// Requests with the key: when each was sent, and which of them ran.
#[derive(Default)]
struct Seen {
    sent: Mutex<HashMap<String, Instant>>,
    ran: Mutex<Vec<String>>,
    answers: Mutex<Vec<Answer>>,
}

/// An answer to a request.
struct Answer {
    id: String,
    at: Instant,
    status: u16,
}

/// Sends requests with the key one after the other; waits as a refusal says.
fn call_repeatedly(node: std::net::SocketAddr, seen: &Seen, number: &AtomicUsize, stopped: &AtomicBool) {
    let mut connection: Option<Reader> = None;
    while !stopped.load(Ordering::SeqCst) {
        if connection.is_none() {
            let Ok(stream) = TcpStream::connect(node) else {
                sleep(Duration::from_millis(100));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            connection = Some(Reader::new(stream));
        }
        let Some(reader) = &mut connection else { continue };
        let id = format!("a{}", number.fetch_add(1, Ordering::SeqCst));
        let request = format!(
            "POST /hold/1 HTTP/1.1\r\nHost: shop.example\r\nBronzevale-Attempt-Id: {id}\r\n\
             Bronzevale-Deadline-Ms: 1500\r\nAuthorization: Bearer taken-away\r\nContent-Length: 4\r\n\r\nbody"
        );
        seen.sent.lock().unwrap().insert(id.clone(), Instant::now());
        let response = reader
            .stream
            .write_all(request.as_bytes())
            .and_then(|()| reader.response());
        let Ok(response) = response else {
            connection = None;
            continue;
        };
        let (at, status) = (Instant::now(), response.status());
        seen.answers.lock().unwrap().push(Answer { id, at, status });
        let retry_after = response.header("retry-after").and_then(|it| it.parse().ok());
        sleep(Duration::from_secs_f64(retry_after.unwrap_or(0.1)).min(Duration::from_millis(400)));
    }
}

fn run(folder: &Path, log: &Log) -> i32 {
    let store = Store::start();
    let with_key = "\"kept\",\"taken-away\"";
    let first = config(1, with_key);
    log.add(format!("a configuration has {} bytes", first.len()));
    store.put("keyed.op", "config", &first);
    let seen = Arc::new(Seen::default());
    let at_engine = seen.clone();
    Engine::start(&store, "i-1", SERVICE, "v1", move |id, request, stream| {
        let request_id = request
            .header("bronzevale-attempt-id")
            .unwrap_or_default()
            .to_owned();
        at_engine.ran.lock().unwrap().push(request_id);
        sleep(Duration::from_millis(5));
        let _ = respond(stream, 200, &receipt(id, &request), b"held");
    });
    let link = Link::to(store.address);
    let nodes = start_nodes(1, link.address, folder);
    if !wait_until(Duration::from_secs(15), || nodes[0].is_ready()) {
        log.add("the node did not become ready");
        return NOT_RUN;
    }
    sleep(Duration::from_secs(2));
    let (number, stopped) = (Arc::new(AtomicUsize::new(1)), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (node, seen, number, stopped) =
                (nodes[0].front, seen.clone(), number.clone(), stopped.clone());
            thread::spawn(move || call_repeatedly(node, &seen, &number, &stopped))
        })
        .collect();
    sleep(Duration::from_secs(1));
    let cut_at = Instant::now();
    if !is_calm() {
        log.add("the machine is cut off from the store");
        link.set_cut(true);
    }
    let versions = 2..2 + CHANGES;
    for version in versions.clone() {
        sleep(CHANGE_GAP);
        store.put("keyed.op", "config", &config(version, with_key));
    }
    log.add(format!("{CHANGES} further versions were acknowledged"));
    sleep(REVOKED_AFTER.saturating_sub(cut_at.elapsed()));
    store.put("keyed.op", "config", &config(versions.end, "\"kept\""));
    let revoked_at = Instant::now();
    log.add(format!(
        "version {} without the key is acknowledged",
        versions.end
    ));
    sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
    link.set_cut(false);
    let healed_at = Instant::now();
    if !is_calm() {
        log.add(format!(
            "the cut is over, {} ms after that",
            revoked_at.elapsed().as_millis()
        ));
    }
    sleep(Duration::from_secs(4));
    stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| it.join().unwrap());
    judge(log, &seen, revoked_at, healed_at)
}

/// Records what was sent, answered and run: sums of each second, and each request around the end of the cut.
fn record(
    log: &Log,
    sent: &HashMap<String, Instant>,
    ran: &[String],
    answers: &[Answer],
    healed_at: Instant,
) {
    let mut seconds: BTreeMap<i64, [usize; 4]> = BTreeMap::new();
    let mut around = vec![];
    for answer in answers {
        let Some(sent_at) = sent.get(&answer.id) else {
            continue;
        };
        let before = healed_at.saturating_duration_since(*sent_at).as_millis() as i64;
        let after = sent_at.saturating_duration_since(healed_at).as_millis() as i64 - before;
        let has_run = ran.contains(&answer.id);
        let sums = seconds.entry(after.div_euclid(1000)).or_default();
        let column = match answer.status {
            200 => 0,
            401 => 1,
            _ => 2,
        };
        sums[column] += 1;
        sums[3] += usize::from(has_run);
        if (0..=2000).contains(&after) {
            around.push((after, &answer.id, answer.status, has_run));
        }
    }
    for (second, [ok, unknown_key, refused, run]) in seconds {
        log.add(format!("sent in second {second} of the end of the cut: 200: {ok}, 401: {unknown_key}, other: {refused}, run: {run}"));
    }
    around.sort_unstable();
    for (after, id, status, has_run) in around {
        let run = if has_run { "ran" } else { "did not run" };
        log.add(format!(
            "{id} sent {after} ms after the end of the cut: {status}, {run}"
        ));
    }
}

fn judge(log: &Log, seen: &Seen, revoked_at: Instant, healed_at: Instant) -> i32 {
    let (sent, ran, answers) = (
        seen.sent.lock().unwrap(),
        seen.ran.lock().unwrap(),
        seen.answers.lock().unwrap(),
    );
    let count = |from: Instant, status: u16| {
        answers
            .iter()
            .filter(|it| it.at >= from && it.status == status)
            .count()
    };
    log.add(format!("{} requests sent, {} run", sent.len(), ran.len()));
    log.add(format!(
        "answers since the cut was over: 200: {}, 401: {}, 503: {}",
        count(healed_at, 200),
        count(healed_at, 401),
        count(healed_at, 503)
    ));
    record(log, &sent, &ran, &answers, healed_at);
    let before = answers
        .iter()
        .filter(|it| it.at < revoked_at && it.status == 200)
        .count();
    if before == 0 || count(healed_at, 401) == 0 {
        log.add("the key was never accepted, or never refused");
        return NOT_RUN;
    }
    let mut late: Vec<_> = ran
        .iter()
        .filter_map(|it| Some((it, sent.get(it)?.saturating_duration_since(revoked_at))))
        .filter(|it| it.1 > REVOKE)
        .collect();
    late.sort_by_key(|it| it.1);
    for (id, after) in &late {
        log.add(format!(
            "CONFIG: {id} ran, sent {} ms after its key was taken away",
            after.as_millis()
        ));
    }
    match late.is_empty() {
        true => HELD,
        false => BROKEN,
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("a folder for the settings");
    let record = std::env::args().nth(2).expect("the record");
    let log = Log::create(record.as_ref());
    let code = run(folder.as_ref(), &log);
    log.add(format!("exit {code}"));
    std::process::exit(code);
}
