//! Automatic halt of a roll-out by ratings.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use config::state::State;
use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;
use model::Object;
use model::object::{Key, Kind, rollout};
use ports::log::Log as _;

mod common;

use common::{chat, expected_answer, start_rollout, start_with_all_entries};

/// Maximum time until the halt. A trial node starts one request every 2 s on the new version, and about ten
/// inadequate answers are needed to halt.
const HALT_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of requests on a version whose answers are always inadequate, according to the targets in
/// the design document.
const MAX_EXPOSED_REQUESTS: usize = 10;

/// State of the roll-out according to the configuration log.
fn rollout_state(cluster: &Cluster) -> Option<rollout::State> {
    let page = cluster.log_client().read(config::STREAM, 0, 1000).unwrap();
    let mut state = State::new();
    for record in page.records {
        state.apply(record.offset, &record.payload);
    }
    let entry = state.objects().get(&Key::new(Kind::Rollout, "next"))?;
    match &*entry.object {
        Object::Rollout(it) => Some(it.state),
        _ => None,
    }
}

/// Guards against a bad version that continues to receive requests, against more requests on it than the
/// targets allow, and against a halt that requires an operator.
#[test]
fn rollout_of_a_bad_version_is_halted_after_few_requests() {
    let cluster = start_with_all_entries(&Options {
        extra_settings: "[config]\npoll_ms = 100\n".to_owned(),
        ..Options::default()
    });
    cluster.rating.update(|it| {
        it.adequacy.insert("small-2".to_owned(), 0);
    });
    start_rollout(&cluster);
    let done = AtomicBool::new(false);
    let exposed = AtomicUsize::new(0);
    let send_requests = &|address: SocketAddr| {
        while !done.load(Ordering::Relaxed) {
            let chat = chat(address, KEY, "small", &[]);
            assert!(chat.complete, "{chat:?}");
            if chat.text == expected_answer("small-2") {
                exposed.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    let start = Instant::now();
    std::thread::scope(|scope| {
        for address in cluster.addresses() {
            scope.spawn(move || send_requests(address));
        }
        while rollout_state(&cluster) != Some(rollout::State::Halted) && start.elapsed() < HALT_TIMEOUT {
            std::thread::sleep(Duration::from_millis(100));
        }
        done.store(true, Ordering::Relaxed);
    });
    let exposed = exposed.into_inner();
    println!("halted after {:?} and {exposed} requests", start.elapsed());
    assert_eq!(rollout_state(&cluster), Some(rollout::State::Halted));
    assert!(exposed > 0, "no request ran on the new version");
    assert!(
        exposed <= MAX_EXPOSED_REQUESTS,
        "{exposed} requests ran on the new version"
    );
    // Time for the other nodes to read the halt from the log.
    std::thread::sleep(Duration::from_millis(500));
    let texts = cluster
        .addresses()
        .into_iter()
        .map(|it| chat(it, KEY, "small", &[]).text);
    assert!(texts.into_iter().all(|it| it == expected_answer("small-1")));
}
