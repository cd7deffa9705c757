//! A running cluster: nodes and fakes of the external services.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::settings::Settings;
use eyre::{Result, WrapErr, bail};
use node::{Handle, Ports, Secrets, StopOutcome};
use ports::hosts::{Entry, State};
use ports::log::Log as _;
use standin::{Engine, Hosts, Log, Rating, Service, Weights};

use crate::log_link::{LinkState, LogLink};
use crate::sample;

/// Number of nodes that [`Cluster::start`] starts, and number of failure domains.
pub const NODE_COUNT: u16 = 3;

/// Pool of the entry hosts in the host list.
const ENTRY_POOL: &str = "entry";

/// Maximum time until all nodes have the configuration and know each other.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Configuration of a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Caller port of the first node; the other nodes use the ports after it. 0 selects free ports.
    pub first_port: u16,
    /// Number of engines, spread over the failure domains.
    pub engines: u16,
    /// Configuration of each engine.
    pub engine: standin::engine::Options,
    /// Number of instances of the service `stock`.
    pub services: u16,
    /// Lines appended to the settings file of each node.
    pub extra_settings: String,
    /// Bearer key for operator requests; without it, nodes accept them from loopback addresses only.
    pub admin_key: Option<String>,
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
            extra_settings: String::new(),
            admin_key: None,
        }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Fake of the log service.
    pub log: Log,
    /// Fake of the host list.
    pub hosts: Hosts,
    /// Fakes of the engines.
    pub engines: Vec<Engine>,
    /// Fakes of the instances of the service `stock`.
    pub services: Vec<Service>,
    /// Fake of the rating service.
    pub rating: Rating,
    /// Fake of the weight store.
    pub weights: Weights,
    /// Nodes that were neither stopped nor killed, in the order of their start.
    pub nodes: Vec<Handle>,
    /// Connection to the log service of each node ever started, in the order of their start.
    log_links: Vec<Arc<LogLink>>,
    /// Entries of the host list.
    host_entries: Vec<Entry>,
}

impl Cluster {
    /// Starts the fakes, publishes the configuration of [`sample`], starts [`NODE_COUNT`] nodes and waits
    /// until they are ready.
    ///
    /// # Errors
    /// An address cannot be bound, the configuration cannot be published, a node does not start, or the nodes
    /// are not ready in time.
    pub fn start(options: &Options) -> Result<Self> {
        let mut cluster = Self::start_fakes(options)?;
        cluster.publish(&sample::initial_payload())?;
        for _ in 0..NODE_COUNT {
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
        let index = self.log_links.len();
        let node = self.start_node(options, index)?;
        self.host_entries.push(Entry {
            name: format!("node-{index}").into(),
            pool: ENTRY_POOL.into(),
            address: node.gossip_address(),
            domain: failure_domain(index).into(),
            state: State::Live,
        });
        self.hosts.set_entries(self.host_entries.clone());
        self.nodes.push(node);
        Ok(())
    }

    /// Stops a node as if its process had been killed. The host list keeps its entry, and the indices of
    /// later nodes in [`Cluster::nodes`] shift by one.
    pub fn kill(&mut self, index: usize) {
        self.nodes.remove(index).kill();
    }

    /// Interrupts or restores the connection of a node to the log service. `start_index` counts all nodes
    /// ever started, from zero, so that it does not shift when nodes are removed.
    pub fn set_log_link(&self, start_index: usize, state: LinkState) {
        self.log_links[start_index].set_state(state);
    }

    /// Caller API addresses of the nodes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Handle::address).collect()
    }

    /// Appends a payload to the log stream of the configuration.
    ///
    /// # Errors
    /// The append to the log failed.
    pub fn publish(&self, payload: &[u8]) -> Result<()> {
        self.log_client()
            .append(config::STREAM, &[payload.to_vec()])
            .wrap_err("cannot append to the configuration log")?;
        Ok(())
    }

