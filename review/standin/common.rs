//! Stand-ins of the platform for the scripts of this folder, with the standard library only: a store, engines, nodes
//! as separate processes, and callers. They follow PROTOCOL.md and DEPLOY.md.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Log(Arc<(Instant, Mutex<File>)>);

impl Log {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    pub fn elapsed(&self) -> Duration {
        self.0.0.elapsed()
    }
}

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|it| it.to_ascii_lowercase().contains("chunked"))
    }
}

/// Reads from a connection byte by byte through a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: vec![],
            start: 0,
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        if self.start == self.buffer.len() {
            let mut part = [0; 8192];
            let read = self.stream.read(&mut part)?;
            self.buffer.clear();
            self.start = 0;
            self.buffer.extend_from_slice(&part[..read]);
            return Ok(read > 0);
        }
        Ok(true)
    }

    fn byte(&mut self) -> io::Result<Option<u8>> {
        if !self.fill()? {
            return Ok(None);
        }
        self.start += 1;
        Ok(Some(self.buffer[self.start - 1]))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut line = vec![];
        loop {
            match self.byte()? {
                None if line.is_empty() => return Ok(None),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(b'\n') => break,
                Some(it) => line.push(it),
            }
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(String::from_utf8_lossy(&line).into_owned()))
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![];
        while bytes.len() < count {
            match self.byte()? {
                Some(it) => bytes.push(it),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        Ok(bytes)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        if message.is_chunked() {
            while let Some(part) = self.chunk()? {
                message.body.extend(part);
            }
        } else if let Some(length) = message.length() {
            message.body = self.bytes(length)?;
        }
        Ok(Some(message))
    }

    /// Reads a chunk; `None` is the last one, which ends the body as complete.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let part = self.bytes(size)?;
        self.line()?;
        Ok((size > 0).then_some(part))
    }

    /// Reads a response with its body; an error if it does not end as complete.
    pub fn response(&mut self) -> io::Result<Message> {
        let mut message = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if message.is_chunked() {
            while let Some(part) = self.chunk()? {
                message.body.extend(part);
            }
        } else if let Some(length) = message.length() {
            message.body = self.bytes(length)?;
        } else {
            while let Some(byte) = self.byte()? {
                message.body.push(byte);
            }
        }
        Ok(message)
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

fn accept(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

fn loopback() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

type Record = (String, Vec<u8>);

/// Time of an answer of the store, as on the sheets.
const STORE_TIME: Duration = Duration::from_millis(4);

/// A way to the store that can be cut: connections hang, and what is under way is lost.
#[derive(Clone)]
pub struct Link {
    cut: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Link {
    pub fn to(target: SocketAddr) -> Self {
        let listener = loopback();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        accept(listener, move |near| {
            if shared.load(Ordering::SeqCst) {
                return hang(&shared, &near);
            }
            let Ok(far) = TcpStream::connect(target) else {
                return;
            };
            let _ = far.set_nodelay(true);
            let (from_far, to_near) = (far.try_clone().unwrap(), near.try_clone().unwrap());
            let back = shared.clone();
            thread::spawn(move || pump(&back, from_far, to_near));
            pump(&shared, near, far);
        });
        Self { cut, address }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn hang(cut: &AtomicBool, stream: &TcpStream) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
    close(stream);
}

fn pump(cut: &AtomicBool, mut from: TcpStream, mut to: TcpStream) {
    let mut part = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut part).unwrap_or(0);
        if cut.load(Ordering::SeqCst) {
            hang(cut, &to);
            return close(&from);
        }
        if read == 0 || to.write_all(&part[..read]).is_err() {
            close(&to);
            return close(&from);
        }
    }
}

#[derive(Default)]
struct StoreState {
    topics: Mutex<BTreeMap<String, Vec<Record>>>,
    changed: Condvar,
}

/// The platform's store: keyed topics with one partition each, read from and appended to over HTTP.
#[derive(Clone)]
pub struct Store {
    state: Arc<StoreState>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = loopback();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(StoreState::default());
        let shared = state.clone();
        accept(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(Some(request)) = reader.request() {
                let (status, body) = answer(&shared, &request);
                thread::sleep(STORE_TIME);
                if respond(&mut reader.stream, status, "Store-Era: 0\r\n", &body).is_err() {
                    return;
                }
            }
        });
        Self { state, address }
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.state.changed.notify_all();
    }
}

fn answer(state: &StoreState, request: &Message) -> (u16, Vec<u8>) {
    let (path, query) = request.target().split_once('?').unwrap_or_default();
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
    };
    let number = |name: &str| parameter(name).and_then(|it| it.parse::<usize>().ok());
    let topic = parameter("topic").unwrap_or_default();
    match path {
        "/log-newest" => (200, newest(state, &topic)),
        "/log-read" => {
            let (from, wait_ms) = (number("from").unwrap_or(0), number("waitMs").unwrap_or(0));
            read(
                state,
                &topic,
                from,
                wait_ms,
                number("maxKb").unwrap_or(1024) << 10,
            )
        }
        "/log-append" => append(state, &topic, number("asOf"), &request.body),
        _ => (404, vec![]),
    }
}

