//! Guards against a call to a plain service being reported as not executed although its outcome is unknown,
//! and against a call being sent twice.

#![allow(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod common;

use std::net::TcpListener;

use common::{LONG_TIMEOUT, SHORT_TIMEOUT, any_port, call, closed_port, raw_server};
use ports::http::service::Client;
use ports::service::{Call, Error, Services};
use standin::service::{Options, Service};

fn service() -> Service {
    Service::bind(any_port(), Options::default()).unwrap()
}

#[test]
fn executions_are_counted_per_key() {
    let service = service();
    for (path, key) in [
        ("/bookings", Some("a")),
        ("/bookings", Some("b")),
        ("/repeatable/stock", None),
    ] {
        let reply = Client.call(service.address(), &call(path, key)).unwrap();
        assert_eq!(
            (reply.status, reply.content_type.as_str()),
            (200, "application/json")
        );
    }
    assert_eq!((service.executions("a"), service.executions("b")), (1, 1));
    assert_eq!(service.idempotent_executions(), 1);
}

/// Guards against a call that was executed and then failed for the caller being reported as not executed.
macro_rules! fault_test {
    ($name:ident, $fault:expr, $error:expr, $executions:expr) => {
        #[test]
        fn $name() {
            let service = service();
            service.update($fault);
            let call = Call {
                timeout: SHORT_TIMEOUT,
                ..call("/bookings", Some("k"))
            };
            assert_eq!(Client.call(service.address(), &call), Err($error));
            assert_eq!(service.executions("k"), $executions);
        }
    };
}

fault_test!(refusal_is_not_run, |it| it.refusing = true, Error::NotRun, 0);
fault_test!(lost_reply_is_unknown, |it| it.lose_replies = 1, Error::Unknown, 1);
fault_test!(
    broken_reply_is_unknown,
    |it| it.break_replies = 1,
    Error::Unknown,
    1
);
fault_test!(
    unresponsive_service_is_unknown,
    |it| it.silent = true,
    Error::Unknown,
    0
);

/// Guards against a reply that does not say that the call was not executed being taken as one that does.
macro_rules! raw_reply_test {
    ($name:ident, $reply:expr, $expected:pat) => {
        #[test]
        fn $name() {
            let result = Client.call(raw_server($reply), &call("/bookings", None));
            assert!(matches!(result, $expected), "{result:?}");
        }
    };
}

raw_reply_test!(closed_connection_is_unknown, b"", Err(Error::Unknown));
raw_reply_test!(
    truncated_header_is_unknown,
    b"HTTP/1.1 200 OK\r\nConte",
    Err(Error::Unknown)
);
raw_reply_test!(invalid_http_is_unknown, b"hello\r\n\r\n", Err(Error::Unknown));
raw_reply_test!(
    truncated_body_is_unknown,
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    Err(Error::Unknown)
);
raw_reply_test!(
    truncated_chunk_is_unknown,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nabc",
    Err(Error::Unknown)
);
raw_reply_test!(
    missing_last_chunk_is_unknown,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    Err(Error::Unknown)
);
raw_reply_test!(
    status_503_without_ran_header_is_a_reply,
    b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    Ok(ports::service::Reply { status: 503, .. })
);
raw_reply_test!(
    ran_header_with_another_status_is_a_reply,
    b"HTTP/1.1 500 Error\r\nX-Ran: no\r\nContent-Length: 0\r\n\r\n",
    Ok(ports::service::Reply { status: 500, .. })
);
raw_reply_test!(
    redirect_is_not_followed,
    b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
    Ok(ports::service::Reply { status: 307, .. })
);

#[test]
fn closed_port_is_connect_error() {
    assert_eq!(
        Client.call(closed_port(), &call("/bookings", None)),
        Err(Error::Connect)
    );
}

/// Guards against a caller that blocks forever in a write, since writes have no time-out of their own.
#[test]
fn unread_large_body_is_unknown() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let large = Call {
        body: vec![b'x'; 16 << 20],
        timeout: SHORT_TIMEOUT,
        ..call("/bookings", None)
    };
    let result = Client.call(listener.local_addr().unwrap(), &large);
    assert_eq!(result, Err(Error::Unknown));
}

#[test]
fn reply_to_head_has_no_body() {
    let address = raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    let head = Call {
        method: "HEAD".to_owned(),
        ..call("/repeatable/stock", None)
    };
    assert_eq!(Client.call(address, &head).unwrap().status, 200);
}

#[test]
fn call_with_invalid_key_is_not_sent() {
    let service = service();
    let result = Client.call(service.address(), &call("/bookings", Some("a\r\nb")));
    assert_eq!(result, Err(Error::Connect));
    assert!(service.executions_by_key().is_empty());
}

#[test]
fn path_cannot_change_the_host() {
    let service = service();
    let reply = Client
        .call(service.address(), &call("@127.0.0.2/bookings", Some("k")))
        .unwrap();
    assert_eq!((reply.status, service.executions("k")), (200, 1));
}

#[test]
fn faults_are_changed_over_http() {
    let service = service();
    let control = |body: &str| Call {
        body: body.as_bytes().to_vec(),
        timeout: LONG_TIMEOUT,
        ..call("/control", None)
    };
    let reply = Client
        .call(service.address(), &control(r#"{"refusing": true}"#))
        .unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(
        Client.call(service.address(), &call("/bookings", None)),
        Err(Error::NotRun)
    );
    let reply = Client
        .call(service.address(), &control(r#"{"refusin": false}"#))
        .unwrap();
    assert_eq!(reply.status, 400);
    assert_eq!(
        Client.call(service.address(), &call("/bookings", None)),
        Err(Error::NotRun)
    );
}
