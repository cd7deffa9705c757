//! A part of prompts that crashes each engine that begins to write an answer on it. Answers have no length, and end with
//! their connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::new_id;
use crate::node::Node;
use crate::record::Record;
use crate::server::{answer_aside, headers, register};
use crate::store::Store;
use crate::{Verdict, address, http, is_troubled, ports};

const NODES: usize = 3;
const ENGINES: usize = 12;
/// The part, as in the header.
const PART: &str = "deadbeef:200";
/// Time after which an engine that crashed is back.
const BACK: Duration = Duration::from_secs(2);
const EVENTS: usize = 6;
const EVENT_GAP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(30);
/// Time between two requests with the part.
const POISON_GAP: Duration = Duration::from_millis(1000);
const SOUND_CLIENTS: usize = 6;
/// `stabilityWindowMs`.
const STABILITY: Duration = Duration::from_secs(3);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"app.example","pathPrefix":"/draft/","type":"streaming","timeoutMs":5000,"goalMs":2000,"priority":1,"service":"pool","attempts":3,"public":false,"sticky":true,"resumable":true,"gapTargetMs":1500}],"services":[{"name":"pool","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":416070,"models":[{"name":"m0","cost":0.024}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// An engine, a process of its own. It writes to standard output which requests it gets.
pub fn serve(address: &str, id: &str) -> Verdict {
    let id = id.to_owned();
    // For comparison: answers in chunks.
    let is_framed = std::env::var("FRAMED").is_ok();
    http::serve(address.parse().unwrap(), move |request, stream| {
        if answer_aside(&request, &id, stream) {
            return;
        }
        let attempt = request.header("Bronzevale-Attempt-Id").unwrap_or_default();
        let parts = request.header("Bronzevale-Prefix-Hash").unwrap_or_default();
        let is_poisonous = parts.contains(PART);
        println!("{attempt} {is_poisonous}");
        let framing = match is_framed {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            headers(attempt)
        );
        let last = request
            .header("Last-Event-Id")
            .and_then(|it| it.parse::<usize>().ok());
        thread::sleep(EVENT_GAP);
        let _ = stream.write_all(head.as_bytes());
        for number in last.unwrap_or_default() + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            let bytes = match is_framed {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            let _ = stream.write_all(bytes.as_bytes());
            if is_poisonous {
                std::process::abort();
            }
            thread::sleep(EVENT_GAP);
        }
        if is_framed {
            let _ = stream.write_all(b"0\r\n\r\n");
        } else {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

/// What the engines saw.
#[derive(Default)]
struct Seen {
    /// Requests with the part that reached an engine.
    arrivals: Mutex<Vec<(Instant, String)>>,
    crashes: Mutex<Vec<Instant>>,
}

struct Processes(Mutex<HashMap<usize, Child>>);

impl Processes {
    fn end(&self) {
        for child in self.0.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs one engine, again after each crash.
fn supervise(
    index: usize,
    at: SocketAddr,
    store: &Store,
    seen: &Arc<Seen>,
    processes: &Arc<Processes>,
    is_over: &Arc<AtomicBool>,
) {
    let (store, seen, processes, is_over) = (store.clone(), seen.clone(), processes.clone(), is_over.clone());
    thread::spawn(move || {
        for run in 1.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("i-{index}-{run}");
            let child = Command::new(std::env::current_exe().unwrap())
                .args(["poison-server", &at.to_string(), &id])
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .spawn();
            let mut child = child.unwrap();
            crate::note(&child);
            let lines = BufReader::new(child.stdout.take().unwrap()).lines();
            {
                let mut running = processes.0.lock().unwrap();
                // The end of the case may have come meanwhile.
                if is_over.load(Ordering::SeqCst) {
                    let _ = child.kill();
                    let _ = child.wait();
                    return;
                }
                if let Some(mut before) = running.insert(index, child) {
                    let _ = before.wait();
                    crate::forget(&before);
                }
            }
            thread::sleep(Duration::from_millis(100));
            let lives = Arc::new(AtomicBool::new(true));
            let listed = lives.clone();
            register(store.clone(), id, "pool".into(), at, "v1".into(), move || {
                listed.load(Ordering::SeqCst).then_some("ready")
            });
            // The lines end with the process.
            for line in lines.map_while(Result::ok) {
                if let Some((attempt, "true")) = line.split_once(' ') {
                    seen.arrivals
                        .lock()
                        .unwrap()
                        .push((Instant::now(), attempt.to_owned()));
                }
            }
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            seen.crashes.lock().unwrap().push(Instant::now());
            thread::sleep(BACK);
            lives.store(false, Ordering::SeqCst);
        }
    });
}

fn draft(front: SocketAddr, own_part: &str) -> (String, Option<http::Response>) {
    let id = new_id();
    let request = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: app.example\r\nBronzevale-Attempt-Id: {id}\r\nBronzevale-Model: m0\r\n\
         Bronzevale-Token-Usage: 800,6\r\nBronzevale-Prefix-Hash: aaaa0001:500,{own_part},{id}:100\r\n\
         Bronzevale-Deadline-Ms: 5000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let response = http::call(front, &request, Duration::from_secs(5));
    (id, response)
}

pub fn play(folder: &str) -> Verdict {
    let record = Record::create(folder);
    let (ports, port) = ports();
    let temporary = std::env::temp_dir().join(format!("review-3-poison-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start(address(1, port));
    store.put("keyed.op", "config", CONFIGURATION);
    let seen = Arc::<Seen>::default();
    let processes = Arc::new(Processes(Mutex::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    for index in 1..=ENGINES {
        supervise(
            index,
            address(10 + index, port),
            &store,
            &seen,
            &processes,
            &is_over,
        );
    }
    let mut nodes: Vec<_> = (1..=NODES)
        .map(|it| Node::new(it, ports, address(1, port), &temporary))
        .collect();
    let seeds: Vec<_> = nodes.iter().map(Node::control).collect();
    for node in &mut nodes {
        node.write_settings(&seeds, true);
        node.start();
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.say("a node did not become ready");
        is_over.store(true, Ordering::SeqCst);
        processes.end();
        return Verdict::Void;
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let end = Instant::now() + LENGTH;
    let (sound, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for client in 0..SOUND_CLIENTS {
            let (fronts, record, sound, served) = (&fronts, &record, &sound, &served);
            scope.spawn(move || {
                for number in client.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let part = format!("bbbb000{}:200", number % 9);
                    let (id, response) = draft(fronts[number % fronts.len()], &part);
                    let status = response.as_ref().map(|it| (it.status, it.is_complete));
                    record.line_at(Instant::now(), &format!("sound {id} got {status:?}"));
                    sound.fetch_add(1, Ordering::SeqCst);
                    served.fetch_add(usize::from(status == Some((200, true))), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(150));
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        for number in 0.. {
            if Instant::now() >= end || !is_troubled() {
                return;
            }
            let (front, record) = (fronts[number % fronts.len()], &record);
            scope.spawn(move || {
                let (id, response) = draft(front, PART);
                let status = response.as_ref().map(|it| (it.status, it.is_complete));
                record.line_at(
                    Instant::now(),
                    &format!("with the part {id} to {front} got {status:?}"),
                );
            });
            thread::sleep(POISON_GAP);
        }
    });
    is_over.store(true, Ordering::SeqCst);
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    for at in &crashes {
        record.line_at(*at, "an engine crashed");
    }
    for (at, id) in &arrivals {
        record.line_at(*at, &format!("an engine got {id}, with the part"));
    }
    record.say(&format!(
        "{} of {} sound requests served",
        served.into_inner(),
        sound.into_inner()
    ));
    record.say(&format!(
        "{} crashes, {} requests with the part reached engines",
        crashes.len(),
        arrivals.len()
    ));
    drop(nodes);
    processes.end();
    let _ = std::fs::remove_dir_all(&temporary);
    let Some(fifth) = crashes.get(4) else {
        return if is_troubled() {
            Verdict::Void
        } else {
            Verdict::Held
        };
    };
    let late = arrivals.iter().filter(|it| it.0 > *fifth + STABILITY).count();
    record.say(&format!(
        "{late} of these later than 3 s after the fifth crash; allowed 3"
    ));
    match late > 3 {
        true => {
            record.say("BUDGET is broken");
            Verdict::Broken
        }
        false => Verdict::Held,
    }
}
