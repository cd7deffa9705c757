//! Stand-ins for the cases of the second review: the platform's store, engines, clients, and nodes as processes.
//!
//! Only the standard library is used. All addresses are loopback addresses with free ports.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the seconds since its begin.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            begin: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.begin.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {}", text.as_ref());
    }

    pub fn seconds(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }
}

/// Whether the disruption is left out.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|it| it == "0")
}

/// A free port for TCP and UDP on a loopback address.
pub fn free_address(ip: [u8; 4]) -> SocketAddr {
    loop {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("no free port");
        let address = listener.local_addr().expect("no address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the chunks of a body one by one; `None` at the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(Some(data).filter(|it| !it.is_empty()))
}

/// Reads a body with a length or in chunks.
pub fn read_body(message: &mut Message, reader: &mut impl BufRead) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
        return Ok(());
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    let mut body = std::mem::take(&mut message.body);
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}

/// A server with a thread for each connection.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(mut request) = read_head(&mut reader)? {
                    read_body(&mut request, &mut reader)?;
                    handle(request, &mut stream)?;
                }
                Ok(())
            });
        }
    });
    Ok(address)
}

/// Sends a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

// ---------------------------------------------------------------- store

/// Records of all topics.
pub type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Default)]
struct StoreState {
    topics: Mutex<Topics>,
    changed: Condvar,
    /// Times that the store came back from an older copy.
    era: AtomicU64,
    /// Whether the store closes all connections without an answer.
    is_away: AtomicBool,
}

/// The platform's store: keyed topics with one partition each.
#[derive(Clone)]
pub struct Store {
    state: Arc<StoreState>,
    pub address: SocketAddr,
}

impl Store {
    pub fn spawn() -> io::Result<Self> {
        let state = Arc::new(StoreState::default());
        let shared = state.clone();
        let address = serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request, stream| {
            let answer = shared.respond(&request);
            if shared.is_away.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let head = format!(
                "Content-Type: application/json\r\nStore-Era: {}\r\n",
                shared.era.load(Ordering::SeqCst)
            );
            respond(stream, answer.0, &head, &answer.1)
        })?;
        Ok(Self { state, address })
    }

    /// Appends a record, as the operator and the engines do; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.state.changed.notify_all();
    }

    /// A copy of all records.
    pub fn copy(&self) -> Topics {
        self.state.topics.lock().unwrap().clone()
    }

    /// Goes away.
    pub fn leave(&self) {
        self.state.is_away.store(true, Ordering::SeqCst);
        self.state.changed.notify_all();
    }

    /// Comes back from an older copy.
    pub fn return_from(&self, copy: Topics) {
        *self.state.topics.lock().unwrap() = copy;
        self.state.era.fetch_add(1, Ordering::SeqCst);
        self.state.is_away.store(false, Ordering::SeqCst);
        self.state.changed.notify_all();
    }
}

impl StoreState {
    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let (path, query) = request.target().split_once('?').unwrap_or_default();
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|it| it.split_once('='));
            parts.find(|it| it.0 == name).map(|it| it.1.to_owned())
        };
        let topic = parameter("topic").unwrap_or_default();
        let number = |name: &str| parameter(name).and_then(|it| it.parse::<usize>().ok());
        match path {
            "/log-newest" => (200, self.newest(&topic)),
            "/log-read" => self.read(&topic, number("from").unwrap_or(0), number("waitMs").unwrap_or(0)),
            "/log-append" => self.append(&topic, number("asOf"), &request.body),
            _ => (404, vec![]),
        }
    }

    /// All keys fit into one page here.
    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let entries = newest
            .iter()
            .filter(|it| !it.1.1.is_empty())
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            });
        let entries = entries.collect::<Vec<_>>().join(",");
        format!(
            "{{\"entries\":[{entries}],\"hasMore\":false,\"end\":{}}}",
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: usize) -> (u16, Vec<u8>) {
        let end = Instant::now() + Duration::from_millis(wait_ms as u64);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            if records.len() < from {
                return (410, b"{\"first\":0}".to_vec());
            }
            if self.is_away.load(Ordering::SeqCst) {
                return (503, Vec::new());
            }
            let left = end.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return (200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, as_of: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if as_of.is_some_and(|it| it != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let (key, value) = body[5..].split_at(usize::from(body[4]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1).into_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, it| word << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * place)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- engines

/// Writes an engine's entry into the store at its start and at each heartbeat until the process ends.
pub fn register(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    slots: u32,
    heartbeat: Duration,
) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    let write = move |seq: u64| {
        let value = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1700000000000}}"
        );
        store.put("keyed.servers", &id, &value);
    };
    write(1);
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(heartbeat);
            write(seq);
        }
    });
}

