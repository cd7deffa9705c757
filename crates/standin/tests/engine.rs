//! Guards against missing, repeated or late events in the engine adapter, and against injected faults of the
//! fake that have no effect.

#![allow(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod common;

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use common::{
    LONG_TIMEOUT, SHORT_TIMEOUT, any_port, closed_port, generation, raw_server, raw_server_fn, wait_until,
};
use ports::engine::{CacheChange, DesiredVersions, Engines, Error, Event, Refusal, Request, Stream};
use ports::http::engine::Client;
use standin::engine::{Engine, Fencing, Options};

fn client() -> Client {
    Client::new(SHORT_TIMEOUT, LONG_TIMEOUT)
}

fn engine(options: Options) -> Engine {
    Engine::bind(any_port(), options).unwrap()
}

/// Reads a stream to its end; returns the token indexes, the text and the usage or error.
fn read_all(stream: &mut dyn Stream) -> (Vec<u32>, String, Result<model::Usage, Error>) {
    let (mut indexes, mut answer) = (Vec::new(), String::new());
    loop {
        match stream.next() {
            Ok(Event::Token { index, text }) => {
                indexes.push(index);
                answer.push_str(&text);
            }
            Ok(Event::Done { usage }) => return (indexes, answer, Ok(usage)),
            Err(err) => return (indexes, answer, Err(err)),
        }
    }
}

#[test]
fn stream_can_be_resumed_without_gap() {
    let engine = engine(Options::default());
    let prompt = "x".repeat(200);
    let mut stream = client().generate(engine.address(), &generation(&prompt)).unwrap();
    let (indexes, answer, usage) = read_all(&mut *stream);
    assert_eq!(indexes, (0..10).collect::<Vec<_>>());
    assert!(answer.starts_with("alpha-1:0 alpha-1:1 ") && answer.ends_with("alpha-1:9 "));
    let usage = usage.unwrap();
    assert_eq!((usage.input, usage.cached, usage.output), (50, 0, 10));

    let resumed = Request {
        resume_after: 7,
        ..generation(&prompt)
    };
    let mut stream = client().generate(engine.address(), &resumed).unwrap();
    let (indexes, _, usage) = read_all(&mut *stream);
    assert_eq!(indexes, [7, 8, 9]);
    assert_eq!(usage.unwrap().cached, 48);
    // The engine counts an answer only after it has sent the last chunk.
    wait_until(|| engine.counts().completed == 2);
    assert_eq!(engine.counts().cancelled, 0);
}

#[test]
fn events_are_not_buffered() {
    let engine = engine(Options {
        token_interval: Duration::from_millis(50),
        ..Options::default()
    });
    let start = Instant::now();
    let mut stream = client().generate(engine.address(), &generation("hi")).unwrap();
    stream.next().unwrap();
    let first = start.elapsed();
    read_all(&mut *stream).2.unwrap();
    // Ten tokens take 500 ms. If the reply were buffered, the first one would arrive at the end.
    assert!(first < start.elapsed() / 2, "{first:?}");
}

macro_rules! refusal_test {
    ($name:ident, $fault:expr, $refusal:expr) => {
        #[test]
        fn $name() {
            let engine = engine(Options::default());
            engine.update($fault);
            let result = client().generate(engine.address(), &generation("hi"));
            assert_eq!(result.unwrap_err(), Error::Refused($refusal));
            assert_eq!(engine.counts().started, 0);
        }
    };
}

refusal_test!(
    leaving_engine_refuses_generations,
    |it| it.leaving = true,
    Refusal::Leaving
);
refusal_test!(
    refusing_engine_refuses_generations,
    |it| it.refusing = true,
    Refusal::Other
);

/// Guards against failures after which the request may have been executed being reported as refusals, and
/// against truncated streams being taken as complete.
macro_rules! raw_reply_test {
    ($name:ident, $reply:expr, $error:expr) => {
        #[test]
        fn $name() {
            let started = client().generate(raw_server($reply), &generation("hi"));
            let error = match started {
                Ok(mut stream) => read_all(&mut *stream).2.unwrap_err(),
                Err(err) => err,
            };
            assert_eq!(error, $error);
        }
    };
}

