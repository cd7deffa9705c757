//! Requests that are too large or malformed.

use crate::raw::{ask, chat, parse_all, send, serves, start};

fn refusal(code: &str) -> Option<(String, String)> {
    Some((code.to_owned(), "no".to_owned()))
}

/// Guards against a process that ends when a caller declares a body too long to allocate.
#[test]
fn an_absurd_body_length_is_refused() {
    let cluster = start("");
    let address = cluster.addresses()[0];
    let length = "Content-Length: 99999999999999\r\n";
    let response = ask(address, &chat(length, "{"));
    assert_eq!(response.status, 413);
    assert_eq!(response.error(), refusal("body_too_large"));
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{length}\r\n{{");
    let response = ask(address, head.as_bytes());
    assert_eq!(response.status, 401);
    assert_eq!(response.error(), refusal("unauthorised"));
    // Lengths that the HTTP library itself refuses; it takes the greatest ones for an oversized message head.
    let cases = [
        ("18446744073709551615", 431),
        ("18446744073709551616", 400),
        ("-1", 400),
        ("1, 2", 400),
        ("0x10", 400),
    ];
    for (length, status) in cases {
        let answer = send(address, &chat(&format!("Content-Length: {length}\r\n"), "{"));
        let responses = parse_all(&answer).unwrap();
        assert_eq!(responses.len(), 1, "{length}");
        assert_eq!(responses[0].status, status, "{length}");
    }
    assert!(serves(address));
}

/// Guards against memory that grows with headers which never end.
#[test]
fn endless_headers_are_refused() {
    const ENDLESS: usize = 16 << 20;
    let cluster = start("max_header_bytes = 4096");
    let address = cluster.addresses()[0];
    let head = b"GET /healthz HTTP/1.1\r\nHost: x\r\n".to_vec();
    let one_line = [&head[..], b"X-A: ", &vec![b'a'; ENDLESS]].concat();
    let many_lines = [&head[..], &b"X-A: a\r\n".repeat(ENDLESS / 8)].concat();
    let target = [b"GET /", &vec![b'a'; ENDLESS][..]].concat();
    for bytes in [one_line, many_lines, target] {
        let responses = parse_all(&send(address, &bytes)).unwrap();
        assert_eq!(responses.len(), 1);
        assert!(matches!(responses[0].status, 414 | 431), "{responses:?}");
    }
    assert!(serves(address));
}

/// Guards against an untyped refusal of headers that are only somewhat too long.
#[test]
fn long_headers_get_a_typed_refusal() {
    let cluster = start("max_header_bytes = 4096");
    let address = cluster.addresses()[0];
    let request = |length: usize| {
        let value = "a".repeat(length);
        format!("GET /healthz HTTP/1.1\r\nHost: x\r\nX-A: {value}\r\n\r\n")
    };
    assert_eq!(ask(address, request(4000).as_bytes()).status, 200);
    let response = ask(address, request(4200).as_bytes());
    assert_eq!(response.status, 431);
    assert_eq!(response.error(), refusal("headers_too_large"));
}

/// Guards against memory that grows with a body whose length was not declared.
#[test]
fn chunked_bodies_over_the_limit_are_refused() {
    let cluster = start("max_body_bytes = 10000");
    let address = cluster.addresses()[0];
    let chunk = format!("3e8\r\n{}\r\n", "a".repeat(1000));
    let chunked = |count: usize| {
        chat(
            "Transfer-Encoding: chunked\r\n",
            &(chunk.repeat(count) + "0\r\n\r\n"),
        )
    };
    let response = ask(address, &chunked(10));
    assert_eq!(response.error(), refusal("bad_request"));
    for count in [11, 5000] {
        let response = ask(address, &chunked(count));
        assert_eq!(response.status, 413);
        assert_eq!(response.error(), refusal("body_too_large"));
    }
    assert!(serves(address));
}

macro_rules! malformed {
    ($($name:ident: $bytes:expr;)*) => {
        /// Guards against requests that are misread, and against a node that stops over them.
        #[test]
        fn malformed_requests_are_refused() {
            let cluster = start("header_timeout_ms = 300\nidle_timeout_ms = 300\nbody_timeout_ms = 300");
            let address = cluster.addresses()[0];
            $({
                let answer = send(address, $bytes);
                let responses = parse_all(&answer).expect(stringify!($name));
                let is_refused = responses.iter().all(|it| (400..500).contains(&it.status));
                assert!(is_refused, "{}: {responses:?}", stringify!($name));
            })*
            assert!(serves(address));
        }
    };
}

malformed! {
    empty_line: b"\r\n\r\n";
    no_target: b"GET\r\n\r\n";
    no_version: b"GET /healthz\r\n\r\n";
    future_version: b"GET /healthz HTTP/9.9\r\n\r\n";
    space_in_target: b"GET /heal thz HTTP/1.1\r\n\r\n";
    nul_in_method: b"G\0T /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    nul_in_header: b"GET /healthz HTTP/1.1\r\nHost: x\0y\r\n\r\n";
    no_colon: b"GET /healthz HTTP/1.1\r\nHost x\r\n\r\n";
    space_before_colon: b"GET /healthz HTTP/1.1\r\nHost : x\r\n\r\n";
    folded_header: b"GET /healthz HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n";
    not_ascii_value: b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-Session: \xff\xfe\r\n\r\n";
    two_lengths: b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    length_and_chunked: b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    unknown_coding: b"POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n";
    http2_preface: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    tls_hello: b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03";
    connect: b"CONNECT example.org:443 HTTP/1.1\r\nHost: example.org\r\n\r\n";
    asterisk: b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// Guards against a chunked body that is misread where its framing is broken.
#[test]
fn broken_chunks_are_refused() {
    let cluster = start("body_timeout_ms = 300\nheader_timeout_ms = 300\nidle_timeout_ms = 300");
    let address = cluster.addresses()[0];
    for body in [
        "x\r\n",
        "-1\r\n",
        "ffffffffffffffffff\r\n",
        "1\r\nab\r\n",
        "5\r\nab",
        "1;",
    ] {
        let answer = send(address, &chat("Transfer-Encoding: chunked\r\n", body));
        let responses = parse_all(&answer).unwrap();
        assert!(
            responses.iter().all(|it| matches!(it.status, 400 | 408 | 413)),
            "{body}: {responses:?}"
        );
    }
    assert!(serves(address));
}
