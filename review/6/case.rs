//! One of seven engines fails some of the bookings that it has run, with status 429 or 408 and without the header that
//! says that nothing ran.

#[path = "../standin-2/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    Answer, BROKEN, HELD, NOT_RUN, Node, Places, Record, Store, Temporary, attempt_id, call, register,
    respond, serve, without_trouble,
};

const ENGINES: usize = 7;

/// Bookings of clients and their time; 23 a second is what the sheet states for press bookings.
const BOOKINGS: usize = 460;
const INTERVAL: Duration = Duration::from_millis(43);

/// Part of its requests that the failing engine fails, in hundredths.
const FAILED_PERCENT: usize = 40;

const CONFIG: &str = r#"{"version":1,
    "routes":[{"name":"r-booking","host":"shop.example","pathPrefix":"/booking/","type":"unsafe","timeoutMs":1200,
        "goalMs":150,"priority":2,"service":"shopfloor","attempts":1,"public":false}],
    "services":[{"name":"shopfloor","healthPath":"/healthz","maxConns":110}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"press","apiKeys":["key-press"],"priority":1}]}"#;

/// Runs by attempt id, with the name of the engine.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn engine(name: &str, fails: Arc<AtomicBool>, runs: &Runs, record: &Record) -> std::io::Result<SocketAddr> {
    let (name, runs, record) = (name.to_owned(), runs.clone(), record.clone());
    let count = AtomicUsize::new(0);
    serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request, stream| {
        if request.target() == "/healthz" {
            return respond(stream, 200, &format!("Bronzevale-Instance: {name}\r\n"), b"");
        }
        if request.header("bronzevale-expect-instance") != Some(&name) {
            return respond(stream, 421, &format!("Bronzevale-Instance: {name}\r\n"), b"");
        }
        let id = request
            .header("bronzevale-attempt-id")
            .unwrap_or_default()
            .to_owned();
        runs.lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push(name.clone());
        record.line(format!("engine {name} runs {id}"));
        thread::sleep(Duration::from_millis(30));
        let named = format!(
            "Bronzevale-Attempt-Id: {id}\r\nBronzevale-Engine-Signature: {name}.{id}\r\nBronzevale-Engine-Load: 1,0,6\r\n"
        );
        let number = count.fetch_add(1, Ordering::SeqCst);
        if fails.load(Ordering::SeqCst) && number * FAILED_PERCENT % 100 < FAILED_PERCENT {
            let status = if number % 2 == 0 { 429 } else { 408 };
            record.line(format!("engine {name} has run {id} and fails it with {status}"));
            return respond(stream, status, &named, b"the booking failed");
        }
        respond(stream, 200, &named, b"booked")
    })
}

fn book(front: SocketAddr, booking: usize, record: &Record) -> (String, Answer) {
    let id = attempt_id();
    record.line(format!("client sends booking {booking} as {id}"));
    let request = format!(
        "POST /booking/{booking} HTTP/1.1\r\nHost: shop.example\r\nBronzevale-Attempt-Id: {id}\r\n\
         Bronzevale-Deadline-Ms: 2500\r\nAuthorization: Bearer key-press\r\nContent-Length: 4\r\n\r\nbook"
    );
    let answer = call(front, request.as_bytes(), Duration::from_secs(4));
    record.line(format!("client gets for {id}: {}", answer.describe()));
    (id, answer)
}

/// Whether a status promises that the request has not run.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn run(record: &Record) -> std::io::Result<i32> {
    let temporary = Temporary::create("bronzevale-review-6")?;
    let store = Store::spawn()?;
    store.put("keyed.op", "config", CONFIG);
    let runs = Runs::default();
    let fails = Arc::new(AtomicBool::new(false));
    for index in 0..ENGINES {
        let name = format!("i-{index}");
        let fails = if index == 0 { fails.clone() } else { Arc::default() };
        let address = engine(&name, fails, &runs, record)?;
        register(
            &store,
            &name,
            "shopfloor",
            address,
            6,
            Duration::from_millis(1200),
        );
    }
    let node = Node::start(
        &temporary.0,
        "edge-1",
        Places::free([127, 0, 0, 1]),
        &[],
        store.address,
        "",
    )?;
    if !node.wait_until_ready() {
        record.line("the node is not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(2));
    fails.store(!without_trouble(), Ordering::SeqCst);
    let begin = Instant::now();
    let clients: Vec<_> = (0..BOOKINGS)
        .map(|booking| {
            let (front, record) = (node.front, record.clone());
            thread::sleep((begin + INTERVAL * booking as u32).saturating_duration_since(Instant::now()));
            thread::spawn(move || {
                let first = book(front, booking, &record);
                // A client retries an unsafe request once, after a promise only.
                let again = is_promise(first.1.status()).then(|| book(front, booking, &record));
                (booking, first, again)
            })
        })
        .collect();
    let mut refused_but_run = 0;
    let mut booked_twice = 0;
    let mut served = 0;
    for client in clients {
        let Ok((booking, first, again)) = client.join() else {
            return Ok(NOT_RUN);
        };
        let runs = runs.lock().unwrap();
        let ran = |id: &str| runs.get(id).map_or(0, Vec::len);
        let tries: Vec<_> = [Some(first), again].into_iter().flatten().collect();
        served += usize::from(tries.iter().any(|it| it.1.status() == 200));
        for (id, answer) in &tries {
            if is_promise(answer.status()) && ran(id) > 0 {
                refused_but_run += 1;
                record.line(format!(
                    "REFUSED: {id} (booking {booking}) is answered {} and has run",
                    answer.status()
                ));
            }
        }
        let all: usize = tries.iter().map(|it| ran(&it.0)).sum();
        booked_twice += usize::from(all > 1);
    }
    record.line(format!(
        "{BOOKINGS} bookings, {served} served; {refused_but_run} answers that promise 'not run' to requests that ran; \
         {booked_twice} bookings ran twice, as their clients believed the promise"
    ));
    if served < BOOKINGS / 2 {
        return Ok(NOT_RUN);
    }
    Ok(if refused_but_run > 0 { BROKEN } else { HELD })
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let code = match Record::create(&folder) {
        Ok(record) => run(&record).unwrap_or_else(|err| {
            record.line(format!("could not run: {err}"));
            NOT_RUN
        }),
        Err(_) => NOT_RUN,
    };
    std::process::exit(code);
}