raw_reply_test!(closed_connection_is_broken, b"", Error::Broken);
raw_reply_test!(
    refusal_without_ran_header_is_broken,
    b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    Error::Broken
);
raw_reply_test!(
    end_without_usage_is_malformed,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: [DONE]\n\n",
    Error::Malformed
);
raw_reply_test!(
    end_without_last_event_is_broken,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"index\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    Error::Broken
);
raw_reply_test!(
    error_event_is_broken,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"error\":{\"code\":\"x\"}}\n\n",
    Error::Broken
);
raw_reply_test!(
    invalid_json_event_is_malformed,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {]\n\n",
    Error::Malformed
);

#[test]
fn closed_port_is_connect_error() {
    let result = client().generate(closed_port(), &generation("hi"));
    assert_eq!(result.unwrap_err(), Error::Connect);
}

#[test]
fn version_is_not_loaded_until_requested() {
    let engine = engine(Options::default());
    let other = Request {
        version: "beta-2".into(),
        ..generation("hi")
    };
    let result = client().generate(engine.address(), &other);
    assert_eq!(result.unwrap_err(), Error::Refused(Refusal::NotLoaded));
    let desired = DesiredVersions {
        fencing_token: 1,
        versions: vec!["beta-2".into()],
    };
    client().set_versions(engine.address(), &desired).unwrap();
    let mut stream = client().generate(engine.address(), &other).unwrap();
    assert!(read_all(&mut *stream).1.starts_with("beta-2:0 "));
}

#[test]
fn lower_fencing_token_is_refused_only_if_checked() {
    for (fencing, expected) in [
        (Fencing::Checked, Err(Error::Refused(Refusal::Fenced))),
        (Fencing::Ignored, Ok(())),
    ] {
        let engine = engine(Options {
            fencing,
            ..Options::default()
        });
        let set_versions = |token| {
            client().set_versions(
                engine.address(),
                &DesiredVersions {
                    fencing_token: token,
                    versions: Vec::new(),
                },
            )
        };
        assert_eq!(set_versions(5), Ok(()));
        assert_eq!(set_versions(5), Ok(()));
        assert_eq!(set_versions(4), expected);
    }
}

fn short_timeout_generation() -> Request {
    Request {
        progress_timeout: SHORT_TIMEOUT,
        max_tokens: Some(100_000),
        ..generation("hi")
    }
}

#[test]
fn unresponsive_engine_times_out() {
    let engine = engine(Options::default());
    let mut open = client()
        .generate(engine.address(), &short_timeout_generation())
        .unwrap();
    open.next().unwrap();
    engine.update(|it| it.silent = true);
    assert_eq!(read_all(&mut *open).2, Err(Error::Timeout));
    let result = client().generate(engine.address(), &short_timeout_generation());
    assert_eq!(result.unwrap_err(), Error::Timeout);
}

#[test]
fn stalled_streams_time_out_while_new_ones_work() {
    let engine = engine(Options::default());
    let mut open = client()
        .generate(engine.address(), &short_timeout_generation())
        .unwrap();
    open.next().unwrap();
    engine.update(|it| it.stalls += 1);
    assert_eq!(read_all(&mut *open).2, Err(Error::Timeout));
    let mut fresh = client().generate(engine.address(), &generation("hi")).unwrap();
    assert!(read_all(&mut *fresh).2.is_ok());
}

#[test]
fn single_bytes_do_not_extend_the_progress_timeout() {
    let address = raw_server_fn(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        while stream.write_all(b":").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    });
    let mut stream = client().generate(address, &short_timeout_generation()).unwrap();
    let start = Instant::now();
    assert_eq!(stream.next(), Err(Error::Timeout));
    assert!(start.elapsed() < SHORT_TIMEOUT * 4);
}

/// Guards against a caller that blocks forever in a write, since writes have no time-out.
#[test]
fn unread_large_prompt_times_out() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let large = Request {
        progress_timeout: SHORT_TIMEOUT,
        ..generation(&"x".repeat(16 << 20))
    };
    let start = Instant::now();
    let result = client().generate(listener.local_addr().unwrap(), &large);
    assert_eq!(result.unwrap_err(), Error::Timeout);
    assert!(start.elapsed() < LONG_TIMEOUT);
}