fn newest(state: &StoreState, topic: &str) -> Vec<u8> {
    let topics = state.topics.lock().unwrap();
    let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (at, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (at, value));
    }
    newest.retain(|_, it| !it.1.is_empty());
    let entries: Vec<_> = newest
        .iter()
        .map(|(key, (at, value))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{at}}}",
                base64(value)
            )
        })
        .collect();
    let entries = entries.join(",");
    format!(
        "{{\"entries\":[{entries}],\"hasMore\":false,\"end\":{}}}",
        records.len()
    )
    .into_bytes()
}

/// Records from an offset on, of at most `max_bytes` together, but at least one.
fn read(state: &StoreState, topic: &str, from: usize, wait_ms: usize, max_bytes: usize) -> (u16, Vec<u8>) {
    let end = Instant::now() + Duration::from_millis(wait_ms as u64);
    let mut topics = state.topics.lock().unwrap();
    loop {
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        if records.len() < from {
            return (410, b"{\"first\":0}".to_vec());
        }
        let left = end.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend(0_u64.to_be_bytes());
            for (index, (key, value)) in records[from..].iter().enumerate() {
                if index > 0 && body.len() + 5 + key.len() + value.len() > max_bytes {
                    break;
                }
                body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend(key.as_bytes());
                body.extend(value);
            }
            return (200, body);
        }
        topics = state.changed.wait_timeout(topics, left).unwrap().0;
    }
}

