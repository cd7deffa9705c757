//! Cascades, and their dependence on the rating service.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;

mod common;

use common::{ChatResponse, chat, expected_answer, metric, rejected_costs, wait_until};

/// Settings with short times, so that faults take effect within a second.
const SETTINGS: &str = "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n\
                        [config]\npoll_ms = 100\n";

/// Number of concurrent callers.
const CALLERS: usize = 6;

fn start() -> Cluster {
    let options = Options {
        extra_settings: SETTINGS.to_owned(),
        ..Options::default()
    };
    Cluster::start(&options).unwrap()
}

/// Sends `count` requests for the cascade from each of [`CALLERS`] concurrent callers.
fn request_cascade(address: SocketAddr, count: usize) -> Vec<ChatResponse> {
    let run = move || -> Vec<ChatResponse> { (0..count).map(|_| chat(address, KEY, "any", &[])).collect() };
    let threads: Vec<_> = (0..CALLERS).map(|_| std::thread::spawn(run)).collect();
    threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
}

/// Guards against a cascade that always uses the expensive version although the cheap one often suffices,
/// against answers mixed from two versions, and against bills that omit the cost of rejected answers or state
/// it wrongly.
#[test]
fn cascade_escalates_only_rejected_answers() {
    let cluster = start();
    cluster.rating.update(|it| {
        it.adequacy.insert("small-1".to_owned(), 700);
    });
    let address = cluster.addresses()[0];
    let learning = request_cascade(address, 40);
    let late = request_cascade(address, 20);
    let count_of = |chats: &[ChatResponse], version: &str| {
        chats
            .iter()
            .filter(|it| it.text == expected_answer(version))
            .count()
    };
    for chats in [&learning, &late] {
        assert_eq!(
            count_of(chats, "small-1") + count_of(chats, "large-1"),
            chats.len(),
            "{chats:?}"
        );
    }
    let small = count_of(&late, "small-1");
    assert!(
        small * 2 >= late.len(),
        "only {small} of {} answers are from the cheap version",
        late.len()
    );
    let escalations = metric(address, "escalations_total");
    assert!(escalations > 0.0);
    let requests = learning.len() + late.len();
    wait_until("bills", Duration::from_secs(5), || {
        rejected_costs(&cluster).len() == requests
    });
    let costs = rejected_costs(&cluster);
    let with_rejected = costs.iter().filter(|it| it.1 > 0).count();
    assert_eq!(with_rejected as f64, escalations);
    for (cost, rejected) in costs {
        assert!(
            rejected == 0 || rejected < cost,
            "{rejected} rejected, {cost} charged"
        );
    }
}

/// Guards against nodes that learn the quality of a version only from the ratings of their own requests.
#[test]
fn ratings_are_shared_between_nodes() {
    let cluster = start();
    let [rated, others @ ..] = &cluster.addresses()[..] else {
        panic!("no node")
    };
    request_cascade(*rated, 2);
    for address in others {
        wait_until("counters", Duration::from_secs(10), || {
            metric(*address, "evidence_received_total") >= 1.0
        });
    }
}

/// Guards against a session whose version changes because the cascade would now choose another one.
#[test]
fn session_of_a_cascade_keeps_its_version() {
    let cluster = start();
    cluster.rating.update(|it| {
        it.adequacy.insert("small-1".to_owned(), 500);
    });
    let address = cluster.addresses()[0];
    let first = chat(address, KEY, "any", &[]);
    assert!(first.complete);
    for address in cluster.addresses() {
        for _ in 0..5 {
            let next = chat(address, KEY, "any", &[("X-Session", &first.session)]);
            assert_eq!(next.text, first.text);
        }
    }
}

/// Guards against interactive answers that are delayed until they are rated.
#[test]
fn interactive_answers_do_not_wait_for_ratings() {
    let cluster = start();
    cluster.rating.update(|it| it.delay_ms = 900);
    let address = cluster.addresses()[0];
    let mut times = vec![];
    for _ in 0..20 {
        let start = Instant::now();
        let chat = chat(address, KEY, "any", &[("X-Task-Class", "interactive")]);
        assert!(chat.complete, "{chat:?}");
        times.push(start.elapsed());
    }
    // A single slow answer may be due to load on the machine, so the counter of delayed answers is checked,
    // and the median latency.
    assert_eq!(metric(address, "rating_waits_total"), 0.0);
    times.sort_unstable();
    assert!(times[times.len() / 2] < Duration::from_millis(600), "{times:?}");
    // The counter works: answers of a cascade that are not interactive do wait for their rating.
    chat(address, KEY, "any", &[]);
    wait_until("a delayed answer", Duration::from_secs(10), || {
        chat(address, KEY, "any", &[]);
        metric(address, "rating_waits_total") > 0.0
    });
}

/// Guards against requests that fail, or wait longer than one rating time-out per step, while the rating
/// service is unavailable or does not answer.
#[test]
fn requests_succeed_without_the_rating_service() {
    let cluster = start();
    let address = cluster.addresses()[0];
    // These ratings make the cascade try the cheap version first.
    cluster.rating.update(|it| {
        it.adequacy.insert("small-1".to_owned(), 700);
    });
    request_cascade(address, 20);
    cluster.rating.update(|it| it.outage = true);
    for chat in request_cascade(address, 5) {
        assert!(chat.complete, "{chat:?}");
    }
    let missing = metric(address, "ratings_missing_total");
    assert!(missing > 0.0);
    cluster.rating.update(|it| {
        it.outage = false;
        it.loss_permille = 1000;
    });
    let start = Instant::now();
    for chat in request_cascade(address, 5) {
        assert!(chat.complete, "{chat:?}");
    }
    // Each caller sends five requests in turn, and each takes at most two rating time-outs of 1 s and three
    // answers.
    assert!(start.elapsed() < Duration::from_secs(13), "{:?}", start.elapsed());
}
