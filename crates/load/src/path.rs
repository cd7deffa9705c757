//! Cost of the way through the router: the same streams with and without it.
//!
//! Engines are stand-ins in this process; the router is the daemon beside this program, as a process of its own, so
//! that its processor time and memory can be read.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::report::{Report, Table, Target};

mod caller;
pub mod peak;
mod router;

use caller::Times;
use router::Router;

/// Callers at the same time.
const CALLERS: usize = 32;

/// Requests of each caller.
const REQUESTS: usize = 6;

/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 50;

/// Streams that are open when memory is read.
const OPEN: usize = 100;

/// Ticks of the processor time in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bound on the time that the router may add to the first token at the 95th percentile, in milliseconds: one percent
/// of the 850 ms that the design allows.
const ADDED_MS: f64 = 8.5;

/// Runs the experiment.
///
/// # Panics
/// The stand-ins or the daemon do not start.
#[expect(
    clippy::expect_used,
    reason = "without the processes there is nothing to measure"
)]
pub fn run(seed: u64) -> Report {
    let router = Router::start(ANSWER_TOKENS).expect("the stand-ins and the daemon start");
    let engines = router.engines();
    // Connections, code and estimates are warm before anything is measured.
    measure(&engines, caller::direct, 1);
    measure(&[router.address()], caller::routed, 1);
    let direct = measure(&engines, caller::direct, REQUESTS);
    let ticks = router.ticks();
    let routed = measure(&[router.address()], caller::routed, REQUESTS);
    let seconds = (router.ticks() - ticks) as f64 / TICKS_PER_SECOND;
    let before = router.resident_kb();
    let memory = caller::while_open(router.address(), OPEN, || router.resident_kb());
    let per_stream = memory.saturating_sub(before) as f64 / OPEN as f64;
    let requests = routed.first.len() as f64;
    let tokens = requests + routed.between.len() as f64;
    let mut table = Table {
        columns: ["figure", "direct", "router"].map(str::to_owned).to_vec(),
        rows: Vec::new(),
    };
    for (name, direct, routed) in [
        ("time to first token", &direct.first, &routed.first),
        ("time between tokens", &direct.between, &routed.between),
    ] {
        for rank in [50, 95, 99] {
            let cells = [direct, routed].map(|it| format!("{:.2}", percentile(it, rank)));
            let [direct, routed] = cells;
            table
                .rows
                .push(vec![format!("{name}, p{rank}, ms"), direct, routed]);
        }
    }
    for (name, value) in [
        ("requests per core and second", requests / seconds),
        ("tokens per core and second", tokens / seconds),
        ("memory per open stream, KB", per_stream),
        ("failed requests", routed.failed as f64),
    ] {
        table
            .rows
            .push(vec![name.to_owned(), "-".to_owned(), format!("{value:.1}")]);
    }
    let added = percentile(&routed.first, 95) - percentile(&direct.first, 95);
    Report {
        experiment: "path".to_owned(),
        seed,
        targets: vec![
            Target::at_most("time added to the first token at p95, ms", ADDED_MS, added),
            Target::at_most("failed requests", 0.0, routed.failed as f64),
        ],
        table,
        x_label: "percentile".to_owned(),
        y_label: "time to first token, ms".to_owned(),
        series: [("direct", &direct), ("router", &routed)]
            .map(|(name, times)| crate::report::Series {
                name: name.to_owned(),
                points: (1..100)
                    .map(|it| (it as f64, percentile(&times.first, it)))
                    .collect(),
            })
            .to_vec(),
    }
}

fn measure(
    addresses: &[SocketAddr],
    call: fn(SocketAddr) -> std::io::Result<attohttpc::Response>,
    requests: usize,
) -> Times {
    let mut all = Times::default();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|idx| {
                scope.spawn(move || {
                    // Callers start spread over the time of one token.
                    std::thread::sleep(Duration::from_micros(600) * idx as u32);
                    let mut times = Times::default();
                    for _ in 0..requests {
                        times.read(Instant::now(), call(addresses[idx % addresses.len()]));
                    }
                    times
                })
            })
            .collect();
        for caller in callers {
            all.extend(caller.join().unwrap_or_default());
        }
    });
    all
}

fn percentile(values: &[f64], rank: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let idx = (sorted.len() * rank / 100).min(sorted.len().saturating_sub(1));
    sorted.get(idx).copied().unwrap_or(f64::NAN)
}
