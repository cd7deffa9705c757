//! Callers that send or read slowly, or go away.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use demo::Cluster;

use crate::raw::{
    ask, chat, connect, metric, options, parse_all, read_one, read_to_end, serves, start, wait, whole_chat,
};

const DRIP: Duration = Duration::from_millis(50);

/// Sends a byte at a time until the node closes the connection; returns what it answered and when.
fn drip(mut stream: TcpStream, bytes: &[u8]) -> (Vec<u8>, Duration) {
    let mut writer = stream.try_clone().unwrap();
    let bytes = bytes.to_vec();
    let start = Instant::now();
    let sender = std::thread::spawn(move || {
        for byte in bytes {
            if writer.write_all(&[byte]).is_err() {
                return;
            }
            std::thread::sleep(DRIP);
        }
    });
    let answer = read_to_end(&mut stream);
    let time = start.elapsed();
    drop(stream);
    sender.join().unwrap();
    (answer, time)
}

/// Guards against connections that are held for as long as a caller drips headers.
#[test]
fn dripping_headers_close_the_connection() {
    let cluster = start("header_timeout_ms = 500");
    let address = cluster.addresses()[0];
    let head =
        b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n";
    let (answer, time) = drip(connect(address), head);
    assert!(parse_all(&answer).unwrap().iter().all(|it| it.status == 408));
    assert!(
        time >= Duration::from_millis(400) && time < Duration::from_secs(2),
        "{time:?}"
    );
    // The second head on a connection is bounded as well.
    let mut stream = connect(address);
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    assert_eq!(read_one(&mut stream).status, 200);
    let (_, time) = drip(stream, head);
    assert!(
        time >= Duration::from_millis(400) && time < Duration::from_secs(2),
        "{time:?}"
    );
    assert!(serves(address));
}

/// Guards against connections without a first byte that are held for long.
#[test]
fn a_silent_connection_is_closed() {
    let cluster = start("header_timeout_ms = 300");
    let start = Instant::now();
    assert!(read_to_end(&mut connect(cluster.addresses()[0])).is_empty());
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Guards against request threads that are held for as long as a caller drips its body.
#[test]
fn a_dripping_body_is_refused() {
    let cluster = start("body_timeout_ms = 500");
    let address = cluster.addresses()[0];
    let mut stream = connect(address);
    stream.write_all(&chat("Content-Length: 1000\r\n", "{")).unwrap();
    let (answer, time) = drip(stream, &[b' '; 100]);
    let responses = parse_all(&answer).unwrap();
    assert_eq!(responses[0].status, 408);
    assert_eq!(
        responses[0].error(),
        Some(("slow_request".to_owned(), "no".to_owned()))
    );
    assert!(time < Duration::from_secs(2), "{time:?}");
    assert!(serves(address));
}

/// Guards against idle connections that are kept forever, or closed before their time.
#[test]
fn idle_connections_are_closed_after_their_time() {
    let cluster = start("header_timeout_ms = 200\nidle_timeout_ms = 600");
    let mut stream = connect(cluster.addresses()[0]);
    for _ in 0..2 {
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        assert_eq!(read_one(&mut stream).status, 200);
        std::thread::sleep(Duration::from_millis(400));
    }
    let start = Instant::now();
    assert!(read_to_end(&mut stream).is_empty());
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

fn cancelled(cluster: &Cluster) -> u64 {
    cluster.engines.iter().map(|it| it.counts().cancelled).sum()
}

/// Guards against request threads and engine slots that a caller which does not read holds forever.
#[test]
fn a_caller_that_does_not_read_is_cut_off() {
    let mut options = options("write_timeout_ms = 500");
    options.engine.token_interval = Duration::ZERO;
    // More than the socket buffers of both ends hold.
    options.engine.answer_tokens = 1_000_000;
    let cluster = Cluster::start(&options).unwrap();
    let address = cluster.addresses()[0];
    let mut stream = connect(address);
    stream.write_all(&whole_chat(true)).unwrap();
    wait("cut-off", || metric(address, "caller_disconnects_total") == "1");
    wait("cancel", || cancelled(&cluster) == 1);
    wait("end", || metric(address, "open_requests") == "1");
    let response = ask(address, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(response.status, 200);
}

/// Guards against engines that work on for a caller which has gone, while its answer is collected or streamed.
#[test]
fn a_disconnect_is_noticed_while_the_answer_is_produced() {
    let mut options = options("");
    options.engine.token_interval = Duration::from_millis(50);
    options.engine.answer_tokens = 200;
    let cluster = Cluster::start(&options).unwrap();
    let address = cluster.addresses()[0];
    for (count, is_streamed) in [(1, false), (2, true)] {
        let mut stream = connect(address);
        stream.write_all(&whole_chat(is_streamed)).unwrap();
        if is_streamed {
            assert!(stream.read(&mut [0; 16]).unwrap() > 0);
        } else {
            wait("start", || metric(address, "open_requests") == "2");
        }
        drop(stream);
        let start = Instant::now();
        wait("cancel", || cancelled(&cluster) == count);
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    }
}
