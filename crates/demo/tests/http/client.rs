//! Client that sends arbitrary bytes, and a strict parser of HTTP/1 responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;

/// Maximum time for a read, a write or a condition of [`wait_until`].
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A received response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0 == name);
        found.map(|it| it.1.as_str())
    }

    /// Code and `ran` value of the error in the body.
    pub fn error(&self) -> Option<(String, String)> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        let field = |name: &str| Some(body["error"][name].as_str()?.to_owned());
        Some((field("code")?, field("ran")?))
    }
}

/// Starts a cluster with the lines `http` in the section `[http]` of the node settings.
pub fn start(http: &str) -> Cluster {
    let mut options = options(http);
    options.engine.token_interval = Duration::from_millis(2);
    Cluster::start(&options).unwrap()
}

/// Configuration of a cluster with the lines `http` in the section `[http]` of the node settings.
pub fn options(http: &str) -> Options {
    Options {
        extra_settings: format!("[stop]\nentry_lifetime_seconds = 1\n[http]\n{http}\n"),
        ..Options::default()
    }
}

/// Opens a connection whose reads and writes time out after [`TIMEOUT`].
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// A chat request with the additional header lines `lines` and the body `body`.
pub fn chat_request(lines: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n{lines}\r\n{body}"
    )
    .into_bytes()
}

/// A complete chat request.
pub fn complete_chat_request(stream: bool) -> Vec<u8> {
    let body =
        format!(r#"{{"model":"small","stream":{stream},"messages":[{{"role":"user","content":"Hello"}}]}}"#);
    chat_request(&format!("Content-Length: {}\r\n", body.len()), &body)
}

/// Sends bytes and reads until the node closes the connection.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    // The write may fail, since the node may respond and close the connection before it has read everything.
    stream.write_all(bytes).ok();
    read_to_end(&mut stream)
}

/// Reads until the node closes the connection.
pub fn read_to_end(stream: &mut impl Read) -> Vec<u8> {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(err) if err.kind() == ErrorKind::ConnectionReset => {}
        Err(err) => panic!("{err} after {:?}", String::from_utf8_lossy(&bytes)),
    }
    bytes
}

/// Sends bytes and reads one response.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = connect(address);
    stream.write_all(bytes).ok();
    read_one(&mut stream)
}

/// Reads up to the end of the next response, which must be well-formed.
pub fn read_one(stream: &mut impl Read) -> Response {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let len = stream.read(&mut part).unwrap();
        bytes.extend_from_slice(&part[..len]);
        match parse(&bytes, len == 0) {
            Some((response, rest)) => {
                assert!(rest.is_empty(), "{:?}", String::from_utf8_lossy(rest));
                return response;
            }
            None => assert!(
                len > 0,
                "connection closed before the end of the response: {:?}",
                String::from_utf8_lossy(&bytes)
            ),
        }
    }
}

/// All responses in `bytes`, received up to the end of the connection; `None` if they are malformed.
pub fn parse_all(mut bytes: &[u8]) -> Option<Vec<Response>> {
    let mut responses = Vec::new();
    while !bytes.is_empty() {
        let (response, rest) = parse(bytes, true)?;
        bytes = rest;
        responses.push(response);
    }
    Some(responses)
}

/// The first response in `bytes` and the bytes after it.
fn parse(bytes: &[u8], is_ended: bool) -> Option<(Response, &[u8])> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut rest = &bytes[end + 4..];
    let mut lines = head.split("\r\n");
    let status = lines.next()?;
    let status = status
        .strip_prefix("HTTP/1.1 ")
        .or(status.strip_prefix("HTTP/1.0 "))?;
    let status: u16 = status.get(..3)?.parse().ok()?;
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(": ")?;
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let mut response = Response {
        status,
        headers,
        body: Vec::new(),
    };
    if status < 200 {
        return Some((response, rest));
    }
    if let Some(length) = response.header("content-length") {
        let length = length.parse().ok()?;
        response.body = rest.get(..length)?.to_vec();
        return Some((response, &rest[length..]));
    }
    if response.header("transfer-encoding") != Some("chunked") {
        response.body = rest.to_vec();
        return is_ended.then_some((response, &[]));
    }
    loop {
        let end = find(rest, b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..end]).ok()?, 16).ok()?;
        let chunk = rest.get(end + 2..end + 2 + size)?;
        response.body.extend_from_slice(chunk);
        rest = rest[end + 2 + size..].strip_prefix(b"\r\n")?;
        if size == 0 {
            return Some((response, rest));
        }
    }
}

fn find(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    bytes.windows(mark.len()).position(|it| it == mark)
}

/// Whether a node answers a chat request completely.
pub fn serves(address: SocketAddr) -> bool {
    let response = send_request(address, &complete_chat_request(true));
    response.status == 200 && response.body.ends_with(b"data: [DONE]\n\n")
}

/// Value of a metric of a node, as text. Panics if it is absent.
pub fn metric(address: SocketAddr, name: &str) -> String {
    metric_on(&mut connect(address), name)
}

/// Like [`metric`], on an open connection.
pub fn metric_on(stream: &mut TcpStream, name: &str) -> String {
    stream
        .write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let response = read_one(stream);
    let text = String::from_utf8(response.body).unwrap();
    let prefix = format!("bronzevale_{name} ");
    let line = text.lines().find_map(|it| it.strip_prefix(&prefix));
    line.unwrap().to_owned()
}

/// Waits until `done` returns true; panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "{what}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
