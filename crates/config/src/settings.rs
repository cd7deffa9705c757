//! Settings of a node, read from INI text.
//!
//! The text is validated as a whole: [`Settings::parse`] returns all errors at once, so that an operator can
//! correct them before the next start. Secrets are not part of the text; it names the files that hold them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ini::Ini;
use model::{Domain, Host};

pub mod entry;
mod error;
mod http;
mod reader;
#[cfg(test)]
mod tests;

pub use error::{ErrorCause, SettingsError, SettingsErrors};
pub use http::Http;
use reader::Reader;

/// Identity and addresses of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Name of the host, unique in the cluster.
    pub host: Host,
    /// Failure domain of the host.
    pub failure_domain: Domain,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for calls from other nodes (TCP).
    pub peer: SocketAddr,
    /// Address for membership datagrams (UDP).
    pub gossip: SocketAddr,
    /// Membership addresses of other nodes, used at start in addition to the host list.
    pub seeds: Vec<SocketAddr>,
}

/// Files that hold keys. They are reloaded when they change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    /// Key that signs session tokens, the same on all nodes.
    pub session: PathBuf,
    /// Previous session key, still accepted during a key rotation.
    pub previous_session: Option<PathBuf>,
    /// Key that authenticates messages between nodes.
    pub cluster: PathBuf,
    /// Bearer key of operators. Without it, only loopback addresses may use `/admin`.
    pub admin: Option<PathBuf>,
}

/// Addresses of platform services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// Host list.
    pub hosts: SocketAddr,
    /// Rating service. Without it, answers are not rated.
    pub rating: Option<SocketAddr>,
    /// Weight store. Without it, engines are not told to load a version.
    pub weights: Option<SocketAddr>,
}

/// Time-outs for upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Until a connection is established.
    pub connect_timeout: Duration,
    /// Until the first token.
    pub first_token_timeout: Duration,
    /// Between tokens.
    pub progress_timeout: Duration,
    /// For a call to a plain service.
    pub service_timeout: Duration,
}

/// Default deadlines of requests that do not state one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deadlines {
    /// Class `interactive`.
    pub interactive: Duration,
    /// Class `transaction`.
    pub transaction: Duration,
    /// Class `standard`.
    pub standard: Duration,
    /// Class `batch`.
    pub batch: Duration,
}

/// Replication of the configuration log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Interval between reads of the log.
    pub poll: Duration,
    /// Age of the configuration above which model requests are refused even if peers are reachable; zero
    /// disables the limit.
    pub max_staleness: Duration,
}

/// Billing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Billing {
    /// Maximum number of this node's records that are not in the log yet.
    pub max_pending_records: usize,
    /// Maximum wait for the holders of a batch before the last part of an answer is sent.
    pub hold_timeout: Duration,
}

/// Graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Time for which callers may cache a list of entry addresses.
    pub entry_lifetime: Duration,
    /// Maximum time for the whole shutdown.
    pub drain_timeout: Duration,
}

/// TLS for connections from callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain in PEM.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub private_key: PathBuf,
}

/// All settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Section `node`.
    pub node: Node,
    /// Section `keys`.
    pub keys: Keys,
    /// Section `platform`.
    pub platform: Platform,
    /// Section `http`.
    pub http: Http,
    /// Section `upstream`.
    pub upstream: Upstream,
    /// Section `deadlines`.
    pub deadlines: Deadlines,
    /// Section `config`.
    pub config: Config,
    /// Section `billing`.
    pub billing: Billing,
    /// Section `stop`.
    pub stop: Stop,
    /// Section `tls`. If it is absent, callers connect without TLS.
    pub tls: Option<Tls>,
}

/// One hour at 28.5 requests/s, the peak load of one of 340 nodes.
const DEFAULT_MAX_PENDING_RECORDS: usize = 110_000;

impl Settings {
    /// Parses and validates INI text; `file` is the file name shown in errors.
    ///
    /// # Errors
    /// All errors in the text: syntax errors, unknown or duplicate keys, missing or malformed values, values
    /// out of range, and values that conflict with one another.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        parse(file, text, read, check)
    }
}

/// Parses INI text with the functions for one kind of settings.
fn parse<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&mut Reader<'_>) -> Option<T>,
    check: impl FnOnce(&T, &mut Reader<'_>),
) -> Result<T, SettingsErrors> {
    let ini = Ini::load_from_str(text).map_err(|err| SettingsErrors::syntax(file, &err))?;
    let mut reader = Reader::new(file, &ini);
    let settings = read(&mut reader);
    if let Some(it) = &settings {
        check(it, &mut reader);
    }
    let errors = reader.finish();
    match settings {
        Some(it) if errors.is_empty() => Ok(it),
        _ => Err(errors),
    }
}

/// Reads every section even after an error, so that all errors are reported.
fn read(reader: &mut Reader<'_>) -> Option<Settings> {
    let node = node(reader);
    let keys = keys(reader);
    let platform = platform(reader);
    let http = http::read(reader);
    let upstream = upstream(reader);
    let deadlines = deadlines(reader);
    let config = config(reader);
    let billing = billing(reader);
    let stop = stop(reader);
    let tls = tls(reader);
    Some(Settings {
        node: node?,
        keys: keys?,
        platform: platform?,
        http: http?,
        upstream: upstream?,
        deadlines: deadlines?,
        config: config?,
        billing: billing?,
        stop: stop?,
        tls: tls?,
    })
}

