//! A server that crashes in the middle of an answer that has no length.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::send;
use crate::node::Node;
use crate::record::Record;
use crate::server::{answer_aside, body, headers, register};
use crate::store::Store;
use crate::{Verdict, address, configuration, http, is_troubled, ports};

const ROUNDS: usize = 3;

/// Time between the two halves of a body.
const PAUSE: Duration = Duration::from_millis(400);

/// The server, a process of its own: its answers have no length and end with their connection.
pub fn serve(address: &str, id: &str) -> Verdict {
    let id = id.to_owned();
    http::serve(address.parse().unwrap(), move |request, stream| {
        if answer_aside(&request, &id, stream) {
            return;
        }
        let attempt = request.header("Bronzevale-Attempt-Id").unwrap_or_default();
        let whole = body(attempt);
        let (first, second) = whole.split_at(whole.len() / 2);
        let head = format!("HTTP/1.1 200 OK\r\n{}Connection: close\r\n\r\n", headers(attempt));
        let _ = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(first));
        println!("{attempt} runs, {} of {} bytes written", first.len(), whole.len());
        thread::sleep(PAUSE);
        let _ = stream.write_all(second);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        crate::forget(&self.0);
    }
}

pub fn play(folder: &str) -> Verdict {
    let record = Arc::new(Record::create(folder));
    let (ports, port) = ports();
    let temporary = std::env::temp_dir().join(format!("review-3-unframed-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start(address(1, port));
    let routes = [("/look/", "safe", "desk", 2), ("/book/", "unsafe", "desk", 1)];
    store.put("keyed.op", "config", &configuration(&routes, &["desk"]));
    let mut node = Node::new(1, ports, address(1, port), &temporary);
    node.write_settings(&[node.control()], true);
    node.start();
    if !node.wait_ready() {
        record.say("the node did not become ready");
        return Verdict::Void;
    }
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let (id, at) = (format!("i-{round}"), address(10 + round, port));
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["unframed-server", &at.to_string(), &id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.unwrap();
        crate::note(&child);
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let log = record.clone();
        let name = id.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                log.line_at(Instant::now(), &format!("server {name}: {line}"));
            }
        });
        let server = Process(child);
        thread::sleep(Duration::from_millis(200));
        let is_listed = Arc::new(AtomicBool::new(true));
        let listed = is_listed.clone();
        register(
            store.clone(),
            id.clone(),
            "desk".into(),
            at,
            "v1".into(),
            move || listed.load(Ordering::SeqCst).then_some("ready"),
        );
        thread::sleep(Duration::from_secs(3));
        let front = node.front();
        let clients: Vec<_> = [("GET", "/look/1"), ("POST", "/book/1")]
            .into_iter()
            .map(|(method, path)| {
                thread::spawn(move || (path, send(front, method, path, Duration::from_millis(2500))))
            })
            .collect();
        thread::sleep(PAUSE / 2);
        if is_troubled() {
            // SIGKILL.
            drop(server);
            record.say(&format!("server {id} crashed in the middle of its answers"));
        } else {
            thread::sleep(PAUSE);
        }
        for client in clients {
            let (path, attempt) = client.join().unwrap();
            let whole = body(&attempt.id);
            let Some(response) = attempt.response else {
                record.say(&format!(
                    "{path} {}: the connection ended without an answer",
                    attempt.id
                ));
                continue;
            };
            record.say(&format!(
                "{path} {}: {} with {} bytes, complete: {}, signature: {:?}; the server's whole body has {} bytes",
                attempt.id,
                response.status,
                response.body.len(),
                response.is_complete,
                response.header("Bronzevale-Engine-Signature"),
                whole.len()
            ));
            let is_success = (200..300).contains(&response.status);
            if is_success && response.is_complete && response.body != whole {
                record.say("MIXED is broken: a success whose body is not the server's whole body");
                broken += 1;
            }
        }
        is_listed.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1500));
    }
    drop(node);
    let _ = std::fs::remove_dir_all(&temporary);
    record.say(&format!("{broken} of {} answers", 2 * ROUNDS));
    match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