#[test]
fn large_prompt_is_answered() {
    let engine = engine(Options {
        prefill_per_token: Duration::ZERO,
        ..Options::default()
    });
    let mut stream = client()
        .generate(engine.address(), &generation(&"x".repeat(1 << 20)))
        .unwrap();
    assert_eq!(read_all(&mut *stream).2.unwrap().input, 1 << 18);
    let result = client().generate(closed_port(), &generation(&"x".repeat(1 << 20)));
    assert_eq!(result.unwrap_err(), Error::Connect);
}

#[test]
fn interrupted_stream_is_broken() {
    let engine = engine(Options::default());
    engine.update(|it| it.break_after = 3);
    let mut stream = client().generate(engine.address(), &generation("hi")).unwrap();
    let (indexes, _, end) = read_all(&mut *stream);
    assert_eq!((indexes.len(), end), (3, Err(Error::Broken)));
}

#[test]
fn dropped_stream_cancels_the_generation() {
    let engine = engine(Options::default());
    let mut stream = client()
        .generate(engine.address(), &short_timeout_generation())
        .unwrap();
    stream.next().unwrap();
    drop(stream);
    wait_until(|| engine.counts().cancelled == 1);
    wait_until(|| client().load_report(engine.address()).unwrap().running == 0);
}

#[test]
fn full_queue_refuses_and_load_report_lags() {
    let engine = engine(Options {
        concurrency: 1,
        queue_limit: 1,
        report_lag: Duration::from_millis(300),
        ..Options::default()
    });
    assert_eq!(client().load_report(engine.address()).unwrap().running, 0);
    let address = engine.address();
    let mut running = client().generate(address, &short_timeout_generation()).unwrap();
    running.next().unwrap();
    let waiting = thread::spawn(move || client().generate(address, &generation("hi")).map(drop));
    wait_until(|| {
        let report = client().load_report(address).unwrap();
        report.running == 1 && report.waiting == 1
    });
    let refused = client().generate(address, &generation("hi"));
    assert_eq!(refused.unwrap_err(), Error::Refused(Refusal::Busy));
    drop(running);
    assert_eq!(waiting.join().unwrap(), Ok(()));
}

#[test]
fn slow_fault_delays_the_first_token() {
    let engine = engine(Options {
        time_to_first_token: Duration::from_millis(30),
        ..Options::default()
    });
    engine.update(|it| it.slow = 10.0);
    let start = Instant::now();
    client().generate(engine.address(), &generation("hi")).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(300));
}

/// Guards against a fake that still accepts requests after it is dropped, or that cannot be started again on
/// the same address: tests that replace a host would then not exercise the replacement.
#[test]
fn stopped_engine_breaks_its_streams_and_can_be_replaced() {
    let first = engine(Options::default());
    let address = first.address();
    let mut open = client().generate(address, &short_timeout_generation()).unwrap();
    open.next().unwrap();
    drop(first);
    assert_eq!(read_all(&mut *open).2, Err(Error::Broken));
    wait_until(|| client().generate(address, &generation("hi")).map(drop) == Err(Error::Connect));
    let _second = Engine::bind(address, Options::default()).unwrap();
    let mut fresh = client().generate(address, &generation("hi")).unwrap();
    assert!(read_all(&mut *fresh).2.is_ok());
}

#[test]
fn cache_events_are_delayed_and_some_are_lost() {
    let engine = engine(Options {
        cache_blocks: 2,
        cache_event_delay: Duration::from_millis(200),
        cache_event_loss_interval: 3,
        ..Options::default()
    });
    let mut stream = client()
        .generate(engine.address(), &generation(&"x".repeat(64 * 4)))
        .unwrap();
    read_all(&mut *stream).2.unwrap();
    wait_until(|| client().cache_events(engine.address(), 0).unwrap().len() == 4);
    let events = client().cache_events(engine.address(), 0).unwrap();
    // Four blocks are stored and two of them evicted. Of these six events the third and the sixth are lost.
    let numbers: Vec<_> = events.iter().map(|it| it.sequence).collect();
    assert_eq!(numbers, [0, 1, 3, 4]);
    assert_eq!(events[2].change, CacheChange::Evicted);
    assert_eq!(events[2].block, events[0].block);
    assert_eq!(client().cache_events(engine.address(), 4).unwrap().len(), 1);
}
