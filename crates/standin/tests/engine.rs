//! Guards the engine adapter against missing, repeated and late events, and the fake against faults without effect.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

mod common;

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use common::{LONG, SHORT, any_port, closed_port, eventually, generation, raw_server, raw_server_with};
use ports::engine::{CacheChange, DesiredVersions, Engines, Error, Event, Refusal, Request, Stream};
use ports::http::engine::Client;
use standin::engine::{Engine, Fencing, Options};

fn client() -> Client {
    Client::new(SHORT, LONG)
}

fn engine(options: Options) -> Engine {
    Engine::bind(any_port(), options).unwrap()
}

/// Reads to the end; the text so far and how the stream ended.
fn read(stream: &mut dyn Stream) -> (Vec<u32>, String, Result<model::Usage, Error>) {
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
fn answer_is_streamed_and_resumed_without_gap() {
    let engine = engine(Options::default());
    let prompt = "x".repeat(200);
    let mut stream = client().generate(engine.address(), &generation(&prompt)).unwrap();
    let (indexes, answer, usage) = read(&mut *stream);
    assert_eq!(indexes, (0..10).collect::<Vec<_>>());
    assert!(answer.starts_with("alpha-1:0 alpha-1:1 ") && answer.ends_with("alpha-1:9 "));
    let usage = usage.unwrap();
    assert_eq!((usage.input, usage.cached, usage.output), (50, 0, 10));

    let resumed = Request {
        resume_after: 7,
        ..generation(&prompt)
    };
    let mut stream = client().generate(engine.address(), &resumed).unwrap();
    let (indexes, _, usage) = read(&mut *stream);
    assert_eq!(indexes, [7, 8, 9]);
    assert_eq!(usage.unwrap().cached, 48);
    // The engine counts an answer after it sent the end.
    eventually(|| engine.counts().completed == 2);
    assert_eq!(engine.counts().cancelled, 0);
}

#[test]
fn events_arrive_one_by_one() {
    let engine = engine(Options {
        token_interval: Duration::from_millis(50),
        ..Options::default()
    });
    let start = Instant::now();
    let mut stream = client().generate(engine.address(), &generation("hi")).unwrap();
    stream.next().unwrap();
    let first = start.elapsed();
    read(&mut *stream).2.unwrap();
    // Ten tokens take 500 ms; a buffered stream would deliver the first one at the end.
    assert!(first < start.elapsed() / 2, "{first:?}");
}

macro_rules! refusal {
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

refusal!(leaving_engine_refuses, |it| it.leaving = true, Refusal::Leaving);
refusal!(refusing_engine_refuses, |it| it.refusing = true, Refusal::Other);

/// Failures that prove nothing must not be reported as refusals, and a stream must not end early unnoticed.
macro_rules! raw {
    ($name:ident, $reply:expr, $error:expr) => {
        #[test]
        fn $name() {
            let started = client().generate(raw_server($reply), &generation("hi"));
            let error = match started {
                Ok(mut stream) => read(&mut *stream).2.unwrap_err(),
                Err(err) => err,
            };
            assert_eq!(error, $error);
        }
    };
}

raw!(no_reply_is_broken, b"", Error::Broken);
raw!(
    refusal_without_statement_is_broken,
    b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    Error::Broken
);
raw!(
    end_without_usage_is_malformed,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: [DONE]\n\n",
    Error::Malformed
);
raw!(
    end_without_last_event_is_broken,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"index\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    Error::Broken
);
raw!(
    error_event_is_broken,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"error\":{\"code\":\"x\"}}\n\n",
    Error::Broken
);
raw!(
    garbage_event_is_malformed,
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {]\n\n",
    Error::Malformed
);

#[test]
fn closed_port_is_connect() {
    let result = client().generate(closed_port(), &generation("hi"));
    assert_eq!(result.unwrap_err(), Error::Connect);
}

#[test]
fn missing_version_is_not_loaded_until_ordered() {
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
    assert!(read(&mut *stream).1.starts_with("beta-2:0 "));
}

#[test]
fn old_fencing_token_is_refused_only_where_checked() {
    for (fencing, expected) in [
        (Fencing::Checked, Err(Error::Refused(Refusal::Fenced))),
        (Fencing::Ignored, Ok(())),
    ] {
        let engine = engine(Options {
            fencing,
            ..Options::default()
        });
        let order = |token| {
            client().set_versions(
                engine.address(),
                &DesiredVersions {
                    fencing_token: token,
                    versions: Vec::new(),
                },
            )
        };
        assert_eq!(order(5), Ok(()));
        assert_eq!(order(5), Ok(()));
        assert_eq!(order(4), expected);
    }
}

fn impatient() -> Request {
    Request {
        progress_timeout: SHORT,
        max_tokens: Some(100_000),
        ..generation("hi")
    }
}

#[test]
fn silent_engine_is_silent() {
    let engine = engine(Options::default());
    let mut open = client().generate(engine.address(), &impatient()).unwrap();
    open.next().unwrap();
    engine.update(|it| it.silent = true);
    assert_eq!(read(&mut *open).2, Err(Error::Timeout));
    let result = client().generate(engine.address(), &impatient());
    assert_eq!(result.unwrap_err(), Error::Timeout);
}

#[test]
fn stalled_streams_stay_silent_while_new_ones_work() {
    let engine = engine(Options::default());
    let mut open = client().generate(engine.address(), &impatient()).unwrap();
    open.next().unwrap();
    engine.update(|it| it.stalls += 1);
    assert_eq!(read(&mut *open).2, Err(Error::Timeout));
    let mut fresh = client().generate(engine.address(), &generation("hi")).unwrap();
    assert!(read(&mut *fresh).2.is_ok());
}

#[test]
fn single_bytes_do_not_extend_the_progress_timeout() {
    let address = raw_server_with(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        while stream.write_all(b":").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    });
    let mut stream = client().generate(address, &impatient()).unwrap();
    let start = Instant::now();
    assert_eq!(stream.next(), Err(Error::Timeout));
    assert!(start.elapsed() < SHORT * 4);
}

/// Guards against a thread that blocks for ever in a write.
#[test]
fn peer_that_does_not_read_a_large_prompt_is_silent() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let large = Request {
        progress_timeout: SHORT,
        ..generation(&"x".repeat(16 << 20))
    };
    let start = Instant::now();
    let result = client().generate(listener.local_addr().unwrap(), &large);
    assert_eq!(result.unwrap_err(), Error::Timeout);
    assert!(start.elapsed() < LONG);
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
    assert_eq!(read(&mut *stream).2.unwrap().input, 1 << 18);
    let result = client().generate(closed_port(), &generation(&"x".repeat(1 << 20)));
    assert_eq!(result.unwrap_err(), Error::Connect);
}

