//! Guards against the adapters of the log, the host list, the rating service and the weight store reporting a
//! failure as another one.

#![allow(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{LONG_TIMEOUT, SHORT_TIMEOUT, any_port, closed_port, raw_server, wait_until};
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
    let client = http::log::Client::new(log.address(), SHORT_TIMEOUT, LONG_TIMEOUT);
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
    let client = http::log::Client::new(log.address(), SHORT_TIMEOUT, LONG_TIMEOUT);
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
fn append_with_lost_reply_is_no_reply() {
    let log = Log::bind(any_port(), Default::default()).unwrap();
    let client = http::log::Client::new(log.address(), SHORT_TIMEOUT, SHORT_TIMEOUT);
    log.update(|it| it.lose_replies = 1);
    assert_eq!(client.append("config", &payloads(&["a"])), Err(Error::NoReply));
    assert_eq!(log.end("config"), 1);
    assert_eq!(client.append("config", &payloads(&["a"])), Ok(1));
}

#[test]
fn append_that_times_out_is_no_reply() {
    let log = Log::bind(any_port(), Default::default()).unwrap();
    let client = http::log::Client::new(log.address(), SHORT_TIMEOUT, SHORT_TIMEOUT);
    log.update(|it| it.delay_ms = 600);
    assert_eq!(client.append("config", &payloads(&["a"])), Err(Error::NoReply));
    wait_until(|| log.end("config") == 1);
}

/// Guards against an append being reported as without effect although its reply does not say so.
macro_rules! raw_append_test {
    ($name:ident, $reply:expr, $error:expr) => {
        #[test]
        fn $name() {
            let client = http::log::Client::new(raw_server($reply), SHORT_TIMEOUT, LONG_TIMEOUT);
            assert_eq!(client.append("config", &payloads(&["a"])), Err($error));
        }
    };
}

raw_append_test!(append_with_closed_connection_is_no_reply, b"", Error::NoReply);
raw_append_test!(
    append_with_status_503_but_no_ran_header_is_no_reply,
    b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    Error::NoReply
);
raw_append_test!(
    append_with_malformed_reply_is_malformed,
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    Error::Malformed
);

#[test]
fn closed_port_is_unavailable() {
    let client = http::log::Client::new(closed_port(), SHORT_TIMEOUT, LONG_TIMEOUT);
    assert_eq!(
        client.append("config", &payloads(&["a"])),
        Err(Error::Unavailable)
    );
    let client = http::hosts::Client::new(closed_port(), SHORT_TIMEOUT, LONG_TIMEOUT);
    assert_eq!(client.list(), Err(hosts::Error::Unavailable));
    let client = http::weights::Client::new(closed_port(), SHORT_TIMEOUT, LONG_TIMEOUT);
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
    let client = http::hosts::Client::new(list.address(), SHORT_TIMEOUT, LONG_TIMEOUT);
    let start = Instant::now();
    list.mark_leaving("b");
    assert_eq!(client.list(), Ok(entries));
    wait_until(|| client.list().unwrap()[1].state == State::Leaving);
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
    let client = http::rating::Client::new(rating.address(), SHORT_TIMEOUT);
    assert_eq!(
        client.rate(&answer(1, "good"), LONG_TIMEOUT),
        Ok(Verdict::Adequate)
    );
    assert_eq!(
        client.rate(&answer(1, "bad"), LONG_TIMEOUT),
        Ok(Verdict::Inadequate)
    );
    let adequate =
        (0..100).filter(|it| client.rate(&answer(*it, "half"), LONG_TIMEOUT) == Ok(Verdict::Adequate));
    assert!((30..=70).contains(&adequate.count()));
}

#[test]
fn rating_timeout_and_outage_are_distinguished() {
    let rating = Rating::bind(any_port(), Default::default()).unwrap();
    let client = http::rating::Client::new(rating.address(), SHORT_TIMEOUT);
    rating.update(|it| it.delay_ms = 1000);
    assert_eq!(
        client.rate(&answer(1, "v"), SHORT_TIMEOUT),
        Err(rating::Error::Timeout)
    );
    rating.update(|it| it.loss_permille = 1000);
    assert_eq!(
        client.rate(&answer(1, "v"), SHORT_TIMEOUT),
        Err(rating::Error::Timeout)
    );
    rating.update(|it| it.outage = true);
    assert_eq!(
        client.rate(&answer(1, "v"), SHORT_TIMEOUT),
        Err(rating::Error::Unavailable)
    );
}

#[test]
fn weight_store_enforces_its_rate_limit() {
    let interval = Duration::from_millis(100);
    let store = Weights::bind(any_port(), standin::weights::Options { interval }).unwrap();
    let client = http::weights::Client::new(store.address(), SHORT_TIMEOUT, LONG_TIMEOUT);
    assert_eq!(client.reserve(&"alpha-1".into()), Ok(()));
    let Err(weights::Error::RateLimited(retry_after)) = client.reserve(&"alpha-1".into()) else {
        panic!("the second reservation within the interval was not refused");
    };
    assert!(retry_after <= interval + Duration::from_millis(1));
    std::thread::sleep(retry_after);
    assert_eq!(client.reserve(&"alpha-1".into()), Ok(()));
    assert_eq!(store.reserved(), 2);
}
