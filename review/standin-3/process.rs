//! Servers that are processes of their own, so that a crash is one.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use crate::address;
use crate::record::Record;
use crate::server::register;
use crate::store::Store;

/// Three check-in intervals, after which the store removes an entry.
const LAPSE: Duration = Duration::from_millis(3600);

/// The servers of a service.
pub struct Servers {
    mode: &'static str,
    service: &'static str,
    port: u16,
    store: Store,
    record: Arc<Record>,
    running: Vec<Server>,
    runs: usize,
    lines: (Sender<(usize, String)>, Receiver<(usize, String)>),
}

struct Server {
    child: Child,
    is_listed: Arc<AtomicBool>,
}

impl Servers {
    /// Starts `count` processes of this program with a mode; they write to standard output what they do.
    pub fn start(
        mode: &'static str,
        service: &'static str,
        count: usize,
        port: u16,
        store: &Store,
        record: &Arc<Record>,
    ) -> Self {
        let mut servers = Self {
            mode,
            service,
            port,
            store: store.clone(),
            record: record.clone(),
            running: vec![],
            runs: 0,
            lines: mpsc::channel(),
        };
        for index in 0..count {
            let server = servers.start_one(index);
            servers.running.push(server);
        }
        servers
    }

    fn start_one(&mut self, index: usize) -> Server {
        self.runs += 1;
        let (id, at) = (format!("i-{index}-{}", self.runs), address(10 + index, self.port));
        let child = Command::new(std::env::current_exe().unwrap())
            .args([self.mode, &at.to_string(), &id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.unwrap();
        crate::note(&child);
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let (sender, record) = (self.lines.0.clone(), self.record.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line_at(Instant::now(), &format!("server {index}: {line}"));
                let _ = sender.send((index, line));
            }
        });
        thread::sleep(Duration::from_millis(100));
        let is_listed = Arc::new(AtomicBool::new(true));
        let listed = is_listed.clone();
        let (store, service) = (self.store.clone(), self.service.to_owned());
        register(store, id, service, at, "v1".into(), move || {
            listed.load(Ordering::SeqCst).then_some("ready")
        });
        Server { child, is_listed }
    }

    /// Forgets what the servers wrote so far.
    pub fn skip_lines(&self) {
        while self.lines.1.try_recv().is_ok() {}
    }

    /// Waits for a line of any server.
    pub fn wait_for(&self, is_wanted: impl Fn(&str) -> bool) -> Option<usize> {
        loop {
            let (index, line) = self.lines.1.recv_timeout(Duration::from_secs(4)).ok()?;
            if is_wanted(&line) {
                return Some(index);
            }
        }
    }

    /// SIGKILL.
    pub fn crash(&mut self, index: usize) {
        self.running[index].crash();
    }

    /// Starts the servers that crashed again, under other ids, and waits until the old entries are gone.
    pub fn restore(&mut self, crashed: &[usize]) {
        thread::sleep(LAPSE);
        for index in crashed {
            let server = self.start_one(*index);
            self.running[*index] = server;
        }
        thread::sleep(Duration::from_secs(2));
    }
}

impl Server {
    fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::forget(&self.child);
        let is_listed = self.is_listed.clone();
        thread::spawn(move || {
            thread::sleep(LAPSE);
            is_listed.store(false, Ordering::SeqCst);
        });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}
