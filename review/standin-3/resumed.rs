//! Two engines that crash one after the other under a stream, whose answers have no length.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::new_id;
use crate::node::Node;
use crate::process::Servers;
use crate::record::Record;
use crate::server::{answer_aside, headers};
use crate::store::Store;
use crate::{Verdict, address, http, is_troubled, ports};

const ROUNDS: usize = 3;
/// Two of the engines crash in each round.
const ENGINES: usize = 8;
const EVENTS: usize = 8;
/// Time from the head of an answer to its first event, in which the prompt is read.
const PROMPT_TIME: Duration = Duration::from_millis(400);
const EVENT_GAP: Duration = Duration::from_millis(80);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"app.example","pathPrefix":"/draft/","type":"streaming","timeoutMs":20000,"goalMs":4000,"priority":1,"service":"pool","attempts":3,"public":false,"sticky":true,"resumable":true,"gapTargetMs":1500}],"services":[{"name":"pool","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":416070,"models":[{"name":"m0","cost":0.024}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn event(attempt: &str, number: usize) -> String {
    format!("id: {number}\ndata: {attempt} {number}\n\n")
}

/// An engine, a process of its own. It writes to standard output how far it is.
pub fn serve(address: &str, id: &str) -> Verdict {
    let id = id.to_owned();
    http::serve(address.parse().unwrap(), move |request, stream| {
        if answer_aside(&request, &id, stream) {
            return;
        }
        let attempt = request.header("Bronzevale-Attempt-Id").unwrap_or_default();
        let last = request
            .header("Last-Event-Id")
            .and_then(|it| it.parse::<usize>().ok());
        let last = last.unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
            headers(attempt)
        );
        let _ = stream.write_all(head.as_bytes());
        println!("{attempt} begun {last}");
        thread::sleep(PROMPT_TIME);
        for number in last + 1..=EVENTS {
            let _ = stream.write_all(event(attempt, number).as_bytes());
            println!("{attempt} written {number}");
            thread::sleep(EVENT_GAP);
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

pub fn play(folder: &str) -> Verdict {
    let record = Arc::new(Record::create(folder));
    let (ports, port) = ports();
    let temporary = std::env::temp_dir().join(format!("review-3-resumed-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start(address(1, port));
    store.put("keyed.op", "config", CONFIGURATION);
    let mut engines = Servers::start("resumed-server", "pool", ENGINES, port, &store, &record);
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
            engines.restore(&std::mem::take(&mut crashed));
        }
        engines.skip_lines();
        let id = new_id();
        let request = format!(
            "POST /draft/1 HTTP/1.1\r\nHost: app.example\r\nBronzevale-Attempt-Id: {id}\r\nBronzevale-Model: m0\r\n\
             Bronzevale-Token-Usage: 800,8\r\nBronzevale-Prefix-Hash: aaaa0001:700,{id}:100\r\n\
             Bronzevale-Deadline-Ms: 20000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        let front = node.front();
        let client = thread::spawn(move || http::call(front, &request, Duration::from_secs(20)));
        if is_troubled() {
            let Some(first) = engines.wait_for(|it| it.ends_with("written 3")) else {
                record.say("no engine wrote the third event");
                return Verdict::Void;
            };
            thread::sleep(EVENT_GAP / 2);
            engines.crash(first);
            crashed.push(first);
            record.say(&format!("engine {first} crashed behind the third event of {id}"));
            match engines.wait_for(|it| it.contains("begun")) {
                Some(second) => {
                    thread::sleep(PROMPT_TIME / 2);
                    engines.crash(second);
                    crashed.push(second);
                    record.say(&format!(
                        "engine {second}, which goes on, crashed before its first event"
                    ));
                }
                None => record.say("no engine went on"),
            }
        }
        let Some(response) = client.join().unwrap() else {
            record.say(&format!("{id}: the connection ended without an answer"));
            continue;
        };
        let whole: String = (1..=EVENTS).map(|it| event(&id, it)).collect();
        let got = String::from_utf8_lossy(&response.body).matches("id: ").count();
        record.say(&format!(
            "{id}: {} with {got} of {EVENTS} events, complete: {}",
            response.status, response.is_complete
        ));
        if response.status == 200 && response.is_complete && response.body != whole.as_bytes() {
            record.say("ORDER is broken: the stream ends as complete before its last piece");
            broken += 1;
        }
    }
    drop(node);
    drop(engines);
    let _ = std::fs::remove_dir_all(&temporary);
    record.say(&format!("{broken} of {ROUNDS} streams"));
    match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
