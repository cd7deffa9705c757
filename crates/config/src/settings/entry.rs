//! Settings of an entry node that forwards requests to the engines of a platform.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Domain, Host, Name};

use super::error::SettingsErrors;
use super::reader::Reader;

/// Identity of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Name of the host, unique in the cluster.
    pub host: Host,
    /// Failure domain of the host.
    pub failure_domain: Domain,
    /// Region of the failure domain.
    pub region: Name,
    /// Number of processor cores that the process may use.
    pub cores: usize,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// File descriptors that the process may have open.
    pub descriptors: usize,
    /// Bytes that the host's link carries a second.
    pub link: u64,
    /// Whether the whole fleet starts for the first time, so that no earlier process has used any limit.
    pub first_start: bool,
}

/// Addresses that the node listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Requests from callers.
    pub entry: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Requests from callers for entry addresses.
    pub directory: SocketAddr,
    /// Metrics and node status, for operators.
    pub control: SocketAddr,
    /// Membership datagrams between nodes.
    pub gossip: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Interval between reads of the list of engines.
    pub engine_poll: Duration,
    /// Maximum time that one read of the configuration waits for a change (long poll).
    pub config_wait: Duration,
    /// Interval at which an engine renews its entry.
    pub heartbeat: Duration,
}

/// Limits set by the operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time within which a new configuration must take effect.
    pub config: Duration,
    /// Age of the configuration above which its keys are no longer trusted.
    pub revocation: Duration,
    /// Whether requests with a key are refused while the configuration is older than `revocation`.
    pub strict_revocation: bool,
    /// Time after which no engine of an evacuated failure domain must get new requests; `None` if the operators do not
    /// evacuate any.
    pub evacuation: Option<Duration>,
    /// Time after which an engine that is about to stop must no longer get new requests.
    pub drain: Duration,
    /// Time between the request to stop and the end of the process.
    pub grace: Duration,
    /// Time for which callers may cache a list of entry addresses.
    pub entry_lifetime: Duration,
    /// Maximum number of retries at a service per request.
    pub retry_ratio: f64,
    /// Number of retries allowed per window in addition.
    pub retry_slack: f64,
    /// Window of the two limits on retries.
    pub retry_window: Duration,
    /// Maximum time between two requests of a session.
    pub session: Duration,
    /// Share of the requests to a service that a bad version may get during its release.
    pub exposure_share: f64,
    /// Requests that a bad version may get beyond that share.
    pub exposure_slack: f64,
    /// Factor by which the requests to a cold engine may exceed its rate in any second, if it is known.
    pub cold_overage: Option<f64>,
    /// Requests beyond that.
    pub cold_slack: Option<f64>,
}

/// Warm-up of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUp {
    /// Whether the rate of engines grows after their start also where the configuration states no cold time.
    pub enabled: bool,
}

/// All settings of an entry node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Section `node`.
    pub node: Node,
    /// Section `listen`.
    pub listen: Listen,
    /// Membership addresses of other nodes: key `seeds` of section `listen`.
    pub seeds: Vec<SocketAddr>,
    /// Section `store`.
    pub store: Store,
    /// Section `bounds`.
    pub bounds: Bounds,
    /// Section `warm_up`, which is optional.
    pub warm_up: WarmUp,
}

/// Section that only these settings have; it distinguishes them from [`super::Settings`].
const SECTION: &str = "[store]";

impl Settings {
    /// Whether INI text holds settings of this kind.
    pub fn recognises(text: &str) -> bool {
        text.lines().any(|it| it.trim() == SECTION)
    }

    /// Parses and validates INI text; `file` is the file name shown in errors.
    ///
    /// # Errors
    /// All errors in the text, as for [`super::Settings::parse`].
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        super::parse(file, text, read, check)
    }
}

fn read(reader: &mut Reader<'_>) -> Option<Settings> {
    let node = node(reader);
    let listen = listen(reader);
    let seeds = reader.addresses("listen", "seeds");
    let bounds = bounds(reader);
    let store = store(reader, bounds.as_ref());
    let enabled = match reader.is_set("warm_up", "enabled") {
        true => reader.flag("warm_up", "enabled"),
        false => Some(false),
    };
    let listen = listen?;
    // The platform lists the addresses of the nodes for operators. The gossip port is the same on all hosts,
    // so it replaces the listed ports.
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
        warm_up: WarmUp { enabled: enabled? },
    })
}

