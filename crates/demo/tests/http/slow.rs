//! Callers that send or read slowly, stay idle or disconnect.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use demo::Cluster;

use crate::client::{
    chat_request, complete_chat_request, connect, metric, options, parse_all, read_one, read_to_end,
    send_request, serves, start, wait_until,
};

const BYTE_INTERVAL: Duration = Duration::from_millis(50);

/// Sends a byte per [`BYTE_INTERVAL`] until the node closes the connection; returns the received bytes and
/// the time until then.
fn send_slowly(mut stream: TcpStream, bytes: &[u8]) -> (Vec<u8>, Duration) {
    let mut writer = stream.try_clone().unwrap();
    let bytes = bytes.to_vec();
    let start = Instant::now();
    let sender = std::thread::spawn(move || {
        for byte in bytes {
            if writer.write_all(&[byte]).is_err() {
                return;
            }
            std::thread::sleep(BYTE_INTERVAL);
        }
    });
    let answer = read_to_end(&mut stream);
    let time = start.elapsed();
    drop(stream);
    sender.join().unwrap();
    (answer, time)
}

/// Guards against connections that stay open as long as a caller keeps sending header bytes slowly.
#[test]
fn slow_headers_close_the_connection() {
    let cluster = start("header_timeout_ms = 500");
    let address = cluster.addresses()[0];
    let head =
        b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n";
    let (answer, time) = send_slowly(connect(address), head);
    assert!(parse_all(&answer).unwrap().iter().all(|it| it.status == 408));
    assert!(
        time >= Duration::from_millis(400) && time < Duration::from_secs(2),
        "{time:?}"
    );
    // The time-out also applies to the second request on a connection.
    let mut stream = connect(address);
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    assert_eq!(read_one(&mut stream).status, 200);
    let (_, time) = send_slowly(stream, head);
    assert!(
        time >= Duration::from_millis(400) && time < Duration::from_secs(2),
        "{time:?}"
    );
    assert!(serves(address));
}

/// Guards against connections that stay open without sending a first byte.
#[test]
fn connection_without_a_request_is_closed() {
    let cluster = start("header_timeout_ms = 300");
    let start = Instant::now();
    assert!(read_to_end(&mut connect(cluster.addresses()[0])).is_empty());
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Guards against request threads that are occupied as long as a caller keeps sending body bytes slowly.
#[test]
fn slow_body_is_refused() {
    let cluster = start("body_timeout_ms = 500");
    let address = cluster.addresses()[0];
    let mut stream = connect(address);
    stream
        .write_all(&chat_request("Content-Length: 1000\r\n", "{"))
        .unwrap();
    let (answer, time) = send_slowly(stream, &[b' '; 100]);
    let responses = parse_all(&answer).unwrap();
    assert_eq!(responses[0].status, 408);
    assert_eq!(
        responses[0].error(),
        Some(("slow_request".to_owned(), "no".to_owned()))
    );
    assert!(time < Duration::from_secs(2), "{time:?}");
    assert!(serves(address));
}

/// Guards against idle connections that are never closed, or closed before the idle time-out.
#[test]
fn idle_connections_are_closed_after_the_time_out() {
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

/// Number of cancelled generations over all engines.
fn cancelled_generations(cluster: &Cluster) -> u64 {
    cluster.engines.iter().map(|it| it.counts().cancelled).sum()
}

/// Guards against request threads and engine slots that stay occupied because a caller does not read the
/// response.
#[test]
fn caller_that_does_not_read_is_disconnected() {
    let mut options = options("write_timeout_ms = 500");
    options.engine.token_interval = Duration::ZERO;
    // The answer exceeds the socket buffers of both ends.
    options.engine.answer_tokens = 1_000_000;
    let cluster = Cluster::start(&options).unwrap();
    let address = cluster.addresses()[0];
    let mut stream = connect(address);
    stream.write_all(&complete_chat_request(true)).unwrap();
    wait_until("disconnect", || {
        metric(address, "caller_disconnects_total") == "1"
    });
    wait_until("cancel", || cancelled_generations(&cluster) == 1);
    wait_until("end", || metric(address, "open_requests") == "1");
    let response = send_request(address, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(response.status, 200);
}

/// Guards against engines that continue to generate after the caller has disconnected, for collected and for
/// streamed answers.
#[test]
fn disconnect_cancels_the_generation() {
    let mut options = options("");
    options.engine.token_interval = Duration::from_millis(50);
    options.engine.answer_tokens = 200;
    let cluster = Cluster::start(&options).unwrap();
    let address = cluster.addresses()[0];
    for (count, is_streamed) in [(1, false), (2, true)] {
        let mut stream = connect(address);
        stream.write_all(&complete_chat_request(is_streamed)).unwrap();
        if is_streamed {
            assert!(stream.read(&mut [0; 16]).unwrap() > 0);
        } else {
            wait_until("start", || metric(address, "open_requests") == "2");
        }
        drop(stream);
        let start = Instant::now();
        wait_until("cancel", || cancelled_generations(&cluster) == count);
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    }
}
