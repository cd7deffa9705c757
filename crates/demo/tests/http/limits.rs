//! Requests that exceed a size limit or are malformed.

use crate::client::{chat_request, parse_all, send_raw, send_request, serves, start};

/// Code and `ran` value of a refusal of a request that was not executed.
fn refusal(code: &str) -> Option<(String, String)> {
    Some((code.to_owned(), "no".to_owned()))
}

/// Guards against a process that aborts because a request declares a body length that cannot be allocated.
#[test]
fn excessive_body_length_is_refused() {
    let cluster = start("");
    let address = cluster.addresses()[0];
    let length = "Content-Length: 99999999999999\r\n";
    let response = send_request(address, &chat_request(length, "{"));
    assert_eq!(response.status, 413);
    assert_eq!(response.error(), refusal("body_too_large"));
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{length}\r\n{{");
    let response = send_request(address, head.as_bytes());
    assert_eq!(response.status, 401);
    assert_eq!(response.error(), refusal("unauthorised"));
    // The HTTP library itself refuses these lengths. It reports the largest ones as an oversized message
    // head.
    let cases = [
        ("18446744073709551615", 431),
        ("18446744073709551616", 400),
        ("-1", 400),
        ("1, 2", 400),
        ("0x10", 400),
    ];
    for (length, status) in cases {
        let answer = send_raw(
            address,
            &chat_request(&format!("Content-Length: {length}\r\n"), "{"),
        );
        let responses = parse_all(&answer).unwrap();
        assert_eq!(responses.len(), 1, "{length}");
        assert_eq!(responses[0].status, status, "{length}");
    }
    assert!(serves(address));
}

/// Guards against unbounded memory use by headers that never end.
#[test]
fn endless_headers_are_refused() {
    const LENGTH: usize = 16 << 20;
    let cluster = start("max_header_bytes = 4096");
    let address = cluster.addresses()[0];
    let head = b"GET /healthz HTTP/1.1\r\nHost: x\r\n".to_vec();
    let one_line = [&head[..], b"X-A: ", &vec![b'a'; LENGTH]].concat();
    let many_lines = [&head[..], &b"X-A: a\r\n".repeat(LENGTH / 8)].concat();
    let target = [b"GET /", &vec![b'a'; LENGTH][..]].concat();
    for bytes in [one_line, many_lines, target] {
        let responses = parse_all(&send_raw(address, &bytes)).unwrap();
        assert_eq!(responses.len(), 1);
        assert!(matches!(responses[0].status, 414 | 431), "{responses:?}");
    }
    assert!(serves(address));
}

/// Guards against a refusal without an error code for headers that exceed the limit only slightly.
#[test]
fn headers_over_the_limit_are_refused_with_an_error_code() {
    let cluster = start("max_header_bytes = 4096");
    let address = cluster.addresses()[0];
    let request = |length: usize| {
        let value = "a".repeat(length);
        format!("GET /healthz HTTP/1.1\r\nHost: x\r\nX-A: {value}\r\n\r\n")
    };
    assert_eq!(send_request(address, request(4000).as_bytes()).status, 200);
    let response = send_request(address, request(4200).as_bytes());
    assert_eq!(response.status, 431);
    assert_eq!(response.error(), refusal("headers_too_large"));
}

/// Guards against unbounded memory use by a body without a declared length.
#[test]
fn chunked_bodies_over_the_limit_are_refused() {
    let cluster = start("max_body_bytes = 10000");
    let address = cluster.addresses()[0];
    let chunk = format!("3e8\r\n{}\r\n", "a".repeat(1000));
    let chunked = |count: usize| {
        chat_request(
            "Transfer-Encoding: chunked\r\n",
            &(chunk.repeat(count) + "0\r\n\r\n"),
        )
    };
    let response = send_request(address, &chunked(10));
    assert_eq!(response.error(), refusal("bad_request"));
    for count in [11, 5000] {
        let response = send_request(address, &chunked(count));
        assert_eq!(response.status, 413);
        assert_eq!(response.error(), refusal("body_too_large"));
    }
    assert!(serves(address));
}

macro_rules! malformed {
    ($($name:ident: $bytes:expr;)*) => {
        /// Guards against malformed requests that are accepted, and against a node that stops serving because
        /// of them.
        #[test]
        fn malformed_requests_are_refused() {
            let cluster = start("header_timeout_ms = 300\nidle_timeout_ms = 300\nbody_timeout_ms = 300");
            let address = cluster.addresses()[0];
            $({
                let answer = send_raw(address, $bytes);
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

/// Guards against a chunked body with invalid framing being accepted.
#[test]
fn malformed_chunks_are_refused() {
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
        let answer = send_raw(address, &chat_request("Transfer-Encoding: chunked\r\n", body));
        let responses = parse_all(&answer).unwrap();
        assert!(
            responses.iter().all(|it| matches!(it.status, 400 | 408 | 413)),
            "{body}: {responses:?}"
        );
    }
    assert!(serves(address));
}
