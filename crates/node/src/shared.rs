//! State shared by all threads of a node.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use config::settings::Settings;
use config::view::{KeyHash, hash_key};
use model::Incarnation;
use policy::cascade::Planner;
use policy::subsetting::DomainMember;
use rand::rngs::{OsRng, SmallRng};
use rand::{Rng, SeedableRng, TryRngCore};
use tokio::runtime::Handle;

use crate::active_config::ActiveConfig;
use crate::billing::BillingBuffer;
use crate::config_log::Channels;
use crate::idempotency::IdempotencyTables;
use crate::latencies::Latencies;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::peers::auth::ClusterKey;
use crate::peers::client::Client;
use crate::phase::{AtomicPhase, Phase};
use crate::ports::Ports;
use crate::ratings::Ratings;
use crate::rollouts::Rollouts;
use crate::secrets::Secrets;
use crate::session::Keys;
use crate::upstreams::PoolRegistry;

/// Interval at which a sleeping thread checks whether the node is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by all threads of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub ports: Ports,
    pub incarnation: Incarnation,
    pub metrics: Metrics,
    pub config: ActiveConfig,
    pub config_channels: Channels,
    pub upstreams: PoolRegistry,
    pub billing: BillingBuffer,
    pub planner: Planner,
    pub ratings: Ratings,
    pub rollouts: Rollouts,
    pub latencies: Latencies,
    pub idempotency: IdempotencyTables,
    pub peers: Peers,
    pub client: Client,
    pub cluster_key: ClusterKey,
    /// Whether the node was terminated without a planned stop.
    pub killed: AtomicBool,
    pub phase: AtomicPhase,
    pub sessions: Keys,
    pub admin_key: Mutex<Option<KeyHash>>,
    /// Number of requests in progress.
    pub open_requests: AtomicUsize,
    /// Time of the last entry answer from this node that contained its own address.
    pub last_advertised_at: Mutex<Option<Instant>>,
    start: Instant,
    next_request: AtomicU64,
    next_seed: AtomicU64,
}

impl Shared {
    /// Creates the state of a starting node.
    pub(crate) fn new(settings: Settings, secrets: &Secrets, ports: Ports, runtime: Handle) -> Self {
        let incarnation = Incarnation::from_bits(OsRng.unwrap_err().random());
        let start = Instant::now();
        let local = DomainMember {
            name: settings.node.host.clone(),
            domain: settings.node.failure_domain.clone(),
        };
        let cluster_key = ClusterKey::new(secrets.cluster.clone());
        let mut rng = SmallRng::from_rng(&mut OsRng.unwrap_err());
        Self {
            idempotency: IdempotencyTables::new(incarnation),
            peers: Peers::new(&settings, incarnation, &mut rng),
            client: Client::new(runtime, cluster_key.clone(), settings.upstream.connect_timeout),
            cluster_key,
            killed: AtomicBool::new(false),
            config_channels: Channels::default(),
            config: ActiveConfig::new(&settings.config),
            sessions: Keys::new(secrets.session_keys()),
            admin_key: Mutex::new(secrets.admin.as_deref().map(hash_key)),
            planner: Planner::new(incarnation),
            ratings: Ratings::default(),
            rollouts: Rollouts::default(),
            latencies: Latencies::default(),
            billing: BillingBuffer::new(
                incarnation,
                settings.node.failure_domain.clone(),
                &settings.billing,
            ),
            upstreams: PoolRegistry::new(local, ports.engines.block_tokens(), start),
            settings,
            ports,
            incarnation,
            metrics: Metrics::new(),
            phase: AtomicPhase::default(),
            open_requests: AtomicUsize::new(0),
            last_advertised_at: Mutex::new(None),
            start,
            next_request: AtomicU64::new(0),
            next_seed: AtomicU64::new(OsRng.unwrap_err().random()),
        }
    }

    /// Time since the node started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether callers may be directed to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.upstreams.has_hosts() && !self.config.is_stale(self.now())
    }

    /// Notifies the peer client, the metrics and the billing buffer of a change of the members.
    pub(crate) fn members_changed(&self) {
        let now = self.now();
        let members: Vec<_> = {
            let table = self.peers.table();
            let others = table.members().cloned();
            std::iter::once(table.local().clone()).chain(others).collect()
        };
        let is_not_dead = |incarnation| {
            let member = members.iter().find(|it| it.incarnation == incarnation);
            member.is_some_and(|it| it.state != membership::State::Dead)
        };
        self.client.retain(is_not_dead);
        let live = members.iter().filter(|it| it.is_live()).count();
        self.metrics
            .peers
            .members
            .set(i64::try_from(live).unwrap_or(i64::MAX));
        self.billing.set_members(&members, self.incarnation, now);
    }

    /// Sleeps for `time`, or until the node stops.
    pub(crate) fn sleep(&self, time: Duration) {
        let end = Instant::now() + time;
        while self.phase.get() < Phase::Stopped {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            std::thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
        }
    }

    /// Creates a random number generator for one request, without a lock or a system call.
    pub(crate) fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.next_seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Id of a new request, unique across all nodes and restarts.
    pub(crate) fn request_id(&self) -> String {
        self.request_id_of(self.request_number())
    }

    /// Number of a new request, unique within this incarnation.
    pub(crate) fn request_number(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Id of the request with the given number.
    pub(crate) fn request_id_of(&self, number: u64) -> String {
        format!("{}-{number}", self.incarnation)
    }
}
