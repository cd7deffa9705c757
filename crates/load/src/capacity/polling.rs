//! Reads from the platform: configuration log, host list and load reports.
//!
//! The bytes are those of the requests that the adapters really send. The platform's answers are not known; what a
//! node receives is listed apart in the page that uses this report.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use ports::engine::Engines;
use ports::hosts::Hosts;
use ports::http;
use ports::log::Log;

use super::{Line, Resource, Sample, Scope};

const TIMEOUT: Duration = Duration::from_secs(1);

/// Greatest number of engines that a node reads in a second; it does not depend on the size of the fleet.
const ENGINES_PER_SECOND: f64 = 20.0;

/// Seconds between two reads of the log and of the host list.
const READ_SECONDS: f64 = 1.0;

const REQUEST_LIMIT_BYTES: usize = 8 << 10;

/// Bytes of the requests.
pub fn lines() -> Vec<Line> {
    let line = |mechanism, bytes: usize, units| Line {
        mechanism,
        scope: Scope::Control,
        resource: Resource::Bytes,
        slope: Sample::exact(bytes as f64),
        per: "request sent",
        units,
    };
    let log =
        request_bytes(|it| drop(http::log::Client::new(it, TIMEOUT, TIMEOUT).read("config", 1_000_000, 500)));
    let hosts = request_bytes(|it| drop(http::hosts::Client::new(it, TIMEOUT, TIMEOUT).list()));
    let engines = http::engine::Client::new(TIMEOUT, TIMEOUT);
    let report = request_bytes(|it| drop(engines.load_report(it)));
    let events = request_bytes(|it| drop(engines.cache_events(it, 1_000_000)));
    vec![
        line("reads of the configuration log", log, 1.0 / READ_SECONDS),
        line("reads of the host list", hosts, 1.0 / READ_SECONDS),
        line("load reports", report, ENGINES_PER_SECOND),
        line("cache events", events, ENGINES_PER_SECOND),
    ]
}

/// Length of the request that `call` sends; zero if it sends none.
fn request_bytes(call: impl FnOnce(SocketAddr)) -> usize {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return 0;
    };
    let Ok(address) = listener.local_addr() else {
        return 0;
    };
    let reader = thread::spawn(move || -> std::io::Result<usize> {
        let (mut stream, _) = listener.accept()?;
        let mut buffer = vec![0; REQUEST_LIMIT_BYTES];
        let length = stream.read(&mut buffer)?;
        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")?;
        Ok(length)
    });
    call(address);
    reader.join().ok().and_then(Result::ok).unwrap_or(0)
}
