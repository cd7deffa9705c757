//! The platform's store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, respond};

type Records = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct State {
    topics: Mutex<BTreeMap<String, Records>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store(Arc<State>);

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self(Arc::default());
        let served = store.clone();
        http::serve(address, move |request, stream| served.handle(&request, stream));
        store
    }

    /// Appends a record, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.0.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.0.changed.notify_all();
    }

    /// The newest value of a key; empty if there is none.
    pub fn newest(&self, topic: &str, key: &str) -> String {
        let topics = self.0.topics.lock().unwrap();
        let mut records = topics.get(topic).into_iter().flatten().rev();
        let found = records.find(|it| it.0 == key);
        found.map_or(String::new(), |it| String::from_utf8_lossy(&it.1).into_owned())
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let path = request.target.split('?').next().unwrap_or_default();
        match (&*request.method, path) {
            ("GET", "/log-newest") => self.page(&topic, request, stream),
            ("GET", "/log-read") => self.read(&topic, request, stream),
            ("POST", "/log-append") => self.append(&topic, request, stream),
            _ => respond(stream, 404, "", b""),
        }
    }

    fn page(&self, topic: &str, request: &Request, stream: &mut TcpStream) {
        let after = request.query("after").unwrap_or_default();
        let topics = self.0.topics.lock().unwrap();
        let records = topics.get(topic).cloned().unwrap_or_default();
        drop(topics);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, it| !it.1.is_empty() && key.as_str() > after);
        let entries: Vec<_> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(
                    r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                    base64(value)
                )
            })
            .collect();
        let body = format!(
            r#"{{"entries":[{}],"hasMore":false,"end":{}}}"#,
            entries.join(","),
            records.len()
        );
        respond(stream, 200, "Content-Type: application/json\r\n", body.as_bytes());
    }

    fn read(&self, topic: &str, request: &Request, stream: &mut TcpStream) {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("from").unwrap_or_default() as usize;
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut topics = self.0.topics.lock().unwrap();
        let count = |topics: &BTreeMap<String, Records>| topics.get(topic).map_or(0, Vec::len);
        while count(&topics) <= from {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.0.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).cloned().unwrap_or_default();
        drop(topics);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        respond(stream, 200, "", &body);
    }

    fn append(&self, topic: &str, request: &Request, stream: &mut TcpStream) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return respond(stream, 403, "", b"");
        }
        let as_of = request.query("asOf").and_then(|it| it.parse::<usize>().ok());
        let mut topics = self.0.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let first = records.len();
        if as_of.is_some_and(|it| it != first) {
            drop(topics);
            let body = format!(r#"{{"end":{first}}}"#);
            return respond(stream, 412, "Content-Type: application/json\r\n", body.as_bytes());
        }
        let mut rest = &request.body[..];
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let (record, after) = rest[4..].split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = after;
        }
        let end = records.len();
        self.0.changed.notify_all();
        drop(topics);
        let body = format!(r#"{{"offset":{first},"end":{end}}}"#);
        respond(stream, 200, "Content-Type: application/json\r\n", body.as_bytes());
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, it| word << 8 | u32::from(*it)) << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
