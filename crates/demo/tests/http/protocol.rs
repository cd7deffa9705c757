//! HTTP methods and protocol versions.

use std::io::Write;

use crate::client::{complete_chat_request, connect, parse_all, read_to_end, send_raw, send_request, start};

/// Guards against responses to `HEAD` with a body, after which a caller would misparse the next response.
#[test]
fn head_is_answered_like_get_without_a_body() {
    let cluster = start("");
    let address = cluster.addresses()[0];
    let head = "HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    let get = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = String::from_utf8(send_raw(address, (head.to_owned() + get).as_bytes())).unwrap();
    let (first, second) = answer.split_once("\r\n\r\n").unwrap();
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    assert!(first.to_lowercase().contains("content-length: 3"), "{first}");
    assert!(second.starts_with("HTTP/1.1 200"), "{second}");
    assert!(second.ends_with("ok\n"), "{second}");
}

macro_rules! methods {
    ($($name:ident: $request:literal => $status:literal, $allow:expr;)*) => {
        /// Guards against unsupported methods being handled as supported ones, and against refusals without
        /// the correct `Allow` header.
        #[test]
        fn unsupported_methods_are_refused() {
            let cluster = start("");
            let address = cluster.addresses()[0];
            $({
                let request = format!("{} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", $request);
                let response = send_request(address, request.as_bytes());
                assert_eq!(response.status, $status, stringify!($name));
                assert_eq!(response.header("allow"), $allow, stringify!($name));
                let code = if $status == 405 { "method_not_allowed" } else { "unknown_name" };
                assert_eq!(response.error(), Some((code.to_owned(), "no".to_owned())), stringify!($name));
            })*
        }
    };
}

methods! {
    get_chat: "GET /v1/chat/completions" => 405, Some("POST");
    unknown_method: "BREW /v1/chat/completions" => 405, Some("POST");
    post_models: "POST /v1/models" => 405, Some("GET, HEAD");
    delete_metrics: "DELETE /metrics" => 405, Some("GET, HEAD");
    get_drain: "GET /admin/drain" => 405, Some("POST");
    options_entries: "OPTIONS /v1/entries?x=1" => 405, Some("GET, HEAD");
    unknown_path: "BREW /coffee" => 404, None;
}

/// Guards against a response with a body to `HEAD` on a path that does not support `GET`.
#[test]
fn head_is_refused_where_get_is() {
    let cluster = start("");
    let request = b"HEAD /admin/drain HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = String::from_utf8(send_raw(cluster.addresses()[0], request)).unwrap();
    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
    assert!(answer.to_lowercase().contains("\r\nallow: post\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

/// Guards against chunked responses to HTTP/1.0 callers, which do not support them.
#[test]
fn http_1_0_callers_get_events_without_chunks() {
    let cluster = start("");
    let mut stream = connect(cluster.addresses()[0]);
    let request = String::from_utf8(complete_chat_request(true)).unwrap();
    let request = request.replacen("HTTP/1.1", "HTTP/1.0", 1);
    stream.write_all(request.as_bytes()).unwrap();
    let responses = parse_all(&read_to_end(&mut stream)).unwrap();
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].header("transfer-encoding"), None);
    assert!(responses[0].body.starts_with(b"data: {"));
    assert!(responses[0].body.ends_with(b"data: [DONE]\n\n"));
}
