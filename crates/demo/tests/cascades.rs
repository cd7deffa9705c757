//! Cascades and the rating service.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;

mod common;

use common::{Chat, answer, chat, metric, rejected_costs, wait};

/// Short times, so that faults show within a second.
const SETTINGS: &str = "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n\
                        [config]\npoll_ms = 100\n";

/// Requests that the cascade test sends at the same time.
const CALLERS: usize = 6;

fn start() -> Cluster {
    let options = Options {
        extra: SETTINGS.to_owned(),
        ..Options::default()
    };
    Cluster::start(&options).unwrap()
}

/// Sends `count` requests for the cascade from each of [`CALLERS`] callers.
fn cascade(address: SocketAddr, count: usize) -> Vec<Chat> {
    let run = move || -> Vec<Chat> { (0..count).map(|_| chat(address, KEY, "any", &[])).collect() };
    let threads: Vec<_> = (0..CALLERS).map(|_| std::thread::spawn(run)).collect();
    threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
}

/// Guards against a cascade that always uses the expensive version although the cheap one often suffices, against
/// answers made of parts of two versions, and against bills that hide or charge the cost of rejected answers.
#[test]
fn a_cascade_escalates_rejected_answers_only() {
    let cluster = start();
    cluster.rating.update(|it| {
        it.adequacy.insert("small-1".to_owned(), 700);
    });
    let address = cluster.addresses()[0];
    let learning = cascade(address, 40);
    let late = cascade(address, 20);
    let of = |chats: &[Chat], version: &str| chats.iter().filter(|it| it.text == answer(version)).count();
    for chats in [&learning, &late] {
        assert_eq!(
            of(chats, "small-1") + of(chats, "large-1"),
            chats.len(),
            "{chats:?}"
        );
    }
    let small = of(&late, "small-1");
    assert!(
        small * 2 >= late.len(),
        "{small} of {} answers are cheap",
        late.len()
    );
    let escalations = metric(address, "escalations_total");
    assert!(escalations > 0.0);
    let requests = learning.len() + late.len();
    wait("bills", Duration::from_secs(5), || {
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

/// Guards against nodes that each have to learn the quality of a version from their own requests alone.
#[test]
fn ratings_of_one_node_reach_the_others() {
    let cluster = start();
    let [rated, others @ ..] = &cluster.addresses()[..] else {
        panic!("no node")
    };
    cascade(*rated, 2);
    for address in others {
        wait("counters", Duration::from_secs(10), || {
            metric(*address, "evidence_received_total") >= 1.0
        });
    }
}

/// Guards against sessions that change their version when a cascade would choose another one.
#[test]
fn a_session_of_a_cascade_keeps_its_version() {
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

/// Guards against interactive answers that wait for a rating.
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
    // A single slow answer may be the machine's; the node counts each one that it holds back.
    assert_eq!(metric(address, "rating_waits_total"), 0.0);
    times.sort_unstable();
    assert!(times[times.len() / 2] < Duration::from_millis(600), "{times:?}");
    // The counter shows the answers of a cascade, which do wait.
    chat(address, KEY, "any", &[]);
    wait("a held answer", Duration::from_secs(10), || {
        chat(address, KEY, "any", &[]);
        metric(address, "rating_waits_total") > 0.0
    });
}

/// Guards against requests that fail, or wait for more than one time-out of a rating for each step, while the rating
/// service is down or never answers.
#[test]
fn answers_go_on_without_the_rating_service() {
    let cluster = start();
    let address = cluster.addresses()[0];
    // Ratings that make the cascade use its cheap version first.
    cluster.rating.update(|it| {
        it.adequacy.insert("small-1".to_owned(), 700);
    });
    cascade(address, 20);
    cluster.rating.update(|it| it.outage = true);
    for chat in cascade(address, 5) {
        assert!(chat.complete, "{chat:?}");
    }
    let missing = metric(address, "ratings_missing_total");
    assert!(missing > 0.0);
    cluster.rating.update(|it| {
        it.outage = false;
        it.loss_permille = 1000;
    });
    let start = Instant::now();
    for chat in cascade(address, 5) {
        assert!(chat.complete, "{chat:?}");
    }
    // At most two ratings of 1 s each and three answers for each of five requests in turn.
    assert!(start.elapsed() < Duration::from_secs(13), "{:?}", start.elapsed());
}
