//! Guards the adapters of log, host list, rating and weight store against faults being reported as another fault.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{LONG, SHORT, any_port, closed_port, eventually, raw_server};
use ports::hosts::{Entry, Hosts as _, State};
use ports::log::{Error, Log as _};
use ports::rating::{self, Rating as _, Verdict};
use ports::weights::{self, Weights as _};
use ports::{hosts, http};
use standin::{Hosts, Log, Rating, Weights};

fn payloads(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|it| it.as_bytes().to_vec()).collect()
}

#[test]
fn log_appends_and_reads_from_an_offset() {
    let log = Log::bind(any_port(), standin::log::Options { retention: 3 }).unwrap();
    let client = http::log::Client::new(log.address(), SHORT, LONG);
    assert_eq!(client.append("config", &payloads(&["a", "b"])), Ok(0));
    assert_eq!(client.append("config", &payloads(&["\u{0}c", "d"])), Ok(2));
    assert_eq!(client.append("bills", &payloads(&["x"])), Ok(0));
    let page = client.read("config", 0, 2).unwrap();
    assert_eq!((page.first, page.end), (1, 4));
    let read: Vec<_> = page
        .records
        .iter()
        .map(|it| (it.offset, it.payload.as_slice()))
        .collect();
    assert_eq!(read, [(1, &b"b"[..]), (2, &b"\0c"[..])]);
    assert!(client.read("config", 4, 2).unwrap().records.is_empty());
}

#[test]
fn log_outage_has_no_effect() {
    let log = Log::bind(any_port(), Default::default()).unwrap();
    let client = http::log::Client::new(log.address(), SHORT, LONG);
    log.update(|it| it.outage = true);
    assert_eq!(
        client.append("config", &payloads(&["a"])),
        Err(Error::Unavailable)
    );
    assert_eq!(log.end("config"), 0);
    log.update(|it| it.outage = false);
    assert_eq!(client.append("config", &payloads(&["a"])), Ok(0));
}

#[test]
fn log_lost_reply_is_no_reply() {
    let log = Log::bind(any_port(), Default::default()).unwrap();
    let client = http::log::Client::new(log.address(), SHORT, SHORT);
    log.update(|it| it.lose_replies = 1);
    assert_eq!(client.append("config", &payloads(&["a"])), Err(Error::NoReply));
    assert_eq!(log.end("config"), 1);
    assert_eq!(client.append("config", &payloads(&["a"])), Ok(1));
}

#[test]
fn log_delay_beyond_the_timeout_is_no_reply() {
    let log = Log::bind(any_port(), Default::default()).unwrap();
    let client = http::log::Client::new(log.address(), SHORT, SHORT);
    log.update(|it| it.delay_ms = 600);
    assert_eq!(client.append("config", &payloads(&["a"])), Err(Error::NoReply));
    eventually(|| log.end("config") == 1);
}

/// An append whose reply is not a proof either way may have taken effect.
macro_rules! raw_append {
    ($name:ident, $reply:expr, $error:expr) => {
        #[test]
        fn $name() {
            let client = http::log::Client::new(raw_server($reply), SHORT, LONG);
            assert_eq!(client.append("config", &payloads(&["a"])), Err($error));
        }
    };
}

raw_append!(append_without_reply, b"", Error::NoReply);
raw_append!(
    append_with_unavailable_but_no_statement,
    b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    Error::NoReply
);
raw_append!(
    append_with_malformed_reply,
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    Error::Malformed
);

#[test]
fn closed_port_is_unavailable() {
    let client = http::log::Client::new(closed_port(), SHORT, LONG);
    assert_eq!(
        client.append("config", &payloads(&["a"])),
        Err(Error::Unavailable)
    );
    let client = http::hosts::Client::new(closed_port(), SHORT, LONG);
    assert_eq!(client.list(), Err(hosts::Error::Unavailable));
    let client = http::weights::Client::new(closed_port(), SHORT, LONG);
    assert_eq!(
        client.reserve(&"alpha-1".into()),
        Err(weights::Error::Unavailable)
    );
}

fn host(name: &str) -> Entry {
    Entry {
        name: name.into(),
        pool: "entry".into(),
        address: any_port(),
        domain: "d1".into(),
        state: State::Live,
    }
}

#[test]
fn host_list_shows_a_leaving_host_after_the_lag() {
    let entries = vec![host("a"), host("b")];
    let options = standin::hosts::Options {
        entries: entries.clone(),
        lag: Duration::from_millis(200),
    };
    let list = Hosts::bind(any_port(), options).unwrap();
    let client = http::hosts::Client::new(list.address(), SHORT, LONG);
    let start = Instant::now();
    list.mark_leaving("b");
    assert_eq!(client.list(), Ok(entries));
    eventually(|| client.list().unwrap()[1].state == State::Leaving);
    assert!(start.elapsed() >= Duration::from_millis(200));
    list.update(|it| it.removed = vec!["a".to_owned()]);
    assert_eq!(client.list().unwrap().len(), 1);
    list.update(|it| it.outage = true);
    assert_eq!(client.list(), Err(hosts::Error::Unavailable));
}

fn answer(id: u32, version: &str) -> rating::Request {
    rating::Request {
        id: id.to_string(),
        version: version.into(),
        messages: Vec::new(),
        answer: "text".to_owned(),
    }
}

#[test]
fn rating_follows_the_adequacy_of_the_version() {
    let adequacy = BTreeMap::from([
        ("good".to_owned(), 1000),
        ("bad".to_owned(), 0),
        ("half".to_owned(), 500),
    ]);
    let rating = Rating::bind(any_port(), standin::rating::Options { adequacy, seed: 1 }).unwrap();
    let client = http::rating::Client::new(rating.address(), SHORT);
    assert_eq!(client.rate(&answer(1, "good"), LONG), Ok(Verdict::Adequate));
    assert_eq!(client.rate(&answer(1, "bad"), LONG), Ok(Verdict::Inadequate));
    let adequate = (0..100).filter(|it| client.rate(&answer(*it, "half"), LONG) == Ok(Verdict::Adequate));
    assert!((30..=70).contains(&adequate.count()));
}

#[test]
fn rating_faults_are_told_apart() {
    let rating = Rating::bind(any_port(), Default::default()).unwrap();
    let client = http::rating::Client::new(rating.address(), SHORT);
    rating.update(|it| it.delay_ms = 1000);
    assert_eq!(client.rate(&answer(1, "v"), SHORT), Err(rating::Error::Timeout));
    rating.update(|it| it.loss_permille = 1000);
    assert_eq!(client.rate(&answer(1, "v"), SHORT), Err(rating::Error::Timeout));
    rating.update(|it| it.outage = true);
    assert_eq!(
        client.rate(&answer(1, "v"), SHORT),
        Err(rating::Error::Unavailable)
    );
}

#[test]
fn weight_store_limits_the_rate() {
    let interval = Duration::from_millis(100);
    let store = Weights::bind(any_port(), standin::weights::Options { interval }).unwrap();
    let client = http::weights::Client::new(store.address(), SHORT, LONG);
    assert_eq!(client.reserve(&"alpha-1".into()), Ok(()));
    let Err(weights::Error::RateLimited(wait)) = client.reserve(&"alpha-1".into()) else {
        panic!("the second reservation is not refused");
    };
    assert!(wait <= interval + Duration::from_millis(1));
    std::thread::sleep(wait);
    assert_eq!(client.reserve(&"alpha-1".into()), Ok(()));
    assert_eq!(store.reserved(), 2);
}
