//! Stand-ins and nodes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::settings::Settings;
use eyre::{Result, WrapErr, bail};
use node::{Handle, Ports, Secrets, StopOutcome};
use ports::hosts::{Entry, State};
use ports::log::Log as _;
use standin::{Engine, Hosts, Log, Rating, Service, Weights};

use crate::link::{self, Link};
use crate::sample;

/// Number of nodes.
pub const NODES: u16 = 3;

/// Pool of the entry hosts in the host list.
const ENTRY_POOL: &str = "entry";

/// Greatest wait for the nodes to take over the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Port of the first node, the others follow; zero picks free ports.
    pub first_port: u16,
    /// Number of engines, spread over the failure domains.
    pub engines: u16,
    /// Settings of each engine.
    pub engine: standin::engine::Options,
    /// Number of instances of the service `stock`.
    pub services: u16,
    /// Lines that are added to the settings of each node.
    pub extra: String,
    /// Bearer key of operators.
    pub admin: Option<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            first_port: 0,
            engines: 3,
            engine: standin::engine::Options {
                versions: sample::VERSIONS.map(ToOwned::to_owned).to_vec(),
                ..standin::engine::Options::default()
            },
            services: 1,
            extra: String::new(),
            admin: None,
        }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Log service.
    pub log: Log,
    /// Host list.
    pub hosts: Hosts,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Instances of the service `stock`.
    pub services: Vec<Service>,
    /// Rating service.
    pub rating: Rating,
    /// Weight store.
    pub weights: Weights,
    /// Nodes that were not stopped.
    pub nodes: Vec<Handle>,
    /// Whether each node that was ever started can reach the log.
    links: Vec<Arc<Link>>,
    /// What the host list shows.
    entries: Vec<Entry>,
}

impl Cluster {
    /// Starts the stand-ins, publishes the sample configuration and starts the nodes.
    ///
    /// # Errors
    /// An address is not available, or the nodes are not ready in time.
    pub fn start(options: &Options) -> Result<Self> {
        let mut cluster = Self::platform(options)?;
        cluster.publish(&sample::payload())?;
        for _ in 0..NODES {
            cluster.add_node(options)?;
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Starts another node and adds it to the host list.
    ///
    /// # Errors
    /// The node does not start.
    pub fn add_node(&mut self, options: &Options) -> Result<()> {
        let index = self.links.len();
        let node = self.node(options, index)?;
        self.entries.push(Entry {
            name: format!("node-{index}").into(),
            pool: ENTRY_POOL.into(),
            address: node.gossip_address(),
            domain: domain(index).into(),
            state: State::Live,
        });
        self.hosts.set_entries(self.entries.clone());
        self.nodes.push(node);
        Ok(())
    }

    /// Ends a node without a planned stop; the host list goes on showing it.
    pub fn kill(&mut self, index: usize) {
        self.nodes.remove(index).kill();
    }

    /// Cuts a node off from the log or connects it again; the number is that of its start, from zero.
    pub fn link(&self, index: usize, state: link::State) {
        self.links[index].set(state);
    }

    /// Addresses of the nodes for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Handle::address).collect()
    }

    /// Appends a payload to the configuration log.
    ///
    /// # Errors
    /// The log service failed.
    pub fn publish(&self, payload: &[u8]) -> Result<()> {
        self.log_client()
            .append(config::STREAM, &[payload.to_vec()])
            .wrap_err("cannot publish")?;
        Ok(())
    }

    /// A client of the log service.
    pub fn log_client(&self) -> ports::http::log::Client {
        let timeout = Duration::from_secs(2);
        ports::http::log::Client::new(self.log.address(), timeout, timeout)
    }

    /// Stops all nodes gracefully and returns how each stopped.
    pub fn stop(self) -> Vec<StopOutcome> {
        let stops = self.nodes.into_iter().map(|it| std::thread::spawn(|| it.stop()));
        let stops: Vec<_> = stops.collect();
        stops.into_iter().filter_map(|it| it.join().ok()).collect()
    }

    fn platform(options: &Options) -> Result<Self> {
        let engines: Result<Vec<_>, _> = (0..options.engines)
            .map(|_| Engine::bind(any(), options.engine.clone()))
            .collect();
        let engines = engines?;
        let services: Result<Vec<_>, _> = (0..options.services)
            .map(|_| Service::bind(any(), standin::service::Options::default()))
            .collect();
        let services = services?;
        let mut entries = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            entries.push(entry(sample::ENGINES, "engine", index, engine.address()));
        }
        for (index, service) in services.iter().enumerate() {
            entries.push(entry(sample::SERVICES, "service", index, service.address()));
        }
        let lag = Duration::ZERO;
        Ok(Self {
            log: Log::bind(any(), standin::log::Options::default())?,
            hosts: Hosts::bind(
                any(),
                standin::hosts::Options {
                    entries: entries.clone(),
                    lag,
                },
            )?,
            entries,
            engines,
            services,
            rating: Rating::bind(any(), standin::rating::Options::default())?,
            weights: Weights::bind(any(), standin::weights::Options::default())?,
            nodes: Vec::new(),
            links: Vec::new(),
        })
    }

    fn node(&mut self, options: &Options, index: usize) -> Result<Handle> {
        let port = match options.first_port {
            0 => 0,
            first => first + u16::try_from(index)?,
        };
        // The keys come from `secrets`, so the named files are never read.
        let text = format!(
            "[node]\nhost = node-{index}\nfailure_domain = {}\n\
             entry = 127.0.0.1:{port}\npeer = 127.0.0.1:0\ngossip = 127.0.0.1:0\n\
             [keys]\nsession_file = session\ncluster_file = cluster\n\
             [platform]\nlog = {}\nhosts = {}\nrating = {}\nweights = {}\n{}",
            domain(index),
            self.log.address(),
            self.hosts.address(),
            self.rating.address(),
            self.weights.address(),
            options.extra,
        );
        let settings = Settings::parse("demo", &text)?;
        let mut ports = Ports::connect(&settings);
        let link = Arc::new(Link::new(Arc::clone(&ports.log)));
        self.links.push(Arc::clone(&link));
        ports.log = link;
        let secrets = Secrets {
            admin: options.admin.clone(),
            ..secrets()
        };
        Ok(node::spawn(settings, secrets, ports)?)
    }

    fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        let ready = |it: &Handle| it.is_ready() && it.members() == usize::from(NODES);
        while !self.nodes.iter().all(ready) {
            if Instant::now() >= end {
                bail!("the nodes are not ready after {READY_TIMEOUT:?}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % usize::from(NODES))
}

fn entry(pool: &str, name: &str, index: usize, address: SocketAddr) -> Entry {
    Entry {
        name: format!("{name}-{index}").into(),
        pool: pool.into(),
        address,
        domain: domain(index).into(),
        state: State::Live,
    }
}

/// Keys of a cluster that exists for one process run and holds no data of anyone.
fn secrets() -> Secrets {
    Secrets {
        session: b"demo session key".to_vec(),
        previous_session: None,
        cluster: b"demo cluster key".to_vec(),
        admin: None,
    }
}
