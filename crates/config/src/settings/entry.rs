//! Settings of an entry node that forwards requests to the engines of a platform.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Domain, Host, Name};

use super::fault::Faults;
use super::reader::Reader;

/// Identity of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Name of the host, unique in the fleet.
    pub host: Host,
    /// Failure domain of the host.
    pub failure_domain: Domain,
    /// Region of the failure domain.
    pub region: Name,
    /// Processor cores that the process may use.
    pub cores: usize,
}

/// Addresses that the node listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Callers.
    pub entry: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// Callers that ask for entry addresses.
    pub directory: SocketAddr,
    /// Metrics and the node's state, for operators.
    pub control: SocketAddr,
    /// Datagrams between nodes.
    pub gossip: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Store {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Time between two readings of the list of engines.
    pub engine_poll: Duration,
    /// Longest wait of one reading of the configuration for a change.
    pub config_wait: Duration,
    /// Time between two renewals of an engine's entry.
    pub heartbeat: Duration,
}

/// Bounds that the operators state.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time within which a new configuration must be in force.
    pub config: Duration,
    /// Age of the configuration from which keys are not trusted any more.
    pub revocation: Duration,
    /// Whether requests with a key are refused when the configuration is older.
    pub strict_revocation: bool,
    /// Time after which an engine that is about to stop must get no new work.
    pub drain: Duration,
    /// Time between the request to stop and the end of the process.
    pub grace: Duration,
    /// Time for which callers may keep an answer with entry addresses.
    pub entry_lifetime: Duration,
    /// Repeated arrivals at a service for each request.
    pub retry_ratio: f64,
    /// Repeated arrivals that each window allows besides.
    pub retry_slack: f64,
    /// Window of the two bounds on repeated arrivals.
    pub retry_window: Duration,
    /// Time within which requests of a session follow each other.
    pub session: Duration,
}

/// All settings of an entry node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Section `node`.
    pub node: Node,
    /// Section `listen`.
    pub listen: Listen,
    /// Addresses of other nodes for datagrams, key `seeds` of the section `listen`.
    pub seeds: Vec<SocketAddr>,
    /// Section `store`.
    pub store: Store,
    /// Section `bounds`.
    pub bounds: Bounds,
}

/// Section whose presence tells these settings from those of [`super::Settings`].
const SECTION: &str = "[store]";

impl Settings {
    /// Whether INI text is meant for this kind of node.
    pub fn recognises(text: &str) -> bool {
        text.lines().any(|it| it.trim() == SECTION)
    }

    /// Parses and checks INI text; `file` names it in faults.
    ///
    /// # Errors
    /// Every fault in the text, as [`super::Settings::parse`] reports them.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        super::parse(file, text, read, check)
    }
}

fn read(reader: &mut Reader<'_>) -> Option<Settings> {
    let node = node(reader);
    let listen = listen(reader);
    let seeds = reader.addresses("listen", "seeds");
    let bounds = bounds(reader);
    let store = store(reader, bounds.as_ref());
    let listen = listen?;
    // The platform lists the addresses for operators; datagrams have the same port on all hosts.
    let gossip_port = listen.gossip.port();
    let seeds = seeds?
        .into_iter()
        .map(|it| SocketAddr::new(it.ip(), gossip_port))
        .filter(|it| *it != listen.gossip)
        .collect();
    Some(Settings {
        node: node?,
        listen,
        seeds,
        store: store?,
        bounds: bounds?,
    })
}

fn node(reader: &mut Reader<'_>) -> Option<Node> {
    let host = reader.name("node", "host");
    let failure_domain = reader.name("node", "failure_domain");
    let region = reader.name("node", "region");
    let cores = reader.count("node", "cores", 1..=256, 1);
    Some(Node {
        host: host?,
        failure_domain: failure_domain?,
        region: region?,
        cores: cores?,
    })
}