fn append(state: &StoreState, topic: &str, as_of: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
    let mut topics = state.topics.lock().unwrap();
    let records = topics.entry(topic.to_owned()).or_default();
    let offset = records.len();
    if as_of.is_some_and(|it| it != offset) {
        return (412, format!("{{\"end\":{offset}}}").into_bytes());
    }
    let key = usize::from(body[4]);
    let (key, value) = body[5..].split_at(key);
    records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
    state.changed.notify_all();
    (
        200,
        format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1).into_bytes(),
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

/// An engine that checks in every `HEARTBEAT` and handles each request on a thread of its own.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

/// Interval of the check-ins.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

impl Engine {
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        handle: impl Fn(&str, Message, &mut TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let listener = loopback();
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().unwrap(),
            stopped: Arc::default(),
        };
        let id = engine.id.clone();
        accept(listener, move |stream| {
            let mut reader = Reader::new(stream);
            let Ok(Some(request)) = reader.request() else {
                return;
            };
            let expected = request.header("bronzevale-expect-instance").map(str::to_owned);
            if expected.is_some_and(|it| it != id) {
                let head = format!(
                    "Bronzevale-Instance: {id}\r\nBronzevale-Not-Executed: 1\r\nConnection: close\r\n"
                );
                let _ = respond(&mut reader.stream, 421, &head, b"");
                return;
            }
            handle(&id, request, &mut reader.stream);
        });
        let (beating, store) = (engine.clone(), store.clone());
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis();
        thread::spawn(move || {
            for seq in 1.. {
                if beating.stopped.load(Ordering::SeqCst) {
                    return;
                }
                beating.check_in(&store, seq, born);
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    fn check_in(&self, store: &Store, seq: u32, born: u128) {
        let Self {
            id,
            service,
            version,
            address,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"norte-a\",\"version\":\"{version}\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        store.put("keyed.servers", id, &entry);
    }
}

/// Head of the responses of an engine.
pub fn receipt(engine: &str, request: &Message) -> String {
    let id = request.header("bronzevale-attempt-id").unwrap_or_default();
    format!("Bronzevale-Attempt-Id: {id}\r\nBronzevale-Engine-Signature: {engine}.{id}\r\n")
}

/// Whether the peer of a connection has closed it; waits for up to `time`.
pub fn is_closed_within(stream: &mut TcpStream, time: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    match stream.read(&mut [0]) {
        Ok(read) => read == 0,
        Err(err) => !matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}

/// A node: the program of the deploy file as a process of its own.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    child: Child,
    settings: PathBuf,
}

/// Ports that are free at some addresses of this machine.
fn free_ports(ips: &[IpAddr], count: usize) -> Vec<u16> {
    let mut ports = vec![];
    let is_free = |port: u16| {
        ips.iter()
            .all(|it| TcpListener::bind((*it, port)).is_ok() && UdpSocket::bind((*it, port)).is_ok())
    };
    while ports.len() < count {
        let port = TcpListener::bind((ips[0], 0))
            .unwrap()
            .local_addr()
            .unwrap()
            .port();
        if !ports.contains(&port) && is_free(port) {
            ports.push(port);
        }
    }
    ports
}

/// Starts nodes with the settings of `deploy/node.ini`, each at a loopback address of its own.
pub fn start_nodes(count: u8, store: SocketAddr, folder: &Path) -> Vec<Node> {
    let ips: Vec<IpAddr> = (1..=count)
        .map(|it| IpAddr::V4(Ipv4Addr::new(127, 60, 0, it)))
        .collect();
    let ports = free_ports(&ips, 5);
    let seeds: Vec<_> = ips
        .iter()
        .map(|it| SocketAddr::new(*it, ports[3]).to_string())
        .collect();
    let seeds = seeds.join(",");
    let nodes = ips.iter().enumerate().map(|(index, ip)| {
        let name = format!("edge-norte-a-{}", index + 1);
        let address = |it: usize| SocketAddr::new(*ip, ports[it]);
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[node]\nhost = {name}\nfailure_domain = norte-a\nregion = pt-norte\ncores = 1\nmemory_mb = 110\n\
             descriptors = 4100\nfirst_start = true\n\n\
             [listen]\nentry = {}\nready = {}\ndirectory = {}\ncontrol = {}\ngossip = {}\nseeds = {seeds}\n\n\
             [store]\naddress = {store}\nheartbeat_ms = 1200\n\n\
             [bounds]\nconfig_ms = 2000\nrevocation_ms = 5000\nstrict_revocation = true\ndrain_ms = 2000\n\
             grace_seconds = 8\nretry_ratio = 0.9\nretry_slack = 56\nretry_window_seconds = 10\n\
             session_seconds = 5\nexposure_share = 0.15\nexposure_slack = 30\n",
            address(0),
            address(1),
            address(2),
            address(3),
            address(4),
        );
        fs::write(&settings, text).expect("the settings can be written");
        Node {
            front: address(0),
            ready: address(1),
            control: address(3),
            child: spawn(&settings, &name),
            name,
            settings,
        }
    });
    nodes.collect()
}

fn spawn(settings: &Path, name: &str) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_file_name(format!("{name}.log")))
        .unwrap();
    Command::new("target/release/bronzevaled")
        .arg("--config")
        .arg(settings)
        .env("BRONZEVALE_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the node can be started; run the build of deploy/system.toml first")
}

impl Node {
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok() && Reader::new(stream).response().is_ok_and(|it| it.status() == 200)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
    }

    /// Starts the node again, at the same addresses.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.name);
    }

    /// Whether the process has ended, and how.
    pub fn exit(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|it| it.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds; `false` if it does not within the time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Ends both directions of a connection.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Exit codes of the scripts.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|it| it == "0")
}