fn node(reader: &mut Reader<'_>) -> Option<Node> {
    let host = reader.name("node", "host");
    let failure_domain = reader.name("node", "failure_domain");
    let entry = reader.address("node", "entry");
    let peer = reader.address("node", "peer");
    let gossip = reader.address("node", "gossip");
    let seeds = reader.addresses("node", "seeds");
    Some(Node {
        host: host?,
        failure_domain: failure_domain?,
        entry: entry?,
        peer: peer?,
        gossip: gossip?,
        seeds: seeds?,
    })
}

fn keys(reader: &mut Reader<'_>) -> Option<Keys> {
    let session = reader.path("keys", "session_file");
    let previous_session = reader.optional_path("keys", "previous_session_file");
    let cluster = reader.path("keys", "cluster_file");
    let admin = reader.optional_path("keys", "admin_file");
    Some(Keys {
        session: session?,
        previous_session,
        cluster: cluster?,
        admin,
    })
}

fn platform(reader: &mut Reader<'_>) -> Option<Platform> {
    let log = reader.address("platform", "log");
    let hosts = reader.address("platform", "hosts");
    let rating = reader.optional_address("platform", "rating");
    let weights = reader.optional_address("platform", "weights");
    Some(Platform {
        log: log?,
        hosts: hosts?,
        rating: rating?,
        weights: weights?,
    })
}

fn upstream(reader: &mut Reader<'_>) -> Option<Upstream> {
    let connect = reader.millis("upstream", "connect_timeout_ms", 10..=60_000, 500);
    let first = reader.millis("upstream", "first_token_timeout_ms", 50..=600_000, 10_000);
    let progress = reader.millis("upstream", "progress_timeout_ms", 50..=600_000, 2_000);
    let service = reader.millis("upstream", "service_timeout_ms", 50..=600_000, 5_000);
    Some(Upstream {
        connect_timeout: connect?,
        first_token_timeout: first?,
        progress_timeout: progress?,
        service_timeout: service?,
    })
}

fn deadlines(reader: &mut Reader<'_>) -> Option<Deadlines> {
    let range = 100..=3_600_000;
    let interactive = reader.millis("deadlines", "interactive_ms", range.clone(), 10_000);
    let transaction = reader.millis("deadlines", "transaction_ms", range.clone(), 10_000);
    let standard = reader.millis("deadlines", "standard_ms", range.clone(), 120_000);
    let batch = reader.millis("deadlines", "batch_ms", range, 600_000);
    Some(Deadlines {
        interactive: interactive?,
        transaction: transaction?,
        standard: standard?,
        batch: batch?,
    })
}

fn config(reader: &mut Reader<'_>) -> Option<Config> {
    let poll = reader.millis("config", "poll_ms", 50..=10_000, 1_000);
    let staleness = reader.seconds("config", "max_staleness_seconds", 0..=86_400, 0);
    Some(Config {
        poll: poll?,
        max_staleness: staleness?,
    })
}

fn billing(reader: &mut Reader<'_>) -> Option<Billing> {
    let pending = reader.count(
        "billing",
        "max_pending_records",
        100..=10_000_000,
        DEFAULT_MAX_PENDING_RECORDS,
    );
    let hold = reader.millis("billing", "hold_timeout_ms", 10..=10_000, 250);
    Some(Billing {
        max_pending_records: pending?,
        hold_timeout: hold?,
    })
}

fn stop(reader: &mut Reader<'_>) -> Option<Stop> {
    let lifetime = reader.seconds("stop", "entry_lifetime_seconds", 1..=3_600, 30);
    let drain = reader.seconds("stop", "drain_timeout_seconds", 1..=86_400, 900);
    Some(Stop {
        entry_lifetime: lifetime?,
        drain_timeout: drain?,
    })
}

fn tls(reader: &mut Reader<'_>) -> Option<Option<Tls>> {
    if !reader.has("tls") {
        return Some(None);
    }
    let certificate = reader.path("tls", "certificate_file");
    let private_key = reader.path("tls", "private_key_file");
    Some(Some(Tls {
        certificate: certificate?,
        private_key: private_key?,
    }))
}

/// Reports values that are valid on their own but conflict with one another.
fn check(settings: &Settings, reader: &mut Reader<'_>) {
    let Settings {
        node,
        keys,
        stop,
        upstream,
        ..
    } = settings;
    // Port 0 asks for any free port, so equal addresses with port 0 do not conflict.
    if node.entry == node.peer && node.entry.port() != 0 {
        reader.report_conflict("node", "peer", "node.entry");
    }
    if node.seeds.contains(&node.gossip) {
        reader.report_conflict("node", "seeds", "node.gossip");
    }
    if keys.session == keys.cluster {
        reader.report_conflict("keys", "cluster_file", "keys.session_file");
    }
    // A node that shuts down must keep running until the cached lists of entry addresses that name it expire.
    if stop.drain_timeout <= stop.entry_lifetime {
        reader.report_conflict("stop", "drain_timeout_seconds", "stop.entry_lifetime_seconds");
    }
    if upstream.connect_timeout >= upstream.first_token_timeout {
        reader.report_conflict(
            "upstream",
            "connect_timeout_ms",
            "upstream.first_token_timeout_ms",
        );
    }
}
