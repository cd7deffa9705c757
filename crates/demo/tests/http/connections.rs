//! The connection limit, pipelined requests and the delivery of events.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use crate::client::{
    complete_chat_request, connect, metric_on, parse_all, read_one, read_to_end, send_raw, serves, start,
    wait_until,
};

/// Guards against an unbounded number of connections, against refused connections that affect admitted ones,
/// and against refusals that make a definite statement about a request that was not read.
#[test]
fn connections_over_the_limit_are_refused() {
    const MAX_CONNECTIONS: usize = 8;
    const EXCESS_CONNECTIONS: usize = 100;
    let cluster = start(&format!("max_connections = {MAX_CONNECTIONS}"));
    let address = cluster.addresses()[0];
    let mut admitted: Vec<_> = (0..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    for stream in &mut admitted {
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        assert_eq!(read_one(stream).status, 200);
    }
    let mut excess: Vec<_> = (0..EXCESS_CONNECTIONS).map(|_| connect(address)).collect();
    let mut refused = 0;
    for stream in &mut excess {
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").ok();
        for response in parse_all(&read_to_end(stream)).unwrap() {
            assert_eq!(response.status, 429);
            assert_eq!(
                response.error(),
                Some(("overloaded".to_owned(), "unknown".to_owned()))
            );
            assert!(response.header("retry-after").is_some());
            refused += 1;
        }
    }
    assert!(refused > 0);
    for stream in &mut admitted {
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        assert_eq!(read_one(stream).status, 200);
    }
    // Read on an admitted connection, as one that is opened for it could be refused and counted itself.
    let mut observer = admitted.pop().unwrap();
    let all_refused = EXCESS_CONNECTIONS.to_string();
    assert_eq!(metric_on(&mut observer, "connections_refused_total"), all_refused);
    drop(admitted);
    wait_until("one connection", || {
        metric_on(&mut observer, "connections") == "1"
    });
    let mut readmitted: Vec<_> = (1..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    for stream in &mut readmitted {
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        assert_eq!(read_one(stream).status, 200);
    }
    assert_eq!(metric_on(&mut observer, "connections_refused_total"), all_refused);
    drop(readmitted);
    wait_until("free slots", || metric_on(&mut observer, "connections") == "1");
    assert!(serves(address));
}

/// Guards against pipelined requests that are lost, mixed up or answered out of order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let cluster = start("");
    let mut bytes = Vec::new();
    bytes.extend_from_slice(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    bytes.extend_from_slice(&complete_chat_request(true));
    bytes.extend_from_slice(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
    bytes.extend_from_slice(&complete_chat_request(false));
    bytes.extend_from_slice(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let responses = parse_all(&send_raw(cluster.addresses()[0], &bytes)).unwrap();
    let statuses: Vec<_> = responses.iter().map(|it| it.status).collect();
    assert_eq!(statuses, [200, 200, 404, 200, 200]);
    assert_eq!(responses[0].body, b"ok\n");
    assert!(responses[1].body.ends_with(b"data: [DONE]\n\n"));
    assert!(responses[3].body.starts_with(b"{"));
    assert_eq!(responses[4].body, b"ready\n");
}

/// Guards against events that are buffered until later ones arrive.
#[test]
fn events_are_sent_immediately() {
    const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
    let mut options = crate::client::options("");
    options.engine.token_interval = TOKEN_INTERVAL;
    let cluster = demo::Cluster::start(&options).unwrap();
    let mut stream = connect(cluster.addresses()[0]);
    let start = Instant::now();
    stream.write_all(&complete_chat_request(true)).unwrap();
    let mut text = String::new();
    let mut arrivals = Vec::new();
    let mut part = [0; 4096];
    while !text.contains("[DONE]") {
        let len = stream.read(&mut part).unwrap();
        assert!(len > 0);
        text.push_str(std::str::from_utf8(&part[..len]).unwrap());
        let events = text.matches("\"content\"").count();
        arrivals.resize(events, start.elapsed());
    }
    let total = start.elapsed();
    assert_eq!(arrivals.len(), 20);
    assert!(arrivals[0] < total / 2, "{arrivals:?}");
    let separate = arrivals
        .windows(2)
        .filter(|it| it[1] - it[0] > TOKEN_INTERVAL / 4)
        .count();
    assert!(separate >= 15, "{arrivals:?}");
}