#[test]
fn broken_stream_is_broken() {
    let engine = engine(Options::default());
    engine.update(|it| it.break_after = 3);
    let mut stream = client().generate(engine.address(), &generation("hi")).unwrap();
    let (indexes, _, end) = read(&mut *stream);
    assert_eq!((indexes.len(), end), (3, Err(Error::Broken)));
}

#[test]
fn dropped_stream_cancels_the_generation() {
    let engine = engine(Options::default());
    let mut stream = client().generate(engine.address(), &impatient()).unwrap();
    stream.next().unwrap();
    drop(stream);
    eventually(|| engine.counts().cancelled == 1);
    eventually(|| client().load_report(engine.address()).unwrap().running == 0);
}

#[test]
fn full_queue_refuses_and_the_report_lags() {
    let engine = engine(Options {
        concurrency: 1,
        queue_limit: 1,
        report_lag: Duration::from_millis(300),
        ..Options::default()
    });
    assert_eq!(client().load_report(engine.address()).unwrap().running, 0);
    let address = engine.address();
    let mut running = client().generate(address, &impatient()).unwrap();
    running.next().unwrap();
    let waiting = thread::spawn(move || client().generate(address, &generation("hi")).map(drop));
    eventually(|| {
        let report = client().load_report(address).unwrap();
        report.running == 1 && report.waiting == 1
    });
    let refused = client().generate(address, &generation("hi"));
    assert_eq!(refused.unwrap_err(), Error::Refused(Refusal::Busy));
    drop(running);
    assert_eq!(waiting.join().unwrap(), Ok(()));
}

#[test]
fn slow_engine_is_slow() {
    let engine = engine(Options {
        time_to_first_token: Duration::from_millis(30),
        ..Options::default()
    });
    engine.update(|it| it.slow = 10.0);
    let start = Instant::now();
    client().generate(engine.address(), &generation("hi")).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(300));
}

/// A fake that does not go away, or does not come back on its address, would hide faults of replaced hosts.
#[test]
fn stopped_engine_breaks_its_streams_and_can_be_replaced() {
    let first = engine(Options::default());
    let address = first.address();
    let mut open = client().generate(address, &impatient()).unwrap();
    open.next().unwrap();
    drop(first);
    assert_eq!(read(&mut *open).2, Err(Error::Broken));
    eventually(|| client().generate(address, &generation("hi")).map(drop) == Err(Error::Connect));
    let _second = Engine::bind(address, Options::default()).unwrap();
    let mut fresh = client().generate(address, &generation("hi")).unwrap();
    assert!(read(&mut *fresh).2.is_ok());
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let engine = engine(Options {
        cache_blocks: 2,
        cache_event_delay: Duration::from_millis(200),
        cache_event_loss_interval: 3,
        ..Options::default()
    });
    let mut stream = client()
        .generate(engine.address(), &generation(&"x".repeat(64 * 4)))
        .unwrap();
    read(&mut *stream).2.unwrap();
    eventually(|| client().cache_events(engine.address(), 0).unwrap().len() == 4);
    let events = client().cache_events(engine.address(), 0).unwrap();
    // Six events: four blocks stored, two of them evicted again; the third and the sixth are lost.
    let numbers: Vec<_> = events.iter().map(|it| it.sequence).collect();
    assert_eq!(numbers, [0, 1, 3, 4]);
    assert_eq!(events[2].change, CacheChange::Evicted);
    assert_eq!(events[2].block, events[0].block);
    assert_eq!(client().cache_events(engine.address(), 4).unwrap().len(), 1);
}
