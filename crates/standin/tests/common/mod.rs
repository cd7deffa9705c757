//! Addresses, time-outs and raw peers for the tests of the adapters.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]
#![allow(dead_code, reason = "each test binary uses a part")]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use ports::engine::{Message, Request};
use ports::service::Call;

pub const SHORT: Duration = Duration::from_millis(300);
pub const LONG: Duration = Duration::from_secs(10);

pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Address on which nothing listens.
pub fn closed_port() -> SocketAddr {
    TcpListener::bind(any_port()).unwrap().local_addr().unwrap()
}

/// Server that reads the head of one request, writes `reply` and closes the connection.
pub fn raw_server(reply: &'static [u8]) -> SocketAddr {
    raw_server_with(move |stream| {
        let _ = stream.write_all(reply);
    })
}

pub fn raw_server_with(serve: impl FnOnce(&mut std::net::TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer);
        serve(&mut stream);
    });
    address
}

pub fn call(path: &str, key: Option<&str>) -> Call {
    Call {
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
        idempotency_key: key.map(str::to_owned),
        connect_timeout: SHORT,
        timeout: LONG,
    }
}

pub fn generation(prompt: &str) -> Request {
    Request {
        id: "r1".to_owned(),
        version: "alpha-1".into(),
        messages: vec![Message {
            role: "user".to_owned(),
            content: prompt.to_owned(),
        }],
        max_tokens: Some(10),
        resume_after: 0,
        class: model::Class::Standard,
        connect_timeout: SHORT,
        progress_timeout: LONG,
    }
}

/// Waits until the condition holds, and panics after ten seconds.
pub fn eventually(condition: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < end, "the condition did not come true");
        thread::sleep(Duration::from_millis(5));
    }
}