fn listen(reader: &mut Reader<'_>) -> Option<Listen> {
    let entry = reader.address("listen", "entry");
    let ready = reader.address("listen", "ready");
    let directory = reader.address("listen", "directory");
    let control = reader.address("listen", "control");
    let gossip = reader.address("listen", "gossip");
    Some(Listen {
        entry: entry?,
        ready: ready?,
        directory: directory?,
        control: control?,
        gossip: gossip?,
    })
}

/// Part of the bound on an engine that stops after which the list of engines is read again. A node that learns of it
/// from another one adds at most the same; the rest covers slow answers and the way of a request.
const ENGINE_POLL_PART: f64 = 0.4;

/// Part of the bound on a new configuration that one reading waits, so that the age stays below the bound also on a
/// node that learns of it from another one.
const CONFIG_WAIT_PART: f64 = 0.55;

/// Part of the trust in keys that one reading waits; an outage then leaves as much time until keys are refused.
const REVOCATION_WAIT_PART: f64 = 0.4;

/// Reads the section; times that are not set follow from the bounds.
fn store(reader: &mut Reader<'_>, bounds: Option<&Bounds>) -> Option<Store> {
    let address = reader.address("store", "address");
    let heartbeat = reader.fractional_millis("store", "heartbeat_ms", 10..=600_000, 1_000);
    let engine_poll = reader.millis("store", "engine_poll_ms", 50..=60_000, 50);
    let config_wait = reader.millis("store", "config_wait_ms", 50..=30_000, 50);
    let bounds = bounds?;
    let derived_wait = bounds
        .config
        .mul_f64(CONFIG_WAIT_PART)
        .min(bounds.revocation.mul_f64(REVOCATION_WAIT_PART));
    let derived_poll = bounds.drain.mul_f64(ENGINE_POLL_PART);
    let or = |key, set: Duration, derived: Duration| {
        if reader.is_set("store", key) {
            set
        } else {
            derived.max(set)
        }
    };
    Some(Store {
        address: address?,
        engine_poll: or("engine_poll_ms", engine_poll?, derived_poll),
        config_wait: or("config_wait_ms", config_wait?, derived_wait),
        heartbeat: heartbeat?,
    })
}

/// The platform states these figures as whole numbers or fractions.
fn bounds(reader: &mut Reader<'_>) -> Option<Bounds> {
    let config = reader.fractional_millis("bounds", "config_ms", 1..=600_000, 2_000);
    let revocation = reader.fractional_millis("bounds", "revocation_ms", 1..=3_600_000, 5_000);
    let strict = reader.flag("bounds", "strict_revocation");
    let drain = reader.fractional_millis("bounds", "drain_ms", 1..=600_000, 2_000);
    let grace = reader.fractional_seconds("bounds", "grace_seconds", 1..=86_400, 8);
    let lifetime = reader.fractional_seconds("bounds", "entry_lifetime_seconds", 1..=3_600, 1);
    let ratio = reader.fraction("bounds", "retry_ratio");
    let slack = reader.fraction("bounds", "retry_slack");
    let window = reader.fractional_seconds("bounds", "retry_window_seconds", 1..=3_600, 10);
    let session = reader.fractional_seconds("bounds", "session_seconds", 0..=3_600, 5);
    Some(Bounds {
        config: config?,
        revocation: revocation?,
        strict_revocation: strict?,
        drain: drain?,
        grace: grace?,
        entry_lifetime: lifetime?,
        retry_ratio: ratio?,
        retry_slack: slack?,
        retry_window: window?,
        session: session?,
    })
}

fn check(settings: &Settings, reader: &mut Reader<'_>) {
    let Settings { store, bounds, .. } = settings;
    // A reading that waits longer than the bound leaves keys untrusted between two readings.
    if bounds.strict_revocation && store.config_wait >= bounds.revocation {
        reader.contradiction("store", "config_wait_ms", "bounds.revocation_ms");
    }
    // Callers use an answer for up to three times its lifetime; the process must still take their requests.
    let lifetime_is_set = reader.is_set("bounds", "entry_lifetime_seconds");
    if lifetime_is_set && bounds.entry_lifetime * 3 >= bounds.grace {
        reader.contradiction("bounds", "entry_lifetime_seconds", "bounds.grace_seconds");
    }
}