    /// Creates a client of the log service.
    pub fn log_client(&self) -> ports::http::log::Client {
        let timeout = Duration::from_secs(2);
        ports::http::log::Client::new(self.log.address(), timeout, timeout)
    }

    /// Stops all nodes gracefully and concurrently, and returns the outcomes.
    pub fn stop(self) -> Vec<StopOutcome> {
        let threads = self.nodes.into_iter().map(|it| std::thread::spawn(|| it.stop()));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().filter_map(|it| it.join().ok()).collect()
    }

    fn start_fakes(options: &Options) -> Result<Self> {
        let engines: Result<Vec<_>, _> = (0..options.engines)
            .map(|_| Engine::bind(any_port(), options.engine.clone()))
            .collect();
        let engines = engines?;
        let services: Result<Vec<_>, _> = (0..options.services)
            .map(|_| Service::bind(any_port(), standin::service::Options::default()))
            .collect();
        let services = services?;
        let mut host_entries = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            host_entries.push(host_entry(sample::ENGINE_POOL, "engine", index, engine.address()));
        }
        for (index, service) in services.iter().enumerate() {
            host_entries.push(host_entry(
                sample::SERVICE_POOL,
                "service",
                index,
                service.address(),
            ));
        }
        let lag = Duration::ZERO;
        Ok(Self {
            log: Log::bind(any_port(), standin::log::Options::default())?,
            hosts: Hosts::bind(
                any_port(),
                standin::hosts::Options {
                    entries: host_entries.clone(),
                    lag,
                },
            )?,
            host_entries,
            engines,
            services,
            rating: Rating::bind(any_port(), standin::rating::Options::default())?,
            weights: Weights::bind(any_port(), standin::weights::Options::default())?,
            nodes: Vec::new(),
            log_links: Vec::new(),
        })
    }

    fn start_node(&mut self, options: &Options, index: usize) -> Result<Handle> {
        let port = match options.first_port {
            0 => 0,
            first => first + u16::try_from(index)?,
        };
        // The key files named here are never read, because the keys come from `secrets`.
        let text = format!(
            "[node]\nhost = node-{index}\nfailure_domain = {}\n\
             entry = 127.0.0.1:{port}\npeer = 127.0.0.1:0\ngossip = 127.0.0.1:0\n\
             [keys]\nsession_file = session\ncluster_file = cluster\n\
             [platform]\nlog = {}\nhosts = {}\nrating = {}\nweights = {}\n{}",
            failure_domain(index),
            self.log.address(),
            self.hosts.address(),
            self.rating.address(),
            self.weights.address(),
            options.extra_settings,
        );
        let settings = Settings::parse("demo", &text)?;
        let mut ports = Ports::connect(&settings);
        let link = Arc::new(LogLink::new(Arc::clone(&ports.log)));
        self.log_links.push(Arc::clone(&link));
        ports.log = link;
        let secrets = Secrets {
            admin: options.admin_key.clone(),
            ..secrets()
        };
        Ok(node::spawn(settings, secrets, ports)?)
    }

    fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let ready = |it: &Handle| it.is_ready() && it.members() == usize::from(NODE_COUNT);
        while !self.nodes.iter().all(ready) {
            if Instant::now() >= deadline {
                bail!("the nodes did not become ready within {READY_TIMEOUT:?}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn failure_domain(index: usize) -> String {
    format!("domain-{}", index % usize::from(NODE_COUNT))
}

fn host_entry(pool: &str, name: &str, index: usize, address: SocketAddr) -> Entry {
    Entry {
        name: format!("{name}-{index}").into(),
        pool: pool.into(),
        address,
        domain: failure_domain(index).into(),
        state: State::Live,
    }
}

/// Fixed keys. They need not be secret, since the cluster exists for one run of the process and holds no user
/// data.
fn secrets() -> Secrets {
    Secrets {
        session: b"demo session key".to_vec(),
        previous_session: None,
        cluster: b"demo cluster key".to_vec(),
        admin: None,
    }
}
