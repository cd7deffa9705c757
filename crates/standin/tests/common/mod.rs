//! Addresses, time-outs, requests and raw servers for the tests of the adapters.

#![allow(clippy::unwrap_used, reason = "a failed setup fails the test")]
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use ports::engine::{Message, Request};
use ports::service::Call;

pub const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
pub const LONG_TIMEOUT: Duration = Duration::from_secs(10);

pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Address that refuses connections.
pub fn closed_port() -> SocketAddr {
    TcpListener::bind(any_port()).unwrap().local_addr().unwrap()
}

/// Server that reads the beginning of one request, writes `reply` and closes the connection.
pub fn raw_server(reply: &'static [u8]) -> SocketAddr {
    raw_server_fn(move |stream| {
        let _ = stream.write_all(reply);
    })
}

pub fn raw_server_fn(serve: impl FnOnce(&mut std::net::TcpStream) + Send + 'static) -> SocketAddr {
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
        connect_timeout: SHORT_TIMEOUT,
        timeout: LONG_TIMEOUT,
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
        connect_timeout: SHORT_TIMEOUT,
        progress_timeout: LONG_TIMEOUT,
    }
}

/// Waits until the condition holds; panics after ten seconds.
pub fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + LONG_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "the condition did not hold within {LONG_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
