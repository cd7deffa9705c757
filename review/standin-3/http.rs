//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Head and body of a request.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| &*it.1)
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1)
    }
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = vec![];
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn length(headers: &[(String, String)]) -> Option<usize> {
    let found = headers
        .iter()
        .find(|it| it.0.eq_ignore_ascii_case("content-length"));
    found?.1.parse().ok()
}

/// Serves each request of each connection on threads.
pub fn serve(address: SocketAddr, handle: impl Fn(Request, &mut TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|err| panic!("{address}: {err}"));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(request) = read_request(&mut reader) {
                    handle(request, &mut stream);
                }
            });
        }
    });
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = headers(reader)?;
    let mut body = vec![0; length(&headers).unwrap_or_default()];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Writes a response with its length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
}

/// What a client got.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete, by the framing that the head states.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| &*it.1)
    }
}

/// Sends a request on a connection of its own; `None` if no head of a response arrives in time.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let first = line(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = headers(&mut reader)?;
    let mut body = vec![];
    let is_complete = match length(&headers) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).is_ok()
        }
        None if headers.iter().any(|it| it.1.eq_ignore_ascii_case("chunked")) => {
            read_chunks(&mut reader, &mut body).is_some()
        }
        None => reader.read_to_end(&mut body).is_ok(),
    };
    Some(Response {
        status,
        headers,
        body,
        is_complete,
    })
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(&line(reader)?, 16).ok()?;
        let mut part = vec![0; size];
        reader.read_exact(&mut part).ok()?;
        body.extend_from_slice(&part);
        line(reader)?;
        if size == 0 {
            return Some(());
        }
    }
}
