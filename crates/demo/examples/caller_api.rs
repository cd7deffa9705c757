//! Benchmark that compares builds of the caller API.
//!
//! Usage: `caller_api NAME=PORT=PID ...`. Each target is a running `bronzevale-demo`, given by the port of
//! its first node and its process id. The targets are measured in turn, so that changes in the load of the
//! machine affect all of them. The output shows the time to the first event and between events, the requests
//! per second on reused and on new connections, and the memory and threads used by connections with
//! incomplete requests.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use demo::sample::KEY;
use eyre::{Result, WrapErr, eyre};
use hdrhistogram::Histogram;

/// Number of rounds; each measures every target once.
const ROUNDS: usize = 5;

/// Number of measurements of the streams per round and target.
const STREAM_RUNS: usize = 5;

/// Number of concurrent streams, fewer than the engines of the demo run at once.
const STREAMS: usize = 12;

/// Number of clients, each of which sends its next request as soon as the previous one is answered.
const CLIENTS: usize = 16;

/// Duration of one measurement of the request rate.
const RATE_DURATION: Duration = Duration::from_secs(2);

/// Number of connections with an incomplete request.
const HALF_OPEN: usize = 400;

/// Time for the target to allocate the threads and buffers of the half-open connections.
const SETTLE_TIME: Duration = Duration::from_secs(1);

struct Target {
    name: String,
    address: SocketAddr,
    process: u32,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    reused: Vec<f64>,
    new: Vec<f64>,
}

fn main() -> Result<()> {
    let targets: Result<Vec<_>> = std::env::args().skip(1).map(|it| parse_target(&it)).collect();
    let mut targets = targets?;
    for _ in 0..ROUNDS {
        for _ in 0..STREAM_RUNS {
            for target in &mut targets {
                measure_streams(target)?;
            }
        }
        for target in &mut targets {
            target
                .reused
                .push(request_rate(target.address, requests_on_reused_connection)?);
        }
        for target in &mut targets {
            target
                .new
                .push(request_rate(target.address, requests_on_new_connections)?);
        }
    }
    for target in &mut targets {
        print_results(target)?;
    }
    Ok(())
}

fn parse_target(text: &str) -> Result<Target> {
    let mut parts = text.split('=');
    let mut part = || {
        parts
            .next()
            .ok_or_else(|| eyre!("{text}: expected NAME=PORT=PID"))
    };
    Ok(Target {
        name: part()?.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, part()?.parse()?)),
        process: part()?.parse()?,
        first: Histogram::new(3)?,
        gaps: Histogram::new(3)?,
        reused: Vec::new(),
        new: Vec::new(),
    })
}

fn measure_streams(target: &mut Target) -> Result<()> {
    let address = target.address;
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| thread::spawn(move || measure_stream(address)))
        .collect();
    for stream in streams {
        let arrivals = stream.join().map_err(|_| eyre!("a stream panicked"))??;
        let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
        target.first.record(micros(arrivals[0]))?;
        for pair in arrivals.windows(2) {
            target.gaps.record(micros(pair[1] - pair[0]))?;
        }
    }
    Ok(())
}

/// Arrival time of each event, measured from the request.
fn measure_stream(address: SocketAddr) -> Result<Vec<Duration>> {
    let body = r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"Hello"}]}"#;
    let mut stream = TcpStream::connect(address)?;
    let start = Instant::now();
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut text = String::new();
    let mut arrivals = Vec::new();
    let mut part = [0; 4096];
    while !text.contains("[DONE]") {
        let len = stream.read(&mut part)?;
        if len == 0 {
            return Err(eyre!("stream closed before its end: {text}"));
        }
        text.push_str(std::str::from_utf8(&part[..len])?);
        arrivals.resize(text.matches("\"content\"").count(), start.elapsed());
    }
    Ok(arrivals)
}

/// Requests per second over all clients.
fn request_rate(address: SocketAddr, client: fn(SocketAddr, Instant) -> Result<u32>) -> Result<f64> {
    let start = Instant::now();
    let end = start + RATE_DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| thread::spawn(move || client(address, end)))
        .collect();
    let mut count = 0;
    for client in clients {
        count += client.join().map_err(|_| eyre!("a client panicked"))??;
    }
    Ok(f64::from(count) / start.elapsed().as_secs_f64())
}

/// Number of requests completed on one connection until `end`.
fn requests_on_reused_connection(address: SocketAddr, end: Instant) -> Result<u32> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut count = 0;
    while Instant::now() < end {
        request(&mut stream, "keep-alive")?;
        count += 1;
    }
    Ok(count)
}

/// Number of requests completed until `end`, each on a new connection.
fn requests_on_new_connections(address: SocketAddr, end: Instant) -> Result<u32> {
    let mut count = 0;
    while Instant::now() < end {
        request(&mut TcpStream::connect(address)?, "close")?;
        count += 1;
    }
    Ok(count)
}

fn request(stream: &mut TcpStream, connection: &str) -> Result<()> {
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: {connection}\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    // The body is one JSON object, and this is its end.
    while !answer.ends_with(b"\"object\":\"list\"}") {
        let len = stream.read(&mut part)?;
        if len == 0 {
            return Err(eyre!(
                "connection closed before the end of the response: {}",
                answer.escape_ascii()
            ));
        }
        answer.extend_from_slice(&part[..len]);
    }
    Ok(())
}

fn print_results(target: &mut Target) -> Result<()> {
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64() * 1000.0
    };
    let name = &target.name;
    for (what, histogram) in [("first event", &target.first), ("between events", &target.gaps)] {
        let [half, most] = [0.5, 0.99].map(|it| millis(histogram, it));
        println!(
            "{name}: {what} p50 {half:.2} ms p99 {most:.2} ms, {} samples",
            histogram.len()
        );
    }
    for (what, rates) in [("kept", &mut target.reused), ("new", &mut target.new)] {
        rates.sort_by(f64::total_cmp);
        println!("{name}: requests/s over {what} connections: {rates:.0?}");
    }
    let before = process_usage(target.process)?;
    let half_open: Result<Vec<_>> = (0..HALF_OPEN)
        .map(|_| open_incomplete_request(target.address))
        .collect();
    let half_open = half_open?;
    thread::sleep(SETTLE_TIME);
    let after = process_usage(target.process)?;
    drop(half_open);
    println!(
        "{name}: {HALF_OPEN} half-open connections: resident {} -> {} KiB, threads {} -> {}",
        before.0, after.0, before.1, after.1
    );
    Ok(())
}

fn open_incomplete_request(address: SocketAddr) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-A: ")?;
    Ok(stream)
}

/// Resident memory in KiB and number of threads of a process.
fn process_usage(process: u32) -> Result<(u64, u64)> {
    let file = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(&file).wrap_err(file)?;
    let field = |name: &str| {
        let line = text.lines().find_map(|it| it.strip_prefix(name));
        let value = line.and_then(|it| it.split_whitespace().next());
        value
            .and_then(|it| it.parse().ok())
            .ok_or_else(|| eyre!("no field {name} in the process status"))
    };
    Ok((field("VmRSS:")?, field("Threads:")?))
}