// ---------------------------------------------------------------- nodes

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// A node, started by the command of the deploy file.
pub struct Node {
    child: Child,
    pub host: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub gossip: SocketAddr,
    settings: PathBuf,
}

/// Addresses of a node.
#[derive(Clone, Copy)]
pub struct Places {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub gossip: SocketAddr,
}

impl Places {
    pub fn free(ip: [u8; 4]) -> Self {
        Self {
            front: free_address(ip),
            ready: free_address(ip),
            directory: free_address(ip),
            control: free_address(ip),
            gossip: free_address(ip),
        }
    }

    /// Places of several machines, which have the addresses 127.0.0.1 and so on and the same ports.
    pub fn of_fleet(machines: usize) -> Vec<Self> {
        let address = |machine: usize, port: u16| SocketAddr::from(([127, 0, 0, machine as u8 + 1], port));
        let is_free = |port: u16| {
            (0..machines).all(|it| {
                let address = address(it, port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        };
        let mut ports = Vec::new();
        while ports.len() < 5 {
            let port = free_address([127, 0, 0, 1]).port();
            if !ports.contains(&port) && is_free(port) {
                ports.push(port);
            }
        }
        let places = |machine: usize| Self {
            front: address(machine, ports[0]),
            ready: address(machine, ports[1]),
            directory: address(machine, ports[2]),
            control: address(machine, ports[3]),
            gossip: address(machine, ports[4]),
        };
        (0..machines).map(places).collect()
    }
}

impl Node {
    /// Starts a node with the bounds of a small deployment.
    pub fn start(
        temporary: &Path,
        host: &str,
        places: Places,
        seeds: &[SocketAddr],
        store: SocketAddr,
        extra: &str,
    ) -> io::Result<Self> {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let Places {
            front,
            ready,
            directory,
            control,
            gossip,
        } = places;
        let text = format!(
            "[node]\nhost = {host}\nfailure_domain = a\nregion = r\nmemory_mb = 110\ndescriptors = 4100\n\
             first_start = true\n{extra}\n\
             [listen]\nentry = {front}\nready = {ready}\ndirectory = {directory}\ncontrol = {control}\n\
             gossip = {gossip}\nseeds = {}\n\
             [store]\naddress = {store}\nheartbeat_ms = 1200\n\
             [bounds]\nconfig_ms = 2000\nrevocation_ms = 5000\nstrict_revocation = true\ndrain_ms = 2000\n\
             grace_seconds = 8\nretry_ratio = 0.9\nretry_slack = 56\nretry_window_seconds = 10\n\
             session_seconds = 5\nexposure_share = 0.15\nexposure_slack = 30\n",
            seeds.join(",")
        );
        let settings = temporary.join(format!("{host}.ini"));
        fs::write(&settings, text)?;
        let log = File::create(temporary.join(format!("{host}.log")))?;
        let child = Command::new("target/release/bronzevaled")
            .arg("--config")
            .arg(&settings)
            .env("BRONZEVALE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            host: host.to_owned(),
            front,
            ready,
            directory,
            control,
            gossip,
            settings,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the platform's readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/readyz").is_ok_and(|it| it.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Exit status of the process, if it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok()?.map(|it| it.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder for settings and logs, removed at the end.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

// ---------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id for a client attempt.
pub fn attempt_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn get(address: SocketAddr, target: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut response = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut response, &mut reader)?;
    Ok(response)
}

/// What a client has received.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub head: Option<Message>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
    pub body: Vec<u8>,
    /// Why the answer is not whole.
    pub error: String,
    pub took: Duration,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Message::status)
    }

    pub fn describe(&self) -> String {
        let end = match self.is_whole {
            true => "whole answer".to_owned(),
            false => format!("connection ended without a whole answer ({})", self.error),
        };
        format!(
            "status {}, {} bytes of body, {end}, after {:.3} s",
            self.status(),
            self.body.len(),
            self.took.as_secs_f64()
        )
    }
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let begin = Instant::now();
    let mut answer = Answer::default();
    let result = exchange(address, request, limit, &mut answer);
    answer.took = begin.elapsed();
    match result {
        Ok(()) => answer.is_whole = true,
        Err(err) => answer.error = err.to_string(),
    }
    answer
}

fn exchange(address: SocketAddr, request: &[u8], limit: Duration, answer: &mut Answer) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let is_chunked = head.header("transfer-encoding").is_some();
    let length = head
        .header("content-length")
        .and_then(|it| it.parse::<usize>().ok());
    answer.head = Some(head);
    if is_chunked {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
        }
        return Ok(());
    }
    match length {
        Some(length) => {
            let mut left = vec![0; length];
            reader.read_exact(&mut left)?;
            answer.body = left;
        }
        None => {
            reader.read_to_end(&mut answer.body)?;
        }
    }
    Ok(())
}