/// Memory of the smallest host that nodes run on.
const DEFAULT_MEMORY_MB: usize = 110;

/// File descriptors of the smallest host that nodes run on.
const DEFAULT_DESCRIPTORS: usize = 4_100;

const BYTES_PER_MB: usize = 1_000_000;

/// Link of the smallest host that nodes run on.
const DEFAULT_LINK_MBPS: u64 = 10;

const BYTES_PER_MEGABIT: f64 = 125_000.0;

fn node(reader: &mut Reader<'_>) -> Option<Node> {
    let host = reader.name("node", "host");
    let failure_domain = reader.name("node", "failure_domain");
    let region = reader.name("node", "region");
    let cores = reader.count("node", "cores", 1..=256, 1);
    let memory_mb = reader.count("node", "memory_mb", 32..=1_000_000, DEFAULT_MEMORY_MB);
    let descriptors = reader.count("node", "descriptors", 500..=10_000_000, DEFAULT_DESCRIPTORS);
    let link_mbps = reader.fractional("node", "link_mbps", 1..=1_000_000, DEFAULT_LINK_MBPS);
    let first_start = match reader.is_set("node", "first_start") {
        true => reader.flag("node", "first_start"),
        false => Some(false),
    };
    Some(Node {
        host: host?,
        failure_domain: failure_domain?,
        region: region?,
        cores: cores?,
        memory: memory_mb? * BYTES_PER_MB,
        descriptors: descriptors?,
        link: (link_mbps? * BYTES_PER_MEGABIT) as u64,
        first_start: first_start?,
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

/// Maximum interval between reads of a topic, as a fraction of the bound within which its changes have to be known. The
/// other parts of the way share the rest.
const MAX_INTERVAL_FRACTION: f64 = 0.6;

/// Interval between reads of the list of engines, as a fraction of [`Bounds::drain`].
const ENGINE_POLL_FRACTION: f64 = 0.4;

/// Maximum wait of one configuration read, as a fraction of [`Bounds::config`].
const CONFIG_WAIT_FRACTION: f64 = 0.55;

/// Maximum wait of one configuration read, as a fraction of [`Bounds::revocation`]. After the start of an
/// outage, at least as much time then remains until keys are refused.
const REVOCATION_WAIT_FRACTION: f64 = 0.4;

/// Maximum wait of one read of the operators' records, as a fraction of [`Bounds::evacuation`]: that of
/// [`ENGINE_POLL_FRACTION`], for the same reason.
const EVACUATION_WAIT_FRACTION: f64 = 0.4;

/// Reads the section `store`. Intervals that are not set are derived from the limits.
fn store(reader: &mut Reader<'_>, bounds: Option<&Bounds>) -> Option<Store> {
    let address = reader.address("store", "address");
    let heartbeat = reader.fractional_millis("store", "heartbeat_ms", 10..=600_000, 1_000);
    let engine_poll = reader.millis("store", "engine_poll_ms", 50..=60_000, 50);
    let config_wait = reader.millis("store", "config_wait_ms", 50..=30_000, 50);
    let bounds = bounds?;
    let derived_wait = bounds
        .config
        .mul_f64(CONFIG_WAIT_FRACTION)
        .min(bounds.revocation.mul_f64(REVOCATION_WAIT_FRACTION));
    let evacuation_wait = bounds.evacuation.map(|it| it.mul_f64(EVACUATION_WAIT_FRACTION));
    let derived_wait = evacuation_wait.map_or(derived_wait, |it| it.min(derived_wait));
    let derived_poll = bounds.drain.mul_f64(ENGINE_POLL_FRACTION);
    let or_derived = |key, set: Duration, derived: Duration| {
        if reader.is_set("store", key) {
            set
        } else {
            derived.max(set)
        }
    };
    Some(Store {
        address: address?,
        engine_poll: or_derived("engine_poll_ms", engine_poll?, derived_poll),
        config_wait: or_derived("config_wait_ms", config_wait?, derived_wait),
        heartbeat: heartbeat?,
    })
}

/// Reads the section `bounds`. The platform writes its values as whole or fractional numbers.
fn bounds(reader: &mut Reader<'_>) -> Option<Bounds> {
    let config = reader.fractional_millis("bounds", "config_ms", 1..=600_000, 2_000);
    let revocation = reader.fractional_millis("bounds", "revocation_ms", 1..=3_600_000, 5_000);
    let strict = reader.flag("bounds", "strict_revocation");
    let evacuation = match reader.is_set("bounds", "evacuation_ms") {
        true => Some(reader.fractional_millis("bounds", "evacuation_ms", 1..=600_000, 5_000)?),
        false => None,
    };
    let drain = reader.fractional_millis("bounds", "drain_ms", 1..=600_000, 2_000);
    let grace = reader.fractional_seconds("bounds", "grace_seconds", 1..=86_400, 8);
    let lifetime = reader.fractional_seconds("bounds", "entry_lifetime_seconds", 1..=3_600, 1);
    let ratio = reader.fraction("bounds", "retry_ratio");
    let slack = reader.fraction("bounds", "retry_slack");
    let window = reader.fractional_seconds("bounds", "retry_window_seconds", 1..=3_600, 10);
    let session = reader.fractional_seconds("bounds", "session_seconds", 0..=3_600, 5);
    let exposure_share = reader.fraction_or("bounds", "exposure_share", 0.15);
    let exposure_slack = reader.fraction_or("bounds", "exposure_slack", 30.0);
    let cold_overage = optional_fraction(reader, "cold_overage");
    let cold_slack = optional_fraction(reader, "cold_slack");
    Some(Bounds {
        config: config?,
        revocation: revocation?,
        strict_revocation: strict?,
        evacuation,
        drain: drain?,
        grace: grace?,
        entry_lifetime: lifetime?,
        retry_ratio: ratio?,
        retry_slack: slack?,
        retry_window: window?,
        session: session?,
        exposure_share: exposure_share?,
        exposure_slack: exposure_slack?,
        cold_overage: cold_overage?,
        cold_slack: cold_slack?,
    })
}

/// Reads a bound that some platforms do not state; the outer `None` is an error.
fn optional_fraction(reader: &mut Reader<'_>, key: &'static str) -> Option<Option<f64>> {
    match reader.is_set("bounds", key) {
        true => reader.fraction("bounds", key).map(Some),
        false => Some(None),
    }
}

fn check(settings: &Settings, reader: &mut Reader<'_>) {
    let Settings { store, bounds, .. } = settings;
    // A change would be known too late although all nodes and the store work.
    let is_too_long = |interval: Duration, bound: Duration| interval > bound.mul_f64(MAX_INTERVAL_FRACTION);
    if is_too_long(store.config_wait, bounds.revocation) {
        reader.report_conflict("store", "config_wait_ms", "bounds.revocation_ms");
    }
    if is_too_long(store.config_wait, bounds.config) {
        reader.report_conflict("store", "config_wait_ms", "bounds.config_ms");
    }
    if bounds
        .evacuation
        .is_some_and(|it| is_too_long(store.config_wait, it))
    {
        reader.report_conflict("store", "config_wait_ms", "bounds.evacuation_ms");
    }
    if is_too_long(store.engine_poll, bounds.drain) {
        reader.report_conflict("store", "engine_poll_ms", "bounds.drain_ms");
    }
    // A slack without the factor is no bound.
    if bounds.cold_slack.is_some() && bounds.cold_overage.is_none() {
        reader.report_conflict("bounds", "cold_slack", "bounds.cold_overage");
    }
    // Callers use a list of entry addresses for up to three times its lifetime, and the process must accept
    // requests until then.
    let lifetime_is_set = reader.is_set("bounds", "entry_lifetime_seconds");
    if lifetime_is_set && bounds.entry_lifetime * 3 >= bounds.grace {
        reader.report_conflict("bounds", "entry_lifetime_seconds", "bounds.grace_seconds");
    }
}
