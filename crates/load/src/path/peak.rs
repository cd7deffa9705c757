//! One node at the target's peak: 28.5 requests and 8,500 tokens a second through the real daemon.
//!
//! Requests start at fixed times whether or not earlier ones have ended, so that a slow router does not lower its own
//! load. The same load goes to the engines directly first.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::Response;

use super::caller::{self, Times};
use super::router::Router;
use super::{TICKS_PER_SECOND, percentile};
use crate::report::{Report, Series, Table, Target};

/// Tokens of an answer: 2.9 million tokens over 9,700 requests.
const ANSWER_TOKENS: u32 = 299;

/// Time between two requests: 9,700 a second over 340 nodes.
const GAP: Duration = Duration::from_micros(35_052);

/// Requests before the measurement, about ten seconds, in which limits and estimates settle.
const WARM_UP: usize = 285;

/// Requests in the measurement, about twenty seconds.
const REQUESTS: usize = 570;

/// Bound on the time to the first token for 95 in 100, in milliseconds.
const FIRST_MS: f64 = 850.0;

/// Bound on the time between tokens for 95 in 100, in milliseconds.
const BETWEEN_MS: f64 = 28.0;

type Call = fn(SocketAddr) -> std::io::Result<Response>;

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
    let direct = send(&router.engines(), caller::direct, REQUESTS);
    send(&[router.address()], caller::routed, WARM_UP);
    let (ticks, start) = (router.ticks(), Instant::now());
    let routed = send(&[router.address()], caller::routed, REQUESTS);
    let cores = (router.ticks() - ticks) as f64 / TICKS_PER_SECOND / start.elapsed().as_secs_f64();
    let resident_mb = router.resident_kb() as f64 / 1e3;
    let mut rows = Vec::new();
    for (name, direct, routed) in [
        ("time to first token", &direct.first, &routed.first),
        ("time between tokens", &direct.between, &routed.between),
    ] {
        for rank in [50, 95, 99] {
            let cells = [direct, routed].map(|it| format!("{:.2}", percentile(it, rank)));
            rows.push([vec![format!("{name}, p{rank}, ms")], cells.to_vec()].concat());
        }
    }
    for (name, direct, routed) in [
        ("failed requests", direct.failed as f64, routed.failed as f64),
        ("cores used", 0.0, cores),
        ("resident memory, MB", 0.0, resident_mb),
    ] {
        rows.push(vec![
            name.to_owned(),
            format!("{direct:.2}"),
            format!("{routed:.2}"),
        ]);
    }
    let between = percentile(&routed.between, 95);
    Report {
        experiment: "peak".to_owned(),
        seed,
        targets: vec![
            Target::at_most("first token at p95, ms", FIRST_MS, percentile(&routed.first, 95)),
            Target::at_most("between tokens at p95, ms", BETWEEN_MS, between),
            Target::at_most("failed requests", 0.0, routed.failed as f64),
        ],
        table: Table {
            columns: ["figure", "direct", "router"].map(str::to_owned).to_vec(),
            rows,
        },
        x_label: "percentile".to_owned(),
        y_label: "time between tokens, ms".to_owned(),
        series: vec![series("direct", &direct), series("router", &routed)],
    }
}

/// Sends requests at fixed times, in turn to the addresses, and reads all answers.
fn send(addresses: &[SocketAddr], call: Call, requests: usize) -> Times {
    let start = Instant::now();
    let mut all = Times::default();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..requests)
            .map(|idx| {
                let at = start + GAP * u32::try_from(idx).unwrap_or(u32::MAX);
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let address = addresses[idx % addresses.len()];
                scope.spawn(move || {
                    let mut times = Times::default();
                    times.read(Instant::now(), call(address));
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

fn series(name: &str, times: &Times) -> Series {
    Series {
        name: name.to_owned(),
        points: (1..100)
            .map(|it| (it as f64, percentile(&times.between, it)))
            .collect(),
    }
}
