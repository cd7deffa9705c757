//! Servers of a service, as the platform lists them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, respond};
use crate::store::Store;

/// Interval at which servers write to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time that a request takes.
pub const WORK: Duration = Duration::from_millis(5);

/// A request that a server got and did not turn away.
#[derive(Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Status of the answer, which is written some milliseconds later.
    pub status: u16,
}

/// A running server.
pub struct Server {
    pub id: String,
    pub version: String,
    pub arrivals: Mutex<Vec<Arrival>>,
    is_draining: AtomicBool,
    has_left: AtomicBool,
}

/// The whole body of the answer to a request.
pub fn body(id: &str) -> Vec<u8> {
    format!("{id} ").repeat(800 / (id.len() + 1)).into_bytes()
}

/// The headers of an answer of a server to a request.
pub fn headers(id: &str) -> String {
    format!("Bronzevale-Attempt-Id: {id}\r\nBronzevale-Engine-Signature: 3e1b.07.{id}\r\n")
}

/// Answers what is not a run: health checks, and requests for another instance.
pub fn answer_aside(request: &Request, id: &str, stream: &mut TcpStream) -> bool {
    let instance = format!("Bronzevale-Instance: {id}\r\n");
    if request.target == "/healthz" {
        respond(stream, 200, &instance, b"");
        return true;
    }
    if request
        .header("Bronzevale-Expect-Instance")
        .is_some_and(|it| it != id)
    {
        respond(stream, 421, &instance, b"");
        return true;
    }
    false
}

fn entry(service: &str, address: SocketAddr, version: &str, state: &str, born: u128, seq: u32) -> String {
    format!(
        r#"{{"service":"{service}","addr":"{address}","zone":"a","version":"{version}","slots":6,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
    )
}

/// Milliseconds since 1970.
pub fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

/// Writes the entry of a server until `is_over`.
pub fn register(
    store: Store,
    id: String,
    service: String,
    address: SocketAddr,
    version: String,
    state: impl Fn() -> Option<&'static str> + Send + 'static,
) {
    let born = unix_millis();
    thread::spawn(move || {
        let key = id;
        let mut known = "";
        let mut written_at = None::<Instant>;
        for seq in 1.. {
            loop {
                let Some(state) = state() else {
                    return store.put("keyed.servers", &key, "");
                };
                if state != known || written_at.is_none_or(|it| it.elapsed() >= HEARTBEAT) {
                    known = state;
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            written_at = Some(Instant::now());
            store.put(
                "keyed.servers",
                &key,
                &entry(&service, address, &version, known, born, seq),
            );
        }
    });
}

impl Server {
    /// Starts a server; `answer` makes the status and further headers of the answer to its next request.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
        answer: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            version: version.to_owned(),
            arrivals: Mutex::default(),
            is_draining: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
        });
        let served = server.clone();
        http::serve(address, move |request, stream| {
            served.handle(&request, stream, &answer)
        });
        let listed = server.clone();
        register(
            store.clone(),
            id.into(),
            service.into(),
            address,
            version.into(),
            move || match listed.has_left.load(Ordering::SeqCst) {
                true => None,
                false if listed.is_draining.load(Ordering::SeqCst) => Some("draining"),
                false => Some("ready"),
            },
        );
        server
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream, answer: impl Fn(&Request) -> (u16, String)) {
        if answer_aside(request, &self.id, stream) {
            return;
        }
        let id = request
            .header("Bronzevale-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let (status, more) = answer(request);
        let arrival = Arrival {
            id: id.clone(),
            at: Instant::now(),
            status,
        };
        self.arrivals.lock().unwrap().push(arrival);
        thread::sleep(WORK);
        respond(stream, status, &(headers(&id) + &more), &body(&id));
        let _ = stream.flush();
    }

    /// Reports that it drains, goes on for a time, and leaves.
    pub fn drain(self: &Arc<Self>, time: Duration) {
        let server = self.clone();
        server.is_draining.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            thread::sleep(time);
            server.has_left.store(true, Ordering::SeqCst);
        });
    }
}
