//! Callers of streams.

use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::time::Instant;

use attohttpc::Response;
use demo::sample::KEY;
use serde_json::json;

/// Times in milliseconds.
#[derive(Debug, Default)]
pub struct Times {
    /// To the first token.
    pub first: Vec<f64>,
    /// Between tokens.
    pub between: Vec<f64>,
    /// Requests without a whole answer.
    pub failed: usize,
}

impl Times {
    /// Reads a stream to its end.
    pub fn read(&mut self, start: Instant, response: Result<Response>) {
        let Ok(response) = response else {
            self.failed += 1;
            return;
        };
        let mut last: Option<Instant> = None;
        for line in BufReader::new(response).lines() {
            let Ok(line) = line else { break };
            if line == "data: [DONE]" {
                return;
            }
            if !line.contains("\"content\"") {
                continue;
            }
            let now = Instant::now();
            match last {
                None => self.first.push((now - start).as_secs_f64() * 1e3),
                Some(last) => self.between.push((now - last).as_secs_f64() * 1e3),
            }
            last = Some(now);
        }
        self.failed += 1;
    }

    /// Adds the times of another caller.
    pub fn extend(&mut self, other: Self) {
        self.first.extend(other.first);
        self.between.extend(other.between);
        self.failed += other.failed;
    }
}

/// Sends a request to an engine.
pub fn direct(address: SocketAddr) -> Result<Response> {
    let body = json!({"model": "small-1", "version": "small-1", "stream": true, "messages": messages()});
    send(attohttpc::post(format!("http://{address}/v1/chat/completions")).text(body.to_string()))
}

/// Sends a request to the router.
pub fn routed(address: SocketAddr) -> Result<Response> {
    let body = json!({"model": "small", "stream": true, "messages": messages()});
    let request = attohttpc::post(format!("http://{address}/v1/chat/completions"));
    send(request.bearer_auth(KEY).text(body.to_string()))
}

/// Calls `read` while `count` streams of the router are open.
pub fn while_open<T>(address: SocketAddr, count: usize, read: impl FnOnce() -> T) -> T {
    // A response is returned when its first part has arrived.
    let callers: Vec<_> = (0..count)
        .map(|_| std::thread::spawn(move || routed(address)))
        .collect();
    let open: Vec<_> = callers.into_iter().map(std::thread::JoinHandle::join).collect();
    let value = read();
    drop(open);
    value
}

fn messages() -> serde_json::Value {
    json!([{"role": "user", "content": "Which paper suits a poster that hangs outside for a month?"}])
}

fn send<B: attohttpc::body::Body>(request: attohttpc::RequestBuilder<B>) -> Result<Response> {
    request.send().map_err(Error::other)
}
