//! A server that crashes in the middle of an answer that has no length.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::send;
use crate::node::Node;
use crate::process::Servers;
use crate::record::Record;
use crate::server::{answer_aside, body, headers};
use crate::store::Store;
use crate::{Verdict, address, configuration, http, is_troubled, ports};

/// One of the servers crashes in each round.
const SERVERS: usize = 6;
const ROUNDS: usize = 6;

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

pub fn play(folder: &str) -> Verdict {
    let record = Arc::new(Record::create(folder));
    let (ports, port) = ports();
    let temporary = std::env::temp_dir().join(format!("review-3-unframed-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start(address(1, port));
    let routes = [("/look/", "safe", "desk", 2), ("/book/", "unsafe", "desk", 1)];
    store.put("keyed.op", "config", &configuration(&routes, &["desk"]));
    let mut servers = Servers::start("unframed-server", "desk", SERVERS, port, &store, &record);
    let mut node = Node::new(1, ports, address(1, port), &temporary);
    node.write_settings(&[node.control()], true);
    node.start();
    if !node.wait_ready() {
        record.say("the node did not become ready");
        return Verdict::Void;
    }
    thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    let mut crashed = vec![];
    for round in 0..ROUNDS {
        if round > 0 {
            servers.restore(&std::mem::take(&mut crashed));
        }
        servers.skip_lines();
        let (method, path) = [("POST", "/book/1"), ("GET", "/look/1")][round % 2];
        let front = node.front();
        let client = thread::spawn(move || send(front, method, path, Duration::from_millis(2500)));
        if is_troubled() {
            let Some(server) = servers.wait_for(|it| it.contains("written")) else {
                record.say("no server got the request");
                return Verdict::Void;
            };
            thread::sleep(PAUSE / 2);
            servers.crash(server);
            crashed.push(server);
            record.say(&format!("server {server} crashed in the middle of its answer"));
        }
        let attempt = client.join().unwrap();
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
    drop(node);
    drop(servers);
    let _ = std::fs::remove_dir_all(&temporary);
    record.say(&format!("{broken} of {ROUNDS} answers"));
    match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
