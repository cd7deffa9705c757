//! Clients: each request is one attempt with an id of its own.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{self, Response};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// One attempt of a client.
pub struct Attempt {
    pub id: String,
    pub front: SocketAddr,
    pub sent_at: Instant,
    /// When the answer, or the end of the wait for it, had come.
    pub answered_at: Instant,
    /// `None` if there was no answer.
    pub response: Option<Response>,
}

/// A new id.
pub fn new_id() -> String {
    format!("{:016x}", 0x5eed_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends a request to the front of a node and waits for the answer.
pub fn send(front: SocketAddr, method: &str, path: &str, deadline: Duration) -> Attempt {
    let id = new_id();
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nBronzevale-Attempt-Id: {id}\r\n\
         Bronzevale-Deadline-Ms: {}\r\n{length}Connection: close\r\n\r\n",
        deadline.as_millis()
    );
    let sent_at = Instant::now();
    let response = http::call(front, &request, deadline);
    Attempt {
        id,
        front,
        sent_at,
        answered_at: Instant::now(),
        response,
    }
}

/// The attempts of all clients.
#[derive(Default)]
pub struct Attempts(pub Mutex<Vec<Attempt>>);

impl Attempts {
    pub fn push(&self, attempt: Attempt) {
        self.0.lock().unwrap().push(attempt);
    }
}
