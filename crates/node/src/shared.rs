//! State that all threads of a node share.

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

use crate::billing::Biller;
use crate::catalog::Catalog;
use crate::config_log::Channels;
use crate::latencies::Latencies;
use crate::metrics::Metrics;
use crate::once::Once;
use crate::peers::Peers;
use crate::peers::auth::Key;
use crate::peers::client::Client;
use crate::phase::{Cell, Phase};
use crate::ports::Ports;
use crate::ratings::Ratings;
use crate::rollouts::Rollouts;
use crate::secrets::Secrets;
use crate::session::Keys;
use crate::upstreams::PoolRegistry;

/// Interval at which a sleeping thread checks whether the node stops.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// State that all threads of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub ports: Ports,
    pub incarnation: Incarnation,
    pub metrics: Metrics,
    pub catalog: Catalog,
    pub config_channels: Channels,
    pub upstreams: PoolRegistry,
    pub biller: Biller,
    pub planner: Planner,
    pub ratings: Ratings,
    pub rollouts: Rollouts,
    pub latencies: Latencies,
    pub once: Once,
    pub peers: Peers,
    pub client: Client,
    pub cluster_key: Key,
    /// Whether the node was ended without a planned stop.
    pub killed: AtomicBool,
    pub phase: Cell,
    pub sessions: Keys,
    pub admin_key: Mutex<Option<KeyHash>>,
    /// Requests under way.
    pub open: AtomicUsize,
    /// When an entry answer last named this node.
    pub named_at: Mutex<Option<Instant>>,
    start: Instant,
    next_request: AtomicU64,
    next_seed: AtomicU64,
}

impl Shared {
    /// State of a node that starts now.
    pub(crate) fn new(settings: Settings, secrets: &Secrets, ports: Ports, runtime: Handle) -> Self {
        let incarnation = Incarnation::from_bits(OsRng.unwrap_err().random());
        let start = Instant::now();
        let place = DomainMember {
            name: settings.node.host.clone(),
            domain: settings.node.failure_domain.clone(),
        };
        let cluster_key = Key::new(secrets.cluster.clone());
        let mut rng = SmallRng::from_rng(&mut OsRng.unwrap_err());
        Self {
            once: Once::new(incarnation),
            peers: Peers::new(&settings, incarnation, &mut rng),
            client: Client::new(runtime, cluster_key.clone(), settings.upstream.connect_timeout),
            cluster_key,
            killed: AtomicBool::new(false),
            config_channels: Channels::default(),
            catalog: Catalog::new(&settings.config),
            sessions: Keys::new(secrets.session_keys()),
            admin_key: Mutex::new(secrets.admin.as_deref().map(hash_key)),
            planner: Planner::new(incarnation),
            ratings: Ratings::default(),
            rollouts: Rollouts::default(),
            latencies: Latencies::default(),
            biller: Biller::new(
                incarnation,
                settings.node.failure_domain.clone(),
                &settings.billing,
            ),
            upstreams: PoolRegistry::new(place, ports.engines.block_tokens(), start),
            settings,
            ports,
            incarnation,
            metrics: Metrics::new(),
            phase: Cell::default(),
            open: AtomicUsize::new(0),
            named_at: Mutex::new(None),
            start,
            next_request: AtomicU64::new(0),
            next_seed: AtomicU64::new(OsRng.unwrap_err().random()),
        }
    }

    /// Time since the node started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether callers may be sent to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.upstreams.has_hosts() && !self.catalog.is_stale(self.now())
    }

    /// Passes a change of the members on to those who depend on it.
    pub(crate) fn members_changed(&self) {
        let now = self.now();
        let members: Vec<_> = {
            let table = self.peers.table();
            let others = table.members().cloned();
            std::iter::once(table.local().clone()).chain(others).collect()
        };
        let known = |incarnation| {
            let found = members.iter().find(|it| it.incarnation == incarnation);
            found.is_some_and(|it| it.state != membership::State::Dead)
        };
        self.client.retain(known);
        let live = members.iter().filter(|it| it.is_live()).count();
        self.metrics
            .peers
            .members
            .set(i64::try_from(live).unwrap_or(i64::MAX));
        self.biller.set_members(&members, self.incarnation, now);
    }

    /// Sleeps for `time`, or less if the node stops.
    pub(crate) fn pause(&self, time: Duration) {
        let end = Instant::now() + time;
        while self.phase.get() < Phase::Stopped {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(STOP_CHECK));
        }
    }

    /// A generator for the choices of one request; it needs no lock and no system call.
    pub(crate) fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.next_seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Identity of a new request, unique over all nodes and restarts.
    pub(crate) fn request_id(&self) -> String {
        self.request_id_of(self.request_number())
    }

    /// Number of a new request, unique in this incarnation.
    pub(crate) fn request_number(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Identity of the request with a number.
    pub(crate) fn request_id_of(&self, number: u64) -> String {
        format!("{}-{number}", self.incarnation)
    }
}
