//! Guards against connections that stay open although their peer has gone silent.

use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::set;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which a test fails at the latest if the peer is not found.
const PATIENCE: Duration = Duration::from_secs(20);

fn assert_set(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.tcp_keepalive_time().unwrap(), TIMEOUT / 2);
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(TIMEOUT));
}

#[test]
fn options_are_set_and_inherited_by_accepted_sockets() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    set(&listener, TIMEOUT).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    set(&stream, TIMEOUT).unwrap();
    assert_set(&stream);
    assert_set(&listener.accept().unwrap().0);
}

#[test]
fn peer_that_takes_nothing_is_found_within_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    set(&stream, TIMEOUT).unwrap();
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    let _peer = listener.accept().unwrap();
    let begin = Instant::now();
    let err = loop {
        if let Err(err) = stream.write(&[0; 1 << 16]) {
            break err;
        }
    };
    assert_eq!(err.kind(), ErrorKind::TimedOut);
    // The kernel looks at the end of a probe interval, which doubles.
    assert!(
        begin.elapsed() <= 3 * TIMEOUT,
        "found after {:?}",
        begin.elapsed()
    );
}
