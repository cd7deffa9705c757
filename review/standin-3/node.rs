//! Entry nodes as processes, with the template of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The ports of all nodes. Each node has an address of its own.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
    pub peer: u16,
}

pub struct Node {
    pub name: String,
    pub ip: String,
    ports: Ports,
    store: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// The node with a number; it is not started.
    pub fn new(number: usize, ports: Ports, store: SocketAddr, folder: &std::path::Path) -> Self {
        Self {
            name: format!("edge-{number}"),
            ip: format!("127.0.1.{number}"),
            ports,
            store,
            file: folder.join(format!("edge-{number}.ini")),
            child: None,
        }
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    pub fn front(&self) -> SocketAddr {
        self.address(self.ports.front)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(self.ports.control)
    }

    /// Fills in the template of the deploy file.
    pub fn write_settings(&self, seeds: &[SocketAddr], is_first_start: bool) {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let values = [
            ("nodeName", self.name.clone()),
            ("zone", "a".into()),
            ("region", "r".into()),
            ("limits.cores", "1".into()),
            ("limits.memoryMb", "110".into()),
            ("limits.maxFds", "4100".into()),
            ("limits.linkMbps", "1000.0".into()),
            ("bootstrap", is_first_start.to_string()),
            ("listen.front", self.front().to_string()),
            ("listen.ready", self.address(self.ports.ready).to_string()),
            ("listen.directory", self.address(self.ports.directory).to_string()),
            ("listen.control", self.control().to_string()),
            ("ip", self.ip.clone()),
            ("portRange.0", self.ports.peer.to_string()),
            ("seeds", seeds.join(",")),
            ("platform.addr", self.store.to_string()),
            ("heartbeatMs", "1200".into()),
            ("bounds.configMs", "2000".into()),
            ("bounds.revokeMs", "5000".into()),
            ("bounds.strictRevoke", "true".into()),
            ("bounds.drainMs", "2000".into()),
            ("bounds.graceS", "8".into()),
            ("bounds.retryRatio", "0.9".into()),
            ("bounds.retrySlack", "56".into()),
            ("bounds.retryWindowS", "10".into()),
            ("bounds.sessionS", "5".into()),
            ("bounds.exposureShare", "0.15".into()),
            ("bounds.exposureSlack", "30".into()),
        ];
        let mut text = fs::read_to_string("deploy/node.ini").unwrap();
        // A section of one line is kept if its value is among those above.
        let lines: Vec<_> = text
            .lines()
            .filter_map(|line| {
                let Some(rest) = line.strip_prefix("{{#") else {
                    return Some(line.to_owned());
                };
                let (name, rest) = rest.split_once("}}")?;
                let (content, _) = rest.split_once("{{/")?;
                values.iter().any(|it| it.0 == name).then(|| content.to_owned())
            })
            .collect();
        text = lines.join("\n");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a value of the template is missing:\n{text}"
        );
        fs::write(&self.file, text).unwrap();
    }

    /// Starts the program of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").unwrap();
        let run = deploy.lines().find_map(|it| it.strip_prefix("run = \"")).unwrap();
        let mut words = run.trim_end_matches('"').split(' ');
        let mut command = Command::new(words.next().unwrap());
        for word in words {
            match word.starts_with('/') {
                true => command.arg(&self.file),
                false => command.arg(word),
            };
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"))
            .unwrap();
        command
            .env_clear()
            .env("BRONZEVALE_BOOT", &self.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        let child = command.spawn().unwrap();
        crate::note(&child);
        self.child = Some(child);
    }

    /// Waits until the platform's check gets a 200.
    pub fn wait_ready(&self) -> bool {
        let request = format!(
            "GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ip
        );
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let ready = http::call(self.address(self.ports.ready), &request, Duration::from_secs(1));
            if ready.is_some_and(|it| it.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The addresses that the node's directory names.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let request = "GET /resolve?name=app.example&region=r&zone=a HTTP/1.1\r\nHost: dir\r\nConnection: close\r\n\r\n";
        let answer = http::call(
            self.address(self.ports.directory),
            request,
            Duration::from_secs(1),
        );
        let Some(answer) = answer.filter(|it| it.status == 200) else {
            return vec![];
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        text.split('"').filter_map(|it| it.parse().ok()).collect()
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args(["-s", name, &child.id().to_string()])
                .status();
        }
    }

    /// Ends the process at once, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            crate::forget(&child);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
