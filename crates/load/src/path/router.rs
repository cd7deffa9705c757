//! The daemon and the platform around it.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use demo::sample;
use eyre::{Result, WrapErr, bail, eyre};
use ports::hosts::{Entry, State};
use ports::log::Log as _;
use standin::{Engine, Hosts, Log};

/// Engines, with eight places each before any measurement.
const ENGINES: usize = 16;

/// Greatest wait for the daemon.
const READY: Duration = Duration::from_secs(10);

/// A running daemon; dropping it ends the process.
#[derive(Debug)]
pub struct Router {
    engines: Vec<Engine>,
    _platform: (Log, Hosts),
    address: SocketAddr,
    child: Child,
    directory: std::path::PathBuf,
}

impl Router {
    /// Starts the stand-ins, whose answers have `answer_tokens` tokens 20 ms apart, and the daemon.
    pub fn start(answer_tokens: u32) -> Result<Self> {
        let options = standin::engine::Options {
            versions: sample::VERSIONS.map(ToOwned::to_owned).to_vec(),
            concurrency: 64,
            token_interval: Duration::from_millis(20),
            answer_tokens,
            ..standin::engine::Options::default()
        };
        let engines: Result<Vec<_>, _> = (0..ENGINES)
            .map(|_| Engine::bind(any(0), options.clone()))
            .collect();
        let engines = engines?;
        let entry = |(index, engine): (usize, &Engine)| Entry {
            name: format!("engine-{index}").into(),
            pool: sample::ENGINE_POOL.into(),
            address: engine.address(),
            domain: "a".into(),
            state: State::Live,
        };
        let entries = engines.iter().enumerate().map(entry).collect();
        let lag = Duration::ZERO;
        let hosts = Hosts::bind(any(0), standin::hosts::Options { entries, lag })?;
        let log = Log::bind(any(0), standin::log::Options::default())?;
        let client = ports::http::log::Client::new(log.address(), READY, READY);
        client.append(config::STREAM, &[sample::initial_payload()])?;
        let directory = std::env::temp_dir().join(format!("bronzevale-path-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let address = any(free_port()?);
        let child = spawn(&directory, address, &log, &hosts)?;
        let router = Self {
            engines,
            _platform: (log, hosts),
            address,
            child,
            directory,
        };
        router.wait()?;
        Ok(router)
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Addresses of the engines.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(Engine::address).collect()
    }

    /// Processor time used so far, in ticks.
    pub fn ticks(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
        // Fields 14 and 15 of the line; the first after the name is field 3.
        fields
            .skip(11)
            .take(2)
            .filter_map(|it| it.parse::<u64>().ok())
            .sum()
    }

    /// Resident memory in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let number = line.and_then(|it| it.split_whitespace().next());
        number.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    fn wait(&self) -> Result<()> {
        let end = Instant::now() + READY;
        while Instant::now() < end {
            let reply = attohttpc::get(format!("http://{}/readyz", self.address)).send();
            if reply.is_ok_and(|it| it.is_success()) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        bail!("the daemon is not ready")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // Failures leave a process that ends with its stand-ins, and a directory of three small files.
        self.child.kill().ok();
        self.child.wait().ok();
        fs::remove_dir_all(&self.directory).ok();
    }
}

fn spawn(directory: &std::path::Path, address: SocketAddr, log: &Log, hosts: &Hosts) -> Result<Child> {
    let key = |name: &str| -> Result<String> {
        let path = directory.join(name);
        fs::write(&path, "a key for one measurement")?;
        Ok(path.display().to_string())
    };
    let text = format!(
        "[node]\nhost = a\nfailure_domain = a\nentry = {address}\npeer = {}\ngossip = {}\n\
         [keys]\nsession_file = {}\ncluster_file = {}\n[platform]\nlog = {}\nhosts = {}\n",
        any(free_port()?),
        any(free_port()?),
        key("session")?,
        key("cluster")?,
        log.address(),
        hosts.address(),
    );
    let settings = directory.join("node.ini");
    fs::write(&settings, text)?;
    let own = std::env::current_exe()?;
    let program = own
        .parent()
        .ok_or_else(|| eyre!("this program has no directory"))?
        .join("bronzevaled");
    let mut command = Command::new(&program);
    command.arg("--config").arg(settings);
    command
        .spawn()
        .wrap_err("bronzevaled is not beside this program; build it with the same profile")
}

fn free_port() -> Result<u16> {
    Ok(TcpListener::bind(any(0))?.local_addr()?.port())
}

fn any(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
